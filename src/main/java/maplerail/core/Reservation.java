package maplerail.core;

/** The state that one engine holds, or may hold, for one request. Without a reservation, the engine holds none. */
final class Reservation {
    /** The phase of a reservation, by what is known about the state. */
    enum Phase {
        /** A read is in flight and the engine has not responded yet; the read may have ended there long ago. */
        READING,
        /** The engine has responded that the state is ready for a writer. */
        RESERVED,
        /** A read ended without a response: the engine may hold a state or may still be reading. */
        UNCERTAIN,
        /** A release was started, and is repeated until no state can appear any more. */
        RELEASING
    }

    final long engine;
    private Phase phase;
    /** The read that is in flight; set in phase READING only. */
    private Attempt read;
    /** The engine may leave a state after it has responded to a release, as it may still be reading. */
    private boolean stateMayReappear;
    /** An engine has responded to the release. */
    private boolean released;
    /** When the holder first responded to a release; repeats are scheduled from then on. */
    private double holderRespondedMs = Double.NaN;

    /** The number of repeats sent so far. */
    private int repeats;

    /** A repeat is due, and is sent as soon as that is safe. */
    private boolean repeatDue;

    private boolean finished;

    private Reservation(long engine, Phase phase) {
        this.engine = engine;
        this.phase = phase;
    }

    /** A read is sent to the engine; {@code mayHoldEarlierState} if an earlier read may have left a state there. */
    static Reservation reading(Attempt read, boolean mayHoldEarlierState) {
        Reservation reservation = new Reservation(read.engine, Phase.READING);
        reservation.read = read;
        reservation.stateMayReappear = mayHoldEarlierState;
        return reservation;
    }

    /** The engine has responded: the state is ready there. */
    static Reservation reserved(long engine) {
        return new Reservation(engine, Phase.RESERVED);
    }

    /** A read ended without a complete response; {@code mayBeRunning} unless the engine has reported its end. */
    static Reservation uncertain(long engine, boolean mayBeRunning) {
        Reservation reservation = new Reservation(engine, Phase.UNCERTAIN);
        reservation.stateMayReappear = mayBeRunning;
        return reservation;
    }

    Phase phase() {
        return phase;
    }

    Attempt read() {
        return read;
    }

    /** A writer found no state, so the state is not needed any more; whether the engine still has it is unknown. */
    void onStateLost() {
        if (phase == Phase.RESERVED) phase = Phase.UNCERTAIN;
    }

    /** A release is started; {@code mayPrecedeAttemptEnd} if the engine may receive it before the end of an attempt. */
    void release(boolean mayPrecedeAttemptEnd) {
        phase = Phase.RELEASING;
        stateMayReappear |= mayPrecedeAttemptEnd;
    }

    boolean stateMayReappear() {
        return stateMayReappear;
    }

    boolean isReleased() {
        return released;
    }

    void onReleased() {
        released = true;
    }

    /** No state can appear any more, or the release is not retried any more; returns true the first time. */
    boolean finish() {
        boolean first = !finished;
        finished = true;
        return first;
    }

    boolean isFinished() {
        return finished;
    }

    /** The holder has responded to a release; returns true the first time. */
    boolean onHolderResponded(double nowMs) {
        boolean first = Double.isNaN(holderRespondedMs);
        if (first) holderRespondedMs = nowMs;
        return first;
    }

    double holderRespondedMs() {
        return holderRespondedMs;
    }

    int repeats() {
        return repeats;
    }

    void onRepeated() {
        repeats++;
        repeatDue = false;
    }

    boolean isRepeatDue() {
        return repeatDue;
    }

    void markRepeatDue() {
        repeatDue = true;
    }
}
