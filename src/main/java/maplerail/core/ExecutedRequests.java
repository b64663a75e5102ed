package maplerail.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;

/**
 * Remembers the requests with an effect that may have been executed, after their clients have left or had their answers: a
 * request that comes again with the same id must not be executed twice.
 */
final class ExecutedRequests {
    private static final int MAX_REMEMBERED = 16_384;
    private static final double RETENTION_MS = 600_000;

    private final EventLoop loop;
    private final Metrics metrics;
    private final Map<String, Double> executedMs = new LinkedHashMap<>(); // by id, the longest ago first
    private ExecutionLog log = ExecutionLog.NONE;

    ExecutedRequests(EventLoop loop, Metrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Sets the log that the processes of this gateway share. */
    void setLog(ExecutionLog shared) {
        log = shared;
    }

    /** True if a request with this id may have been executed, here or by another process. */
    boolean mayContain(String requestId) {
        dropExpired();
        return executedMs.containsKey(requestId) || log.isClaimedElsewhere(requestId);
    }

    /** To be called before an attempt that may have an effect; false if another process may have executed the request. */
    boolean claim(RequestRecord record) {
        if (record.claimed || record.isRepeatable()) return true;
        record.claimed = log.claim(record.request.id());
        return record.claimed;
    }

    /** To be called when a request has no attempt in flight any more and its response has ended. */
    void onClosed(RequestRecord record) {
        if (!record.claimed) return;
        if (record.mayHaveExecuted()) remember(record.request.id());
        else log.clear(record.request.id());
    }

    private void remember(String requestId) {
        executedMs.put(requestId, loop.nowMs());
        if (executedMs.size() <= MAX_REMEMBERED) return;
        dropOldest();
        metrics.count(EventCount.EXECUTIONS_FORGOTTEN);
    }

    private void dropExpired() {
        double expiredMs = loop.nowMs() - RETENTION_MS;
        while (!executedMs.isEmpty() && executedMs.values().iterator().next() < expiredMs) dropOldest();
    }

    private void dropOldest() {
        Iterator<String> oldest = executedMs.keySet().iterator();
        oldest.next();
        oldest.remove();
    }
}
