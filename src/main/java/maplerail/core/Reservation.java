package maplerail.core;

/** What one engine holds, or may hold, for one request. The absence of a reservation says that it holds nothing. */
final class Reservation {
    /** How much is known of it. */
    enum Phase {
        /** A read is in flight to the engine, which has said nothing of it yet: it may have ended there long ago. */
        READING,
        /** The engine has said that the state waits there. */
        HELD,
        /** A read ended without a word of the engine: it may hold a state, or be reading still. */
        ABANDONED,
        /** A release has been ordered, and is repeated until no state can come any more. */
        RELEASING
    }

    final long engine;
    private Phase phase;
    /** The read that is in flight; null in the other phases. */
    private Attempt read;
    /** The engine may leave a state after it has answered a release: it may still be reading. */
    private boolean mayReappear;
    /** An engine has answered the release. */
    private boolean released;
    /** When the holder first answered a release; from then on repeats are made. */
    private double holderAnsweredMs = Double.NaN;

    /** Repeats made so far. */
    private int repeats;

    /** A repeat is due, and is made once it harms nothing. */
    private boolean repeatWaiting;

    private boolean over;

    private Reservation(long engine, Phase phase) {
        this.engine = engine;
        this.phase = phase;
    }

    /** A read goes to the engine; {@code mayHoldOlder} if an earlier one may have left a state there. */
    static Reservation reading(Attempt read, boolean mayHoldOlder) {
        Reservation reservation = new Reservation(read.engine, Phase.READING);
        reservation.read = read;
        reservation.mayReappear = mayHoldOlder;
        return reservation;
    }

    /** The engine's answer has come: the state waits there. */
    static Reservation held(long engine) {
        return new Reservation(engine, Phase.HELD);
    }

    /** A read ended without its engine's complete answer; {@code mayRun} if the engine has not said that it has ended. */
    static Reservation abandoned(long engine, boolean mayRun) {
        Reservation reservation = new Reservation(engine, Phase.ABANDONED);
        reservation.mayReappear = mayRun;
        return reservation;
    }

    Phase phase() {
        return phase;
    }

    Attempt read() {
        return read;
    }

    /** A writer has found no state, so nothing waits for this one; whether the engine has it still is not known. */
    void loseState() {
        if (phase == Phase.HELD) phase = Phase.ABANDONED;
    }

    /** A release is ordered; {@code mayBePassedOver} if the engine may see it before the end of an attempt. */
    void release(boolean mayBePassedOver) {
        phase = Phase.RELEASING;
        mayReappear |= mayBePassedOver;
    }

    boolean mayReappear() {
        return mayReappear;
    }

    boolean isReleased() {
        return released;
    }

    void onReleased() {
        released = true;
    }

    /** No state can come any more, or nothing more is tried; true the first time. */
    boolean end() {
        boolean first = !over;
        over = true;
        return first;
    }

    boolean isOver() {
        return over;
    }

    /** The holder has answered a release; true the first time. */
    boolean onHolderAnswered(double nowMs) {
        boolean first = Double.isNaN(holderAnsweredMs);
        if (first) holderAnsweredMs = nowMs;
        return first;
    }

    double holderAnsweredMs() {
        return holderAnsweredMs;
    }

    int repeats() {
        return repeats;
    }

    void onRepeated() {
        repeats++;
        repeatWaiting = false;
    }

    boolean isRepeatWaiting() {
        return repeatWaiting;
    }

    void awaitRepeat() {
        repeatWaiting = true;
    }
}
