package maplerail.core;

/** One attempt of a request at an engine. */
final class Attempt {
    final RequestRecord record;
    final int number;
    final long engine;
    final boolean readsPrompt;
    final double sentMs;
    /** Null until the attempt is started. */
    AttemptHandle handle;
    /** The timer of its deadline or, once its response streams, of the stall timeout. */
    EventLoop.Timer timeout;

    private double writtenMs = Double.NaN;
    double lastEventMs;
    boolean paused;
    boolean ended;
    double endedMs;
    /** True once its engine has responded, which proves that the attempt arrived there. */
    boolean engineResponded;
    /** For a read: the results of asking writers whether it is still in flight. */
    final ReadProbe probe = new ReadProbe();
    /** Why the gateway ended it; null while it is in flight, or if its engine or connection ended it. */
    AbortReason abortReason;
    /** True if it has ended and its engine may have executed it. */
    boolean maybeExecuted;

    Attempt(RequestRecord record, long engine, boolean readsPrompt, double sentMs) {
        this.record = record;
        this.number = record.attempts.size();
        this.engine = engine;
        this.readsPrompt = readsPrompt;
        this.sentMs = sentMs;
    }

    /** Its last byte was written to a connection, which does not prove that it arrived. */
    void onWritten(double nowMs) {
        writtenMs = nowMs;
    }

    /** When its last byte was written or, until that is known, when the attempt was started. */
    double writtenMs() {
        return Double.isNaN(writtenMs) ? sentMs : writtenMs;
    }

    /** True if it was aborted without any response from its engine: its connection may be dead without an error. */
    boolean wasAbortedWithoutResponse() {
        if (!ended || engineResponded || abortReason == null) return false;
        return switch (abortReason) {
            case POLICY, UNHEARD, DEADLINE -> true;
            default -> false;
        };
    }

    boolean isInFlight() {
        return !ended;
    }

    /** True if it is in flight and no byte of it has been sent. */
    boolean isUnsent() {
        return !ended && handle != null && handle.isUnsent();
    }
}
