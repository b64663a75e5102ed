package maplerail.core;

import maplerail.core.Reservation.Phase;

/**
 * Sends the releases of what engines may hold for a request, and repeats them while an engine may hold something again:
 * a reader that has not ended a read, a writer that has not responded to a call.
 */
final class ReservationReleaser {
    /** How long a release is normally retried. */
    private static final double RELEASE_RETRY_MS = 1_500;

    /** How long a release is retried if its holder may still be working: long enough for a hung engine to recover. */
    private static final double HUNG_HOLDER_RETRY_MS = 30_000;

    /** How long after the cancellation of an attempt a release may overtake the close of its connection. */
    private static final double RECENT_CANCEL_MS = 150;

    /** When a release is repeated, after the holder's first response: the reader may end its read after that. */
    private static final double[] REPEAT_AFTER_MS = {120, 400, 750, 1_100, 1_600};

    private final EngineTransport transport;
    private final EventLoop loop;
    private final EngineDirectory directory;
    private final RequestEventLog events;
    private final Listener listener;
    private int unfinishedReleases;

    /** Decides when releases may be sent, and is told of their answers. */
    interface Listener {
        /** True if no attempt needs what is held for a request, and no read would be undone. */
        boolean isReleaseSafe(RequestRecord record);

        /** True while a read of a request is in flight, which a release would undo. */
        boolean isReading(RequestRecord record);

        /** An engine has answered a release of a request for the first time, or a release has ended without an answer. */
        void onReleased(RequestRecord record);
    }

    ReservationReleaser(
            EngineTransport transport,
            EventLoop loop,
            EngineDirectory directory,
            RequestEventLog events,
            Listener listener) {
        this.transport = transport;
        this.loop = loop;
        this.directory = directory;
        this.events = events;
        this.listener = listener;
    }

    int unfinishedReleases() {
        return unfinishedReleases;
    }

    static boolean isReleased(RequestRecord record) {
        return record.reservations.inPhase(Phase.RELEASING).stream().allMatch(Reservation::isReleased);
    }

    /**
     * Releases everything for which no release was started, except places whose writers have not responded to the call
     * yet. One release frees whatever is held anywhere: a writer's place needs one of its own only if it is all that is
     * held, or may appear later.
     */
    void releaseAll(RequestRecord record) {
        boolean covered = !record.reservations.unreleased().isEmpty();
        record.reservations.unreleased().forEach(reservation -> release(record, reservation));
        for (PlaceReservation place : record.reservations.answeredPlaces()) {
            record.reservations.removePlace(place);
            if (!covered || place.mayAppearLater()) releasePlace(record, place);
            covered = true;
        }
    }

    private void releasePlace(RequestRecord record, PlaceReservation place) {
        Reservation holder = Reservation.uncertain(place.writer, place.mayAppearLater(), place.askedMs);
        record.reservations.put(holder);
        release(record, holder);
    }

    private void release(RequestRecord record, Reservation reservation) {
        events.releaseStarted(record, reservation);
        reservation.release(loop.nowMs() - record.lastCancelMs < RECENT_CANCEL_MS, loop.nowMs());
        unfinishedReleases++;
        double retryMs = reservation.stateMayReappear() ? HUNG_HOLDER_RETRY_MS : RELEASE_RETRY_MS;
        sendRelease(record, reservation, retryMs, new UnusedReleaseControl(this, record, reservation));
    }

    /** Engines ignore a release while a write waits for the state, so only a write that did not arrive loses it. */
    void releasePossiblyInUse(RequestRecord record) {
        record.reservations.onReleasedInUse(loop.nowMs());
        for (Reservation reservation : record.reservations.unreleased()) {
            sendRelease(record, reservation, RELEASE_RETRY_MS, new InUseReleaseControl(listener, record));
        }
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
            finish(record, reservation);
            return;
        }
        double dueMs = reservation.holderRespondedMs() + REPEAT_AFTER_MS[reservation.repeats()];
        loop.schedule(dueMs, () -> {
            reservation.markRepeatDue();
            if (listener.isReleaseSafe(record)) repeat(record, reservation);
        });
    }

    /** Sends the repeats that are due; to be called when a release is safe. */
    void sendDueRepeats(RequestRecord record) {
        for (Reservation releasing : record.reservations.inPhase(Phase.RELEASING)) {
            if (releasing.isRepeatDue()) repeat(record, releasing);
        }
    }

    private void repeat(RequestRecord record, Reservation reservation) {
        if (reservation.isFinished()) return;
        reservation.onRepeated();
        sendRelease(record, reservation, RELEASE_RETRY_MS, new UnusedReleaseControl(this, record, reservation));
        scheduleNextRepeat(record, reservation);
    }

    /** No state can appear any more, or the release is not retried any more. */
    void finish(RequestRecord record, Reservation reservation) {
        if (!reservation.finish()) return;
        unfinishedReleases--;
        record.reservations.remove(reservation);
        listener.onReleased(record);
    }

    /** Controls the release of a state that a write in flight may use. */
    private record InUseReleaseControl(Listener listener, RequestRecord record) implements ReleaseControl {
        @Override
        public boolean maySend() {
            return !listener.isReading(record);
        }

        @Override
        public boolean isUnresponsive(long engine) {
            return record.hasAttemptWithoutResponseAt(engine);
        }
    }

    /** Controls the release of what no attempt needs. */
    private record UnusedReleaseControl(ReservationReleaser releaser, RequestRecord record, Reservation reservation)
            implements ReleaseControl {
        @Override
        public boolean maySend() {
            return releaser.listener.isReleaseSafe(record);
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
            releaser.listener.onReleased(record);
        }

        @Override
        public void onHolderResponded() {
            releaser.onHolderResponded(record, reservation);
        }

        @Override
        public void onEnded(boolean holderResponded) {
            if (!holderResponded || !reservation.stateMayReappear()) releaser.finish(record, reservation);
        }
    }
}
