package maplerail.core;

/**
 * Tells the processes of one gateway, as there are two in an upgrade, which requests with an effect the others may have
 * executed. A claim is visible to the others before its request is sent to an engine.
 */
public interface ExecutionLog {
    /** The log of a process that has no other beside it. */
    ExecutionLog NONE = new ExecutionLog() {
        @Override
        public boolean claim(String requestId) {
            return true;
        }

        @Override
        public void clear(String requestId) {}

        @Override
        public boolean isClaimedElsewhere(String requestId) {
            return false;
        }
    };

    /** Claims a request that is about to be executed; false if another process has claimed it before. */
    boolean claim(String requestId);

    /** Withdraws a claim: the request was certainly not executed here. */
    void clear(String requestId);

    /** True if another process may have executed a request, or may be about to. */
    boolean isClaimedElsewhere(String requestId);
}
