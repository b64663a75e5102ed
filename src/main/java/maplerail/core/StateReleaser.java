package maplerail.core;

import java.util.List;

/** Releases the states that engines hold for a request once no attempt waits for them any more. */
final class StateReleaser {
    /**
     * When a release is repeated. A reader whose attempt was cancelled may finish it all the same: the state is to go
     * soon after that, and within the limit for reservations however late it ends.
     */
    private static final double[] REPEAT_AFTER_MS = {120, 400, 750, 1_100, 1_600};

    private static final double READING_MS = 25; // between two looks at whether a read that is on its way has ended
    private static final double RELEASE_TRIED_MS = 1_500; // for which one that no engine answers is repeated, at least
    private static final double JUST_CANCELLED_MS = 150;
    private static final double STILL_READING_MS = 2_000; // after a read ended without a word from its reader

    private final EngineTransport transport;
    private final EventLoop loop;
    private final EngineDirectory directory;
    private int pendingRepeats;

    StateReleaser(EngineTransport transport, EventLoop loop, EngineDirectory directory) {
        this.transport = transport;
        this.loop = loop;
        this.directory = directory;
    }

    /** Releases whose repeats are not all sent; a process that exited now would leave states held. */
    int pendingRepeats() {
        return pendingRepeats;
    }

    /**
     * Releases all that may be held for a request, unless an attempt is in flight: engines pass over a state that a write
     * waits for, so the release is made when the last attempt has ended.
     */
    void releaseUnused(RequestRecord record) {
        if (record.hasAttemptInFlight()) return;
        for (long engine : List.copyOf(record.possibleHolders.keySet())) release(record, engine);
    }

    /**
     * Releases what an engine may hold though an attempt in flight may have taken it: engines pass over what is waited for.
     * The engine counts as a holder all the same, until the attempt has ended.
     */
    void releaseInUse(RequestRecord record, long engine) {
        send(record, engine);
    }

    /** Releases what an engine may hold, even if an attempt still waits for its connection. */
    void release(RequestRecord record, long engine) {
        double readEndedMs = record.possibleHolders.remove(engine);
        record.confirmedHolders.remove(engine);
        send(record, engine);
        if (mayReappear(record, engine, readEndedMs)) repeat(record, engine);
    }

    /**
     * True if the reader may hold a state later on: the release may overtake the end of a connection that was just
     * closed, and after a reset the reader may go on reading though nobody waits.
     */
    private boolean mayReappear(RequestRecord record, long engine, double readEndedMs) {
        boolean justCancelled = loop.nowMs() - record.lastCancelMs < JUST_CANCELLED_MS;
        boolean stillReading = record.brokenReaders.contains(engine) && loop.nowMs() - readEndedMs < STILL_READING_MS;
        return justCancelled || stillReading;
    }

    private void repeat(RequestRecord record, long engine) {
        pendingRepeats++;
        loop.at(loop.nowMs() + REPEAT_AFTER_MS[REPEAT_AFTER_MS.length - 1], () -> pendingRepeats--);
        for (double afterMs : REPEAT_AFTER_MS) repeatAt(loop.nowMs() + afterMs, record, engine);
    }

    private void repeatAt(double whenMs, RequestRecord record, long engine) {
        loop.at(whenMs, () -> {
            if (!record.answered && record.isReading()) repeatAt(loop.nowMs() + READING_MS, record, engine);
            else if (record.answered || !isUsedAgain(record, engine)) send(record, engine);
        });
    }

    private static boolean isUsedAgain(RequestRecord record, long engine) {
        return record.hasAttemptInFlightAt(engine) || record.confirmedHolders.contains(engine) || record.winner != null;
    }

    private void send(RequestRecord record, long engine) {
        double untilMs = loop.nowMs() + Math.max(RELEASE_TRIED_MS, record.terms.reservationLimitMs());
        transport.release(engine, directory.readyEngines(), record.request.id(), untilMs, new Gate(record));
    }

    private record Gate(RequestRecord record) implements ReleaseGate {
        @Override
        public boolean isOpen() {
            return record.answered || !record.isReading();
        }

        @Override
        public boolean mayAskOthers() {
            return record.answered || record.reservationOverdue || record.confirmedHolders.isEmpty();
        }

        @Override
        public boolean isSuspect(long engine) {
            return record.attempts.stream().anyMatch(attempt -> attempt.engine == engine && !attempt.answered);
        }
    }
}
