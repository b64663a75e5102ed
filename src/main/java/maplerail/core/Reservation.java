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

    /** How long an unanswered release counts as one that an engine may still answer soon. */
    private static final double RELEASE_ATTEMPT_MS = 1_500;

    final long engine;
    private final double sinceMs;
    private Phase phase;
    /** The read that is in flight; set in phase READING only. */
    private Attempt read;
    /** The engine may leave a state after it has responded to a release, as it may still be reading. */
    private boolean stateMayReappear;
    /** An engine has responded to the release. */
    private boolean released;

    private double releaseStartedMs = Double.NaN;

    /** When the holder first responded to a release; repeats are scheduled from then on. */
    private double holderRespondedMs = Double.NaN;

    /** The number of repeats sent so far. */
    private int repeats;

    /** A repeat is due, and is sent as soon as that is safe. */
    private boolean repeatDue;

    private boolean finished;

    private Reservation(long engine, Phase phase, double sinceMs) {
        this.engine = engine;
        this.phase = phase;
        this.sinceMs = sinceMs;
    }

    /** A read is sent to the engine; {@code previous} may have left a state there, or is null. */
    static Reservation reading(Attempt read, Reservation previous) {
        boolean mayHoldEarlierState = previous != null;
        boolean unreleased = mayHoldEarlierState && previous.phase != Phase.RELEASING;
        double earlierMs = unreleased ? previous.sinceMs : Double.POSITIVE_INFINITY;
        Reservation reservation = new Reservation(read.engine, Phase.READING, earlierMs);
        reservation.read = read;
        reservation.stateMayReappear = mayHoldEarlierState;
        return reservation;
    }

    /** The engine has responded: the state is ready there. */
    static Reservation reserved(long engine, double nowMs) {
        return new Reservation(engine, Phase.RESERVED, nowMs);
    }

    /**
     * The engine may hold a state or a place since the given time; {@code mayAppearLater} unless it has reported the
     * end of the attempt or call that may leave it.
     */
    static Reservation uncertain(long engine, boolean mayAppearLater, double sinceMs) {
        Reservation reservation = new Reservation(engine, Phase.UNCERTAIN, sinceMs);
        reservation.stateMayReappear = mayAppearLater;
        return reservation;
    }

    /**
     * The earliest time at which the engine may have begun to hold something, in milliseconds. In phase READING only
     * what it may have held before the read counts: infinity if that is nothing.
     */
    double sinceMs() {
        return sinceMs;
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
    void release(boolean mayPrecedeAttemptEnd, double nowMs) {
        phase = Phase.RELEASING;
        releaseStartedMs = nowMs;
        stateMayReappear |= mayPrecedeAttemptEnd;
    }

    boolean stateMayReappear() {
        return stateMayReappear;
    }

    /** True while its release has no answer, until the engines that were called count as unreachable. */
    boolean awaitsRelease(double nowMs) {
        return phase == Phase.RELEASING && !released && nowMs < releaseStartedMs + RELEASE_ATTEMPT_MS;
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
