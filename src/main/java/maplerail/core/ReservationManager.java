package maplerail.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import maplerail.core.Reservation.Phase;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.RoutingEvent.PeerRead;

/**
 * Ensures that whatever engines may hold for a request, states and places, is used or released within the limit of the
 * settings. It is the only owner of that limit.
 *
 * <p>Each engine has one {@link Reservation} from the time a read is sent to it until no state can be left there, and
 * each writer that was asked has a {@link PlaceReservation} from the call on. From the first of these there is one
 * latest moment for the request, {@link #latestReleaseMs}, and one timer for it or for whatever is due earlier. Only
 * what an engine has said moves that moment: a response, or a writer's word that a read is in flight. An attempt that
 * was merely written does not, as it may never arrive. At that moment the reads that are not known to be in flight are
 * given up, and everything is released. So no event and no early return can leave anything without a deadline.
 *
 * <p>A release undoes the reads of its request, at whichever engine it arrives. So none is sent while a read is in
 * flight, before the latest moment; and what may be held is released, and the release answered, before another read is
 * written, unless enough time is left for that read to end.
 */
final class ReservationManager {
    /** Time after the limit when a state is released that no write can have taken; 300 ms remain for its delivery. */
    static final double SLACK_MS = 30;

    /** Share of the limit after which a state is released that a write may use: timers and calls may be late. */
    private static final double IN_USE_SHARE_OF_LIMIT = 0.8;

    /** Timers have a resolution of one millisecond. */
    private static final double TIMER_TOLERANCE_MS = 1;

    /** Interval of checks after the latest moment, while something may still be held. */
    private static final double RECHECK_MS = 50;

    /** How long a read waits for the release of what may be held, if that leaves it time enough. */
    private static final double RELEASE_BEFORE_READ_MS = 150;

    /** How long a read waits if no engine answers the release at all. */
    private static final double MAX_READ_DELAY_MS = 1_500;

    /** The time that a read is given until the latest moment of its request; with less, it would be given up. */
    private static final double READ_ALLOWANCE_MS = 150;

    /** How long before the latest moment writers are asked once more whether a read is in flight. */
    private static final double LAST_PROBE_MS = 150;

    /** Interval of these last probes. */
    private static final double LAST_PROBE_INTERVAL_MS = 50;

    /** How long one writer's response is awaited before the next is asked: one that knows of a read responds at once. */
    private static final double PROBE_PATIENCE_MS = 110;

    /** How long a read's response may still arrive after a writer has reported that the read is not in flight. */
    private static final double LATE_READ_RESPONSE_MS = 30;

    private final EngineTransport transport;
    private final EventLoop loop;
    private final RequestEventLog events;
    private final ReservationReleaser releaser;
    private final ReadTracker reads = new ReadTracker();
    private AttemptControl attempts;
    private int pendingPlaces;

    /** Aborts attempts and forwards events for the reservation manager. */
    interface AttemptControl {
        /** Aborts a read that got no response in time. */
        void abortUnresponsive(Attempt read);

        /** Requests a probe of a read; {@link #reservePlace} is to be called with the writer to ask. */
        void onUnresponsive(Attempt read);

        /** A writer has reserved a place for a request. */
        void onPlaceReserved(RequestRecord record, long writer);

        /** Ends a write that is not sent yet, as its state is released. */
        void endWithStateLost(Attempt write);
    }

    ReservationManager(EngineTransport transport, EventLoop loop, EngineDirectory directory, RequestEventLog events) {
        this.transport = transport;
        this.loop = loop;
        this.events = events;
        releaser = new ReservationReleaser(transport, loop, directory, events, new ReleaseListener());
    }

    /** Sets the callbacks that control attempts; to be called once, before any other method. */
    void setAttemptControl(AttemptControl control) {
        attempts = control;
    }

    /** The releases and calls that are not finished; a process that exits before may leave something held at engines. */
    int pendingReleases() {
        return releaser.unfinishedReleases() + pendingPlaces;
    }

    // ---- Reads ----

    /** Runs {@code send} as soon as another read is safe: nothing may be held, or the read has time enough to end. */
    void sendReadWhenSafe(RequestRecord record, Runnable send) {
        giveUpReplacedReads(record);
        if (!record.reservations.hasPhase(Phase.READING)) releaser.releaseAll(record);
        if (ReservationReleaser.isReleased(record) && hasTimeForRead(record)) {
            send.run();
            return;
        }
        record.waitingReads.add(send);
        double untilMs = loop.nowMs() + MAX_READ_DELAY_MS;
        loop.schedule(loop.nowMs() + RELEASE_BEFORE_READ_MS, () -> runDelayedRead(record, send, untilMs));
    }

    /** A hedged read takes the place of reads that would be given up, and the hedged one with them, before it can end. */
    private void giveUpReplacedReads(RequestRecord record) {
        if (!hasTimeForRead(record)) giveUpReads(record, GiveUpReason.REPLACED);
    }

    private boolean hasTimeForRead(RequestRecord record) {
        return latestReleaseMs(record) - loop.nowMs() >= READ_ALLOWANCE_MS;
    }

    private void runDelayedRead(RequestRecord record, Runnable send, double untilMs) {
        if (!record.waitingReads.contains(send)) return;
        if (loop.nowMs() < untilMs && !hasTimeForRead(record)) {
            loop.schedule(loop.nowMs() + RECHECK_MS, () -> runDelayedRead(record, send, untilMs));
            return;
        }
        record.waitingReads.remove(send);
        send.run();
    }

    private void runWaitingReads(RequestRecord record) {
        if (!ReservationReleaser.isReleased(record) || !hasTimeForRead(record)) return;
        List<Runnable> waiting = new ArrayList<>(record.waitingReads);
        record.waitingReads.clear();
        waiting.forEach(Runnable::run);
    }

    /** A read is about to be sent. */
    void onReadStarted(Attempt read) {
        RequestRecord record = read.record;
        Reservation previous = record.reservations.get(read.engine);
        record.reservations.put(Reservation.reading(read, previous));
        if (previous != null && previous.phase() == Phase.RELEASING) releaser.finish(record, previous);
    }

    /** Another gateway reported the duration of reads at a reader. */
    void onPeerRead(PeerRead read) {
        reads.onPeerRead(read.engine(), read.elapsedMs(), loop.nowMs());
    }

    // ---- Ends of attempts ----

    /** Records the state that an ended attempt may have left; {@link #review} must be called afterwards. */
    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome) {
        RequestReservations reservations = attempt.record.reservations;
        boolean responded = isEngineResponse(outcome);
        attempt.engineResponded |= responded;
        if (responded) reservations.onKnownInFlight(loop.nowMs());
        if (attempt.readsPrompt) onReadEnded(attempt, outcome);
        // A writer has reported that the state is gone.
        if (outcome == AttemptOutcome.STATE_LOST)
            reservations.inPhase(Phase.RESERVED).forEach(Reservation::onStateLost);
    }

    private void onReadEnded(Attempt read, AttemptOutcome outcome) {
        RequestReservations reservations = read.record.reservations;
        if (outcome == AttemptOutcome.PROMPT_READ) {
            reads.onCompleted(read, loop.nowMs());
            reservations.setExpired(false);
            reservations.put(Reservation.reserved(read.engine, loop.nowMs()));
            return;
        }
        if (isEngineResponse(outcome)) reads.onDeclined(read);
        if (outcome == AttemptOutcome.UNREACHABLE || outcome == AttemptOutcome.RESET) reads.onConnectionFailed(read);
        Reservation reservation = reservations.get(read.engine);
        if (reservation == null || reservation.read() != read) return;
        reservations.remove(reservation);
        // A cancelled read may have completed at the same time.
        if (outcome.provesNoEffect() && !reservation.stateMayReappear() && !read.probe.wasStarted()) return;
        boolean mayAppearLater = reservation.stateMayReappear() || !read.handle.isPromptRead();
        reservations.put(Reservation.uncertain(read.engine, mayAppearLater, heldFromMs(reservation)));
    }

    /** The earliest time since which the reader of an ended read may hold a state. */
    private double heldFromMs(Reservation reading) {
        double endedMs = Math.min(loop.nowMs(), reads.stateFromMs(reading.read(), loop.nowMs()));
        return Math.min(reading.sinceMs(), endedMs);
    }

    /** True if the outcome was reported by the engine, which proves that the attempt had arrived there. */
    private static boolean isEngineResponse(AttemptOutcome outcome) {
        return switch (outcome) {
            case COMPLETED, PROMPT_READ, OVERLOADED, STATE_LOST, ERROR -> true;
            case RESET, UNREACHABLE, TIMEOUT, CANCELLED, NOT_SENT -> false;
        };
    }

    /** The response streams: its writer has taken the state, and with it the places that were reserved by then. */
    void onStreamStarted(RequestRecord record) {
        RequestReservations reservations = record.reservations;
        reservations.inPhase(Phase.RESERVED).forEach(reservations::remove);
        for (PlaceReservation place : reservations.answeredPlaces()) {
            if (place.isTakenByWrite(record.winner.sentMs)) reservations.removePlace(place);
        }
        review(record);
    }

    /** Releases all reservations at the policy's request, unless an attempt is in flight. */
    void releaseUnused(RequestRecord record) {
        if (!record.hasAttemptInFlight()) releaser.releaseAll(record);
    }

    // ---- Probes and places ----

    /** Probes a read of a request by asking the writer that the routing policy has chosen to reserve a place. */
    void reservePlace(RequestRecord record, long writer) {
        Optional<Attempt> read = Optional.ofNullable(record.probedRead)
                .or(() -> sentReads(record).stream().filter(reads::mayProbe).findFirst());
        read.filter(Attempt::isInFlight).ifPresent(attempt -> askForPlace(attempt, writer));
    }

    private void askForPlace(Attempt read, long writer) {
        RequestRecord record = read.record;
        // If one open connection was dead, others may be too: the next writer is asked on a new one.
        ConnectionChoice connection =
                read.probe.hasFailed() || read.probe.isPending() ? ConnectionChoice.NEW : ConnectionChoice.ANY;
        PlaceReservation place = new PlaceReservation(writer, loop.nowMs());
        record.reservations.onPlaceAsked(place);
        pendingPlaces++;
        reads.onProbeStarted(read, loop.nowMs());
        transport.reservePlace(writer, record.request.id(), connection, result -> onPlaceResult(read, place, result));
        armTimer(record);
    }

    private void onPlaceResult(Attempt read, PlaceReservation place, ReservePlaceResult result) {
        RequestRecord record = read.record;
        pendingPlaces--;
        events.placeAnswered(read, place.writer, result, loop.nowMs() - place.askedMs);
        reads.onProbeResult(read, result, place.askedMs, loop.nowMs());
        place.onResult(result, loop.nowMs());
        if (!result.mayHoldPlace()) record.reservations.removePlace(place);
        if (result.confirmsRead()) record.reservations.onKnownInFlight(place.askedMs);
        if (result == ReservePlaceResult.RESERVED && read.isInFlight()) attempts.onPlaceReserved(record, place.writer);
        if (result == ReservePlaceResult.NO_READ_IN_FLIGHT)
            loop.schedule(loop.nowMs() + LATE_READ_RESPONSE_MS, () -> giveUpLostRead(read));
        review(record);
        runWaitingReads(record);
    }

    private void giveUpLostRead(Attempt read) {
        if (!read.isInFlight()) return;
        events.readLost();
        giveUp(read, GiveUpReason.NOT_IN_FLIGHT);
    }

    // ---- The latest moment ----

    /** Releases unneeded states, and sets the timer for the next deadline; to be called after every event. */
    void review(RequestRecord record) {
        if (isReleaseSafe(record)) {
            releaser.releaseAll(record);
            releaser.sendDueRepeats(record);
        }
        armTimer(record);
    }

    private void onTimer(RequestRecord record) {
        reviewReads(record);
        if (isLimitReached(record)) {
            giveUpReads(record, GiveUpReason.LIMIT_REACHED);
            if (!isReleaseSafe(record)) releaseOverdue(record);
        } else if (loop.nowMs() >= lastProbeMs(record)) {
            latestRead(record).ifPresent(this::requestProbe);
        }
        review(record);
    }

    private void reviewReads(RequestRecord record) {
        for (Attempt read : sentReads(record)) {
            Optional<GiveUpReason> reason = reads.giveUpReason(read, loop.nowMs());
            if (reason.isPresent()) giveUp(read, reason.get());
            else if (reads.isProbeDue(read, loop.nowMs())) requestProbe(read);
        }
    }

    private void requestProbe(Attempt read) {
        RequestRecord record = read.record;
        read.probe.onRequested(loop.nowMs());
        record.reservations.onProbeRequested(loop.nowMs());
        record.probedRead = read;
        attempts.onUnresponsive(read);
        record.probedRead = null;
    }

    /** When a writer is to be asked once more before reads are given up at the latest moment; infinity if never. */
    private double lastProbeMs(RequestRecord record) {
        Optional<Attempt> read = latestRead(record);
        if (!record.terms.placeReservationAllowed() || read.isEmpty()) return Double.POSITIVE_INFINITY;
        double repeatMs = record.reservations.lastProbeRequestedMs() + LAST_PROBE_INTERVAL_MS;
        double unansweredMs =
                Math.max(record.reservations.lastUnansweredCallMs(), reads.earlierProbePendingSinceMs(read.get()));
        double patientMs = Math.max(repeatMs, unansweredMs + PROBE_PATIENCE_MS);
        return Math.max(latestReleaseMs(record) - LAST_PROBE_MS, patientMs);
    }

    private static Optional<Attempt> latestRead(RequestRecord record) {
        return sentReads(record).stream().reduce((first, last) -> last);
    }

    private void giveUpReads(RequestRecord record, GiveUpReason reason) {
        sentReads(record).forEach(read -> giveUp(read, reason));
    }

    private void giveUp(Attempt read, GiveUpReason reason) {
        events.readGivenUp(read, reason);
        attempts.abortUnresponsive(read);
    }

    /** The latest moment at which a release must be sent for a request; infinity if nothing may be held for it. */
    private double latestReleaseMs(RequestRecord record) {
        double limitMs = record.terms.reservationLimitMs();
        double readsFromMs = sentReads(record).stream()
                .mapToDouble(read -> reads.stateFromMs(read, loop.nowMs()))
                .min()
                .orElse(Double.POSITIVE_INFINITY);
        return record.reservations.limitFromMs(loop.nowMs(), readsFromMs)
                + (isWriting(record) ? IN_USE_SHARE_OF_LIMIT * limitMs : limitMs + SLACK_MS);
    }

    private boolean isLimitReached(RequestRecord record) {
        return loop.nowMs() >= latestReleaseMs(record) - TIMER_TOLERANCE_MS;
    }

    private void releaseOverdue(RequestRecord record) {
        if (record.reservations.unreleased().isEmpty()) return;
        if (record.reservations.hasPhase(Phase.RESERVED) && record.reservations.markOverdue())
            events.reservationOverdue(record);
        if (isWriting(record)) releaser.releasePossiblyInUse(record);
        else expire(record);
    }

    /** No write can have taken the state: writes that still wait for a connection would arrive too late. */
    private void expire(RequestRecord record) {
        boolean reserved = record.reservations.hasPhase(Phase.RESERVED);
        releaser.releaseAll(record);
        if (!reserved) return;
        record.reservations.setExpired(true);
        for (Attempt attempt : List.copyOf(record.attempts)) {
            if (attempt.isUnsent() && !attempt.readsPrompt) attempts.endWithStateLost(attempt);
        }
    }

    private void armTimer(RequestRecord record) {
        record.reservationTimer.cancel();
        double nowMs = loop.nowMs();
        double nextMs = sentReads(record).stream()
                .mapToDouble(read -> reads.nextAssessmentMs(read, nowMs))
                .min()
                .orElse(Double.POSITIVE_INFINITY);
        if (record.reservations.mayHoldUnreleased() || isReading(record)) {
            double latestMs = latestReleaseMs(record);
            nextMs = Math.min(nextMs, latestMs > nowMs ? latestMs : nowMs + RECHECK_MS);
            nextMs = Math.min(nextMs, Math.max(lastProbeMs(record), nowMs + TIMER_TOLERANCE_MS));
        }
        if (nextMs < Double.POSITIVE_INFINITY) record.reservationTimer = loop.schedule(nextMs, () -> onTimer(record));
    }

    // ---- Attempts in flight ----

    /** The reads in flight of which any byte was sent, oldest first. */
    private static List<Attempt> sentReads(RequestRecord record) {
        return record.reservations.inPhase(Phase.READING).stream()
                .map(Reservation::read)
                .filter(read -> !read.isUnsent())
                .toList();
    }

    /** True while a read is in flight of which any byte was sent: a release would undo it. */
    private static boolean isReading(RequestRecord record) {
        return !sentReads(record).isEmpty();
    }

    /** True if no attempt needs the reserved states, so that a release is safe. */
    private static boolean isReleaseSafe(RequestRecord record) {
        if (record.winner != null) return true;
        boolean needed = !record.finished && record.reservations.hasPhase(Phase.RESERVED);
        return !needed && !isReading(record) && !isWriting(record);
    }

    /** True while a write is in flight of which any byte was sent: it may have arrived and taken the state. */
    private static boolean isWriting(RequestRecord record) {
        return record.attempts.stream().anyMatch(a -> !a.readsPrompt && a.isInFlight() && !a.isUnsent());
    }

    /** Answers the releaser's questions, and sends the reads that wait for a release. */
    private final class ReleaseListener implements ReservationReleaser.Listener {
        @Override
        public boolean isReleaseSafe(RequestRecord record) {
            return ReservationManager.isReleaseSafe(record);
        }

        @Override
        public boolean isReading(RequestRecord record) {
            return ReservationManager.isReading(record);
        }

        @Override
        public void onReleased(RequestRecord record) {
            runWaitingReads(record);
        }
    }
}
