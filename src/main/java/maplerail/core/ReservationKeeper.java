package maplerail.core;

import java.util.ArrayList;
import java.util.List;
import maplerail.core.Reservation.Phase;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.RoutingEvent.PeerRead;

/**
 * Sees to it that what engines hold for a request is taken or released within the limit of the settings.
 *
 * <p>Each engine has one {@link Reservation} from the moment in which a read goes to it until no state can be left there.
 * After every event of a request {@link #review} is run: it releases what nothing waits for and sets one timer for the next
 * deadline, at which reads that went unheard for too long are given up and what is overdue is released. So no event and no
 * early return can leave a reservation without a deadline. Only an engine's answer proves anything: a read that was written may have ended unheard, so its time runs from
 * the write on, and a release is over only once the holder itself has answered it.
 *
 * <p>A release takes away whatever is held for the request at any engine, and undoes reads. So what older attempts may have
 * left is released, and the release answered, before a further read is written; and none is sent while a read is in flight.
 */
final class ReservationKeeper {
    /** Of the limit, when a state is released that a write in flight may have taken: timers and calls may be late. */
    private static final double IN_USE_SHARE = 0.8;

    /** Beyond the limit, when a state is released that nothing can have taken; sockets allow 300 ms for the release's way. */
    private static final double SLACK_MS = 30;

    /** Timers fire on whole milliseconds. */
    private static final double TIMER_TOLERANCE_MS = 1;

    /** For how long a further read waits for the release of what earlier ones may have left. */
    private static final double RELEASE_BEFORE_READ_MS = 150;

    /** For how long a release is tried; one of a reader that may still be reading waits for a reader that hangs. */
    private static final double RELEASE_TRIED_MS = 1_500;

    private static final double HANGING_READER_MS = 30_000;

    /** After the cancellation of an attempt, for how long a release may overtake the end of its connection. */
    private static final double JUST_CANCELLED_MS = 150;

    /** When a release is repeated after the holder's first answer: the reader may end its read after it. */
    private static final double[] REPEAT_AFTER_MS = {120, 400, 750, 1_100, 1_600};

    /** After a writer has said that no read is in flight, for its answer to be handled if it comes all the same. */
    private static final double ENDED_READ_ANSWER_MS = 30;

    private final EngineTransport transport;
    private final EventLoop loop;
    private final EngineDirectory directory;
    private final RequestEventLog events;
    private final ReadTracker reads = new ReadTracker();
    private Attempts attempts;
    private int pending;

    /** How attempts are ended whose states are not to be waited for. */
    interface Attempts {
        /** Ends a read whose answer has not come in time. */
        void abortUnheard(Attempt read);

        /** Has a writer asked whether a read is in flight; {@link #askWriter} is to be called with the writer. */
        void onUnheard(Attempt read);

        /** A writer holds a place for a request. */
        void onPlaceHeld(RequestRecord record, long writer);

        /** Ends a write of which nothing was sent, as its state is released. */
        void endWithStateLost(Attempt write);
    }

    ReservationKeeper(EngineTransport transport, EventLoop loop, EngineDirectory directory, RequestEventLog events) {
        this.transport = transport;
        this.loop = loop;
        this.directory = directory;
        this.events = events;
    }

    /** Sets how attempts are ended; to be called once, before any other method. */
    void connect(Attempts newAttempts) {
        attempts = newAttempts;
    }

    /** Releases that are not over; a process that exited now might leave states held. */
    int pendingReleases() {
        return pending;
    }

    // ---- Events ----

    /**
     * Runs {@code send} once a further read harms nothing that is held and nothing harms it: at once, or when what earlier
     * reads may have left has been released.
     */
    void beforeRead(RequestRecord record, Runnable send) {
        RequestReservations reservations = record.reservations;
        boolean hedged = reservations.has(Phase.READING);
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
        return record.reservations.in(Phase.RELEASING).stream().allMatch(Reservation::isReleased);
    }

    /** A read is handed to the transport. */
    void onReadStarted(Attempt read) {
        RequestRecord record = read.record;
        Reservation before = record.reservations.at(read.engine);
        if (before != null && before.phase() == Phase.RELEASING) onReleaseOver(record, before);
        record.reservations.put(Reservation.reading(read, before != null));
    }

    /** Another gateway has told how long reads took at a reader. */
    void onPeerRead(PeerRead read) {
        reads.onPeerRead(read.engine(), read.elapsedMs(), loop.nowMs());
    }

    /** Notes what an attempt that ended may have left; {@link #review} is to follow. */
    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome) {
        RequestRecord record = attempt.record;
        RequestReservations reservations = record.reservations;
        boolean answered = isAnswer(outcome);
        attempt.answered |= answered;
        if (answered) reservations.restartLimit(loop.nowMs());
        if (attempt.readsPrompt) onReadEnded(attempt, outcome);
        // A writer has said so: what was read for it is not held any more.
        if (outcome == AttemptOutcome.STATE_LOST) reservations.in(Phase.HELD).forEach(Reservation::loseState);
    }

    private void onReadEnded(Attempt read, AttemptOutcome outcome) {
        RequestReservations reservations = read.record.reservations;
        if (outcome == AttemptOutcome.PROMPT_READ) {
            reads.onAnswered(read, loop.nowMs());
            reservations.setExpired(false);
            reservations.put(Reservation.held(read.engine));
            return;
        }
        if (isAnswer(outcome)) reads.onDeclined(read);
        if (outcome == AttemptOutcome.UNREACHABLE || outcome == AttemptOutcome.RESET) reads.onConnectionFailed(read);
        Reservation known = reservations.at(read.engine);
        if (known == null || known.read() != read) return;
        reservations.remove(known);
        // A read that was cancelled may have been completed just then.
        if (outcome.provesNoEffect() && !known.mayReappear() && !read.inquiry.wasAsked()) return;
        if (!reservations.has(Phase.HELD)) reservations.restartLimit(loop.nowMs());
        reservations.put(Reservation.abandoned(read.engine, known.mayReappear() || !read.handle.isPromptRead()));
    }

    /** True if the outcome is an engine's own word, which proves that the attempt had arrived there. */
    private static boolean isAnswer(AttemptOutcome outcome) {
        return switch (outcome) {
            case COMPLETED, PROMPT_READ, OVERLOADED, STATE_LOST, ERROR -> true;
            case RESET, UNREACHABLE, TIMEOUT, CANCELLED, NOT_SENT -> false;
        };
    }

    /** The answer streams: its writer has taken the state, and a release harms nothing any more. */
    void onStreamStarted(RequestRecord record) {
        record.reservations.in(Phase.HELD).forEach(record.reservations::remove);
        review(record);
    }

    /** Releases all that may be held, as the policy wants, unless an attempt is in flight. */
    void releaseUnused(RequestRecord record) {
        if (record.hasAttemptInFlight()) return;
        record.reservations.unreleased().forEach(reservation -> release(record, reservation));
    }

    // ---- Deadlines ----

    /** Releases what nothing waits for, and sets the timer for what is due next; to be called after every event. */
    void review(RequestRecord record) {
        if (isUnneeded(record)) {
            record.reservations.unreleased().forEach(reservation -> release(record, reservation));
            for (Reservation releasing : record.reservations.in(Phase.RELEASING)) {
                if (releasing.isRepeatWaiting()) repeat(record, releasing);
            }
        }
        armTimer(record);
    }

    private void onTimer(RequestRecord record) {
        giveUpUnheardReads(record);
        if (!isUnneeded(record) && !isReading(record)) releaseOverdue(record);
        review(record);
    }

    private void giveUpUnheardReads(RequestRecord record) {
        for (Reservation reading : record.reservations.in(Phase.READING)) {
            Attempt read = reading.read();
            if (read.isUnsent()) continue;
            switch (reads.judge(read, loop.nowMs())) {
                case WAIT -> {}
                case ASK -> wantWriter(read);
                case LOST -> attempts.abortUnheard(read);
            }
        }
    }

    private void wantWriter(Attempt read) {
        read.inquiry.onWanted(loop.nowMs());
        attempts.onUnheard(read);
    }

    /** Asks a writer whether a read of a request is in flight; the routing policy has chosen the writer. */
    void askWriter(RequestRecord record, long writer) {
        for (Reservation reading : record.reservations.in(Phase.READING)) {
            Attempt read = reading.read();
            if (read.isUnsent() || !reads.mayAsk(read)) continue;
            reads.onAsked(read);
            // An open connection that was silent was one of a crowd: the next writer is asked on a new one.
            ConnectionChoice connection = read.inquiry.hasFailed() ? ConnectionChoice.NEW : ConnectionChoice.ANY;
            transport.reservePlace(
                    writer, record.request.id(), connection, answer -> onPlaceAnswer(read, writer, answer));
            return;
        }
    }

    private void onPlaceAnswer(Attempt read, long writer, ReservePlaceResult answer) {
        RequestRecord record = read.record;
        reads.onWord(read, answer, loop.nowMs());
        if (!read.isInFlight()) {
            // The release that followed the read may have overtaken the place.
            if (answer != ReservePlaceResult.NOT_RESERVED)
                record.reservations.put(Reservation.abandoned(writer, false));
        } else if (answer == ReservePlaceResult.RESERVED) {
            attempts.onPlaceHeld(record, writer);
        } else if (answer == ReservePlaceResult.NO_READ_IN_FLIGHT) {
            loop.schedule(loop.nowMs() + ENDED_READ_ANSWER_MS, () -> endLost(read));
        }
        review(record);
    }

    private void endLost(Attempt read) {
        if (!read.isInFlight()) return;
        events.readLost();
        attempts.abortUnheard(read);
    }

    /** True while a read is in flight of which anything was sent: a release would undo it. */
    private static boolean isReading(RequestRecord record) {
        return record.reservations.in(Phase.READING).stream()
                .anyMatch(reading -> !reading.read().isUnsent());
    }

    /** True if no attempt can want what is held, so that a release harms nothing. */
    private static boolean isUnneeded(RequestRecord record) {
        if (record.winner != null) return true;
        boolean wanted = !record.answered && record.reservations.has(Phase.HELD);
        return !wanted && !isReading(record) && !isWriting(record);
    }

    /** True while a write is in flight of which anything was sent: it may have arrived, and have taken the state. */
    private static boolean isWriting(RequestRecord record) {
        return record.attempts.stream().anyMatch(a -> !a.readsPrompt && a.isInFlight() && !a.isUnsent());
    }

    private void releaseOverdue(RequestRecord record) {
        if (record.reservations.unreleased().isEmpty()) return;
        if (loop.nowMs() < overdueAtMs(record) - TIMER_TOLERANCE_MS) return;
        if (record.reservations.has(Phase.HELD) && record.reservations.noteOverdue()) events.reservationOverdue(record);
        if (isWriting(record)) releaseInUse(record);
        else expire(record);
    }

    private static double overdueAtMs(RequestRecord record) {
        double limitMs = record.terms.reservationLimitMs();
        return record.reservations.limitFromMs() + (isWriting(record) ? IN_USE_SHARE * limitMs : limitMs + SLACK_MS);
    }

    private void armTimer(RequestRecord record) {
        record.reservationTimer.cancel();
        double nextMs = Double.POSITIVE_INFINITY;
        for (Reservation reading : record.reservations.in(Phase.READING)) {
            Attempt read = reading.read();
            if (!read.isUnsent()) nextMs = Math.min(nextMs, reads.judgeAtMs(read, loop.nowMs()));
        }
        // What waits for a read in flight is looked at when that one has ended, which its own deadline bounds.
        boolean waits = !record.reservations.unreleased().isEmpty();
        if (waits && !isReading(record)) nextMs = Math.min(nextMs, overdueAtMs(record));
        if (nextMs < Double.POSITIVE_INFINITY) record.reservationTimer = loop.schedule(nextMs, () -> onTimer(record));
    }

    // ---- Releases ----

    /** Engines pass over what is waited for, so a write that did arrive loses nothing; one that did not comes too late. */
    private void releaseInUse(RequestRecord record) {
        record.reservations.onReleasedInUse(loop.nowMs());
        for (Reservation reservation : record.reservations.unreleased()) {
            order(record, reservation, RELEASE_TRIED_MS, new InUseGate(record));
        }
    }

    /** Nothing can have taken the state: the writes that wait for a connection would come too late for it. */
    private void expire(RequestRecord record) {
        boolean held = record.reservations.has(Phase.HELD);
        record.reservations.unreleased().forEach(reservation -> release(record, reservation));
        if (!held) return;
        record.reservations.setExpired(true);
        for (Attempt attempt : List.copyOf(record.attempts)) {
            if (attempt.isUnsent() && !attempt.readsPrompt) attempts.endWithStateLost(attempt);
        }
    }

    private void release(RequestRecord record, Reservation reservation) {
        reservation.release(loop.nowMs() - record.lastCancelMs < JUST_CANCELLED_MS);
        pending++;
        double triedMs = reservation.mayReappear() ? HANGING_READER_MS : RELEASE_TRIED_MS;
        order(record, reservation, triedMs, new UnusedGate(this, record, reservation));
    }

    private void order(RequestRecord record, Reservation reservation, double triedMs, ReleaseControl gate) {
        double untilMs = loop.nowMs() + triedMs;
        transport.release(reservation.engine, directory.readyEngines(), record.request.id(), untilMs, gate);
    }

    /** The holder runs and has taken a release; a read that it has not ended may leave a state later. */
    private void onHolderAnswered(RequestRecord record, Reservation reservation) {
        if (!reservation.mayReappear() || !reservation.onHolderAnswered(loop.nowMs())) return;
        awaitNextRepeat(record, reservation);
    }

    private void awaitNextRepeat(RequestRecord record, Reservation reservation) {
        if (reservation.repeats() == REPEAT_AFTER_MS.length) {
            onReleaseOver(record, reservation);
            return;
        }
        double dueMs = reservation.holderAnsweredMs() + REPEAT_AFTER_MS[reservation.repeats()];
        loop.schedule(dueMs, () -> {
            reservation.awaitRepeat();
            if (isUnneeded(record)) repeat(record, reservation);
        });
    }

    private void repeat(RequestRecord record, Reservation reservation) {
        if (reservation.isOver()) return;
        reservation.onRepeated();
        order(record, reservation, RELEASE_TRIED_MS, new UnusedGate(this, record, reservation));
        awaitNextRepeat(record, reservation);
    }

    private void onReleaseOver(RequestRecord record, Reservation reservation) {
        if (!reservation.end()) return;
        pending--;
        record.reservations.remove(reservation);
    }

    private void runWaitingReads(RequestRecord record) {
        if (!isReleased(record)) return;
        List<Runnable> reads = new ArrayList<>(record.waitingReads);
        record.waitingReads.clear();
        reads.forEach(Runnable::run);
    }

    /** Of a release of what a write in flight may have taken. */
    private record InUseGate(RequestRecord record) implements ReleaseControl {
        @Override
        public boolean maySend() {
            return !isReading(record);
        }

        @Override
        public boolean isUnresponsive(long engine) {
            return record.hasUnansweredAt(engine);
        }
    }

    /** Of a release of what nothing waits for. */
    private record UnusedGate(ReservationKeeper keeper, RequestRecord record, Reservation reservation)
            implements ReleaseControl {
        @Override
        public boolean maySend() {
            return isUnneeded(record);
        }

        @Override
        public boolean isUnresponsive(long engine) {
            return record.hasUnansweredAt(engine);
        }

        @Override
        public ConnectionChoice connection() {
            return record.hasUnheardAttemptAt(reservation.engine) ? ConnectionChoice.NEW : ConnectionChoice.ANY;
        }

        @Override
        public void onReleased() {
            reservation.onReleased();
            keeper.runWaitingReads(record);
        }

        @Override
        public void onHolderResponded() {
            keeper.onHolderAnswered(record, reservation);
        }

        @Override
        public void onEnded(boolean holderAnswered) {
            if (!holderAnswered || !reservation.mayReappear()) keeper.onReleaseOver(record, reservation);
        }
    }
}
