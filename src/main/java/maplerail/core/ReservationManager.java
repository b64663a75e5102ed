package maplerail.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import maplerail.core.Reservation.Phase;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.RoutingEvent.PeerRead;

/**
 * Ensures that the states that engines reserve for a request are used or released within the limit of the settings.
 *
 * <p>Each engine has one {@link Reservation} from the time a read is sent to it until no state can be left there. After
 * every event of a request, {@link #review} releases the states that are not needed and sets one timer for the next
 * deadline. At that deadline, reads without a response are aborted and overdue states are released. So no event and no
 * early return can leave a reservation without a deadline. Only an engine's response proves anything: a read that was
 * written may have ended without its response arriving, so its time is counted from the write, and a release is
 * finished only once the holder itself has responded to it.
 *
 * <p>A release frees the request's state at any engine and cancels its reads. So the states that earlier attempts may
 * have left are released, and the release answered, before another read is sent; and no release is sent while a read is
 * in flight.
 */
final class ReservationManager {
    /** Share of the limit after which a state is released that a write may use: timers and calls may be late. */
    private static final double IN_USE_SHARE_OF_LIMIT = 0.8;

    /** Time after the limit when a state is released that no write can have taken; 300 ms remain for its delivery. */
    private static final double SLACK_MS = 30;

    /** Timers have a resolution of one millisecond. */
    private static final double TIMER_TOLERANCE_MS = 1;

    /** How long a read waits for the release of the states that earlier reads may have left. */
    private static final double RELEASE_BEFORE_READ_MS = 150;

    /** How long a release is normally retried. */
    private static final double RELEASE_RETRY_MS = 1_500;

    /** How long a release is retried if its reader may still be reading: long enough for a hung reader to recover. */
    private static final double HUNG_READER_RETRY_MS = 30_000;

    /** How long after the cancellation of an attempt a release may overtake the close of its connection. */
    private static final double RECENT_CANCEL_MS = 150;

    /** When a release is repeated, after the holder's first response: the reader may end its read after that. */
    private static final double[] REPEAT_AFTER_MS = {120, 400, 750, 1_100, 1_600};

    /** How long a read's response may still arrive after a writer has reported that the read is not in flight. */
    private static final double LATE_READ_RESPONSE_MS = 30;

    private final EngineTransport transport;
    private final EventLoop loop;
    private final EngineDirectory directory;
    private final RequestEventLog events;
    private final ReadTracker reads = new ReadTracker();
    private AttemptControl attempts;
    private int unfinishedReleases;

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
        this.directory = directory;
        this.events = events;
    }

    /** Sets the callbacks that control attempts; to be called once, before any other method. */
    void setAttemptControl(AttemptControl control) {
        attempts = control;
    }

    /** The number of unfinished releases; a process that exits before may leave states reserved at engines. */
    int pendingReleases() {
        return unfinishedReleases;
    }

    // ---- Events ----

    /**
     * Runs {@code send} as soon as another read is safe: at once, or after the states that earlier reads may have left
     * are released.
     */
    void sendReadWhenSafe(RequestRecord record, Runnable send) {
        RequestReservations reservations = record.reservations;
        boolean hedged = reservations.hasPhase(Phase.READING);
        if (!hedged) reservations.unreleased().forEach(reservation -> release(record, reservation));
        if (hedged || isReleased(record)) {
            send.run();
            return;
        }
        record.waitingReads.add(send);
        loop.schedule(loop.nowMs() + RELEASE_BEFORE_READ_MS, () -> {
            if (record.waitingReads.remove(send)) send.run();
        });
    }

    private static boolean isReleased(RequestRecord record) {
        return record.reservations.inPhase(Phase.RELEASING).stream().allMatch(Reservation::isReleased);
    }

    /** A read is about to be sent. */
    void onReadStarted(Attempt read) {
        RequestRecord record = read.record;
        Reservation previous = record.reservations.get(read.engine);
        if (previous != null && previous.phase() == Phase.RELEASING) onReleaseFinished(record, previous);
        record.reservations.put(Reservation.reading(read, previous != null));
    }

    /** Another gateway reported the duration of reads at a reader. */
    void onPeerRead(PeerRead read) {
        reads.onPeerRead(read.engine(), read.elapsedMs(), loop.nowMs());
    }

    /** Records the state that an ended attempt may have left; {@link #review} must be called afterwards. */
    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome) {
        RequestRecord record = attempt.record;
        RequestReservations reservations = record.reservations;
        boolean responded = isEngineResponse(outcome);
        attempt.engineResponded |= responded;
        if (responded) reservations.restartLimit(loop.nowMs());
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
            reservations.put(Reservation.reserved(read.engine));
            return;
        }
        if (isEngineResponse(outcome)) reads.onDeclined(read);
        if (outcome == AttemptOutcome.UNREACHABLE || outcome == AttemptOutcome.RESET) reads.onConnectionFailed(read);
        Reservation reservation = reservations.get(read.engine);
        if (reservation == null || reservation.read() != read) return;
        reservations.remove(reservation);
        // A cancelled read may have completed at the same time.
        if (outcome.provesNoEffect() && !reservation.stateMayReappear() && !read.probe.wasStarted()) return;
        if (!reservations.hasPhase(Phase.RESERVED)) reservations.restartLimit(loop.nowMs());
        reservations.put(
                Reservation.uncertain(read.engine, reservation.stateMayReappear() || !read.handle.isPromptRead()));
    }

    /** True if the outcome was reported by the engine, which proves that the attempt had arrived there. */
    private static boolean isEngineResponse(AttemptOutcome outcome) {
        return switch (outcome) {
            case COMPLETED, PROMPT_READ, OVERLOADED, STATE_LOST, ERROR -> true;
            case RESET, UNREACHABLE, TIMEOUT, CANCELLED, NOT_SENT -> false;
        };
    }

    /** The response streams: its writer has taken the state, so a release is safe. */
    void onStreamStarted(RequestRecord record) {
        record.reservations.inPhase(Phase.RESERVED).forEach(record.reservations::remove);
        review(record);
    }

    /** Releases all reservations at the policy's request, unless an attempt is in flight. */
    void releaseUnused(RequestRecord record) {
        if (record.hasAttemptInFlight()) return;
        record.reservations.unreleased().forEach(reservation -> release(record, reservation));
    }

    // ---- Deadlines ----

    /** Releases unneeded states, and sets the timer for the next deadline; to be called after every event. */
    void review(RequestRecord record) {
        if (isReleaseSafe(record)) {
            record.reservations.unreleased().forEach(reservation -> release(record, reservation));
            for (Reservation releasing : record.reservations.inPhase(Phase.RELEASING)) {
                if (releasing.isRepeatDue()) repeat(record, releasing);
            }
        }
        armTimer(record);
    }

    private void onTimer(RequestRecord record) {
        abortUnresponsiveReads(record);
        if (!isReleaseSafe(record) && !isReading(record)) releaseOverdue(record);
        review(record);
    }

    private void abortUnresponsiveReads(RequestRecord record) {
        for (Reservation reading : record.reservations.inPhase(Phase.READING)) {
            Attempt read = reading.read();
            if (read.isUnsent()) continue;
            Optional<GiveUpReason> reason = reads.giveUpReason(read, loop.nowMs());
            if (reason.isPresent()) giveUp(read, reason.get());
            else if (reads.isProbeDue(read, loop.nowMs())) requestProbe(read);
        }
    }

    private void giveUp(Attempt read, GiveUpReason reason) {
        events.readGivenUp(read, reason);
        attempts.abortUnresponsive(read);
    }

    private void requestProbe(Attempt read) {
        read.probe.onRequested(loop.nowMs());
        attempts.onUnresponsive(read);
    }

    /** Probes a read of a request by asking the writer that the routing policy has chosen to reserve a place. */
    void reservePlace(RequestRecord record, long writer) {
        for (Reservation reading : record.reservations.inPhase(Phase.READING)) {
            Attempt read = reading.read();
            if (read.isUnsent() || !reads.mayProbe(read)) continue;
            reads.onProbeStarted(read);
            // If one open connection was dead, others may be too: the next writer is asked on a new one.
            ConnectionChoice connection = read.probe.hasFailed() ? ConnectionChoice.NEW : ConnectionChoice.ANY;
            double askedMs = loop.nowMs();
            transport.reservePlace(
                    writer, record.request.id(), connection, result -> onPlaceResult(read, writer, askedMs, result));
            return;
        }
    }

    private void onPlaceResult(Attempt read, long writer, double askedMs, ReservePlaceResult result) {
        RequestRecord record = read.record;
        events.placeAnswered(read, writer, result, loop.nowMs() - askedMs);
        reads.onProbeResult(read, result, loop.nowMs());
        if (!read.isInFlight()) {
            // The release after the read may have reached the writer before the reservation of the place.
            if (result != ReservePlaceResult.NOT_RESERVED)
                record.reservations.put(Reservation.uncertain(writer, false));
        } else if (result == ReservePlaceResult.RESERVED) {
            attempts.onPlaceReserved(record, writer);
        } else if (result == ReservePlaceResult.NO_READ_IN_FLIGHT) {
            loop.schedule(loop.nowMs() + LATE_READ_RESPONSE_MS, () -> abortLostRead(read));
        }
        review(record);
    }

    private void abortLostRead(Attempt read) {
        if (!read.isInFlight()) return;
        events.readLost();
        giveUp(read, GiveUpReason.NOT_IN_FLIGHT);
    }

    /** True while a read is in flight of which any byte was sent: a release would cancel it. */
    private static boolean isReading(RequestRecord record) {
        return record.reservations.inPhase(Phase.READING).stream()
                .anyMatch(reading -> !reading.read().isUnsent());
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

    private void releaseOverdue(RequestRecord record) {
        if (record.reservations.unreleased().isEmpty()) return;
        if (loop.nowMs() < overdueAtMs(record) - TIMER_TOLERANCE_MS) return;
        if (record.reservations.hasPhase(Phase.RESERVED) && record.reservations.markOverdue())
            events.reservationOverdue(record);
        if (isWriting(record)) releasePossiblyInUse(record);
        else expire(record);
    }

    private static double overdueAtMs(RequestRecord record) {
        double limitMs = record.terms.reservationLimitMs();
        return record.reservations.limitFromMs()
                + (isWriting(record) ? IN_USE_SHARE_OF_LIMIT * limitMs : limitMs + SLACK_MS);
    }

    private void armTimer(RequestRecord record) {
        record.reservationTimer.cancel();
        double nextMs = Double.POSITIVE_INFINITY;
        for (Reservation reading : record.reservations.inPhase(Phase.READING)) {
            Attempt read = reading.read();
            if (!read.isUnsent()) nextMs = Math.min(nextMs, reads.nextAssessmentMs(read, loop.nowMs()));
        }
        // Other reservations are reviewed when a read in flight has ended, at its own deadline at the latest.
        boolean hasUnreleased = !record.reservations.unreleased().isEmpty();
        if (hasUnreleased && !isReading(record)) nextMs = Math.min(nextMs, overdueAtMs(record));
        if (nextMs < Double.POSITIVE_INFINITY) record.reservationTimer = loop.schedule(nextMs, () -> onTimer(record));
    }

    // ---- Releases ----

    /** Engines ignore a release while a write waits for the state, so only a write that did not arrive loses it. */
    private void releasePossiblyInUse(RequestRecord record) {
        record.reservations.onReleasedInUse(loop.nowMs());
        for (Reservation reservation : record.reservations.unreleased()) {
            sendRelease(record, reservation, RELEASE_RETRY_MS, new InUseReleaseControl(record));
        }
    }

    /** No write can have taken the state: writes that still wait for a connection would arrive too late. */
    private void expire(RequestRecord record) {
        boolean reserved = record.reservations.hasPhase(Phase.RESERVED);
        record.reservations.unreleased().forEach(reservation -> release(record, reservation));
        if (!reserved) return;
        record.reservations.setExpired(true);
        for (Attempt attempt : List.copyOf(record.attempts)) {
            if (attempt.isUnsent() && !attempt.readsPrompt) attempts.endWithStateLost(attempt);
        }
    }

    private void release(RequestRecord record, Reservation reservation) {
        events.releaseStarted(record, reservation);
        reservation.release(loop.nowMs() - record.lastCancelMs < RECENT_CANCEL_MS);
        unfinishedReleases++;
        double retryMs = reservation.stateMayReappear() ? HUNG_READER_RETRY_MS : RELEASE_RETRY_MS;
        sendRelease(record, reservation, retryMs, new UnusedReleaseControl(this, record, reservation));
    }

    private void sendRelease(RequestRecord record, Reservation reservation, double retryMs, ReleaseControl control) {
        double untilMs = loop.nowMs() + retryMs;
        transport.release(reservation.engine, directory.readyEngines(), record.request.id(), untilMs, control);
    }

    /** The holder is running and has received a release; a read that it has not ended may still leave a state. */
    private void onHolderResponded(RequestRecord record, Reservation reservation) {
        if (!reservation.stateMayReappear() || !reservation.onHolderResponded(loop.nowMs())) return;
        scheduleNextRepeat(record, reservation);
    }

    private void scheduleNextRepeat(RequestRecord record, Reservation reservation) {
        if (reservation.repeats() == REPEAT_AFTER_MS.length) {
            onReleaseFinished(record, reservation);
            return;
        }
        double dueMs = reservation.holderRespondedMs() + REPEAT_AFTER_MS[reservation.repeats()];
        loop.schedule(dueMs, () -> {
            reservation.markRepeatDue();
            if (isReleaseSafe(record)) repeat(record, reservation);
        });
    }

    private void repeat(RequestRecord record, Reservation reservation) {
        if (reservation.isFinished()) return;
        reservation.onRepeated();
        sendRelease(record, reservation, RELEASE_RETRY_MS, new UnusedReleaseControl(this, record, reservation));
        scheduleNextRepeat(record, reservation);
    }

    private void onReleaseFinished(RequestRecord record, Reservation reservation) {
        if (!reservation.finish()) return;
        unfinishedReleases--;
        record.reservations.remove(reservation);
    }

    private void runWaitingReads(RequestRecord record) {
        if (!isReleased(record)) return;
        List<Runnable> reads = new ArrayList<>(record.waitingReads);
        record.waitingReads.clear();
        reads.forEach(Runnable::run);
    }

    /** Controls the release of a state that a write in flight may use. */
    private record InUseReleaseControl(RequestRecord record) implements ReleaseControl {
        @Override
        public boolean maySend() {
            return !isReading(record);
        }

        @Override
        public boolean isUnresponsive(long engine) {
            return record.hasAttemptWithoutResponseAt(engine);
        }
    }

    /** Controls the release of a state that no attempt needs. */
    private record UnusedReleaseControl(ReservationManager manager, RequestRecord record, Reservation reservation)
            implements ReleaseControl {
        @Override
        public boolean maySend() {
            return isReleaseSafe(record);
        }

        @Override
        public boolean isUnresponsive(long engine) {
            return record.hasAttemptWithoutResponseAt(engine);
        }

        @Override
        public ConnectionChoice connection() {
            return record.hasAbortedWithoutResponseAt(reservation.engine) ? ConnectionChoice.NEW : ConnectionChoice.ANY;
        }

        @Override
        public void onReleased() {
            reservation.onReleased();
            manager.runWaitingReads(record);
        }

        @Override
        public void onHolderResponded() {
            manager.onHolderResponded(record, reservation);
        }

        @Override
        public void onEnded(boolean holderResponded) {
            if (!holderResponded || !reservation.stateMayReappear()) manager.onReleaseFinished(record, reservation);
        }
    }
}
