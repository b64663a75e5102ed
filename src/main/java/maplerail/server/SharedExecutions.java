package maplerail.server;

import maplerail.core.ExecutionLog;
import maplerail.migration.SharedExecutionLog;

/** The broker's view of the log that the processes of a gateway share. */
record SharedExecutions(SharedExecutionLog log) implements ExecutionLog {
    @Override
    public boolean claim(String requestId) {
        return log.claim(requestId);
    }

    @Override
    public void clear(String requestId) {
        log.clear(requestId);
    }

    @Override
    public boolean isClaimedElsewhere(String requestId) {
        return log.isClaimedElsewhere(requestId);
    }
}
