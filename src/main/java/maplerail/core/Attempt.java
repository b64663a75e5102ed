package maplerail.core;

/** One attempt of a request at an engine. */
final class Attempt {
    final RequestRecord record;
    final int number;
    final long engine;
    final boolean readsPrompt;
    final double sentMs;
    /** Null until it has been handed to the transport. */
    AttemptHandle handle;
    /** Of its deadline or, once its answer streams, of the stall timeout. */
    EventLoop.Timer timeout;

    private double writtenMs = Double.NaN;
    double lastEventMs;
    boolean paused;
    boolean ended;
    double endedMs;
    /** Its engine has said something of it, which proves that it arrived. */
    boolean answered;
    /** Of a read: what writers have said of it. */
    final ReadInquiry inquiry = new ReadInquiry();
    /** Why the gateway ended it; null while it is in flight, or if its engine or connection ended it. */
    AbortReason abortReason;
    /** It ended, and may have been executed. */
    boolean maybeExecuted;

    Attempt(RequestRecord record, long engine, boolean readsPrompt, double sentMs) {
        this.record = record;
        this.number = record.attempts.size();
        this.engine = engine;
        this.readsPrompt = readsPrompt;
        this.sentMs = sentMs;
    }

    /** Its last byte was written to a connection, which proves no arrival. */
    void onWritten(double nowMs) {
        writtenMs = nowMs;
    }

    /** When its last byte was written; as long as that is not known, when it was begun. */
    double writtenMs() {
        return Double.isNaN(writtenMs) ? sentMs : writtenMs;
    }

    /** True if it was given up without a word of its engine: its connection may have been silent. */
    boolean isUnheard() {
        if (!ended || answered || abortReason == null) return false;
        return switch (abortReason) {
            case POLICY, UNHEARD, DEADLINE -> true;
            default -> false;
        };
    }

    boolean isInFlight() {
        return !ended;
    }

    /** True if it is in flight and not a byte of it has been sent. */
    boolean isUnsent() {
        return !ended && handle != null && handle.isUnsent();
    }
}
