package maplerail.support;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What engines have seen of each request: the attempts whose last byte arrived, and those that had an effect. */
public final class EngineLog {
    private final Map<String, Seen> requests = new ConcurrentHashMap<>();

    private static final class Seen {
        private int attempts;
        private int executions;
        private double lastAttemptMs = Double.NEGATIVE_INFINITY;
    }

    /** An attempt has arrived. */
    public void onAttempt(String id) {
        onAttempt(id, KeptConnection.nowMs());
    }

    /** An attempt has arrived at a time, though its engine does not run. */
    public void onAttempt(String id, double arrivedMs) {
        Seen seen = requests.computeIfAbsent(id, unused -> new Seen());
        synchronized (seen) {
            seen.attempts++;
            seen.lastAttemptMs = Math.max(seen.lastAttemptMs, arrivedMs);
        }
    }

    /** A writer has begun to answer a request. */
    public void onExecution(String id) {
        Seen seen = requests.computeIfAbsent(id, unused -> new Seen());
        synchronized (seen) {
            seen.executions++;
        }
    }

    public int attempts(String id) {
        Seen seen = requests.get(id);
        return seen == null ? 0 : seen.attempts;
    }

    public int executions(String id) {
        Seen seen = requests.get(id);
        return seen == null ? 0 : seen.executions;
    }

    /** When the last attempt arrived; negative infinity if none did. */
    public double lastAttemptMs(String id) {
        Seen seen = requests.get(id);
        return seen == null ? Double.NEGATIVE_INFINITY : seen.lastAttemptMs;
    }
}
