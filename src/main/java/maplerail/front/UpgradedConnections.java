package maplerail.front;

import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import org.xnio.StreamConnection;

/**
 * The upgraded connections of one listener. Closes those that have been idle for too long, and while connections are scarce
 * those that have been idle for the longest: each of them would lock out another client.
 */
final class UpgradedConnections {
    private static final double MIN_IDLE_MS = 2_000; // for which a client can rely on an idle connection

    private final Metrics metrics;
    private final Map<StreamConnection, Upgraded> connections = new LinkedHashMap<>();
    private final Set<StreamConnection> closing = new HashSet<>();

    private record Upgraded(UpgradedHandler handler, double maxIdleMs) {
        double idleMs(double nowMs) {
            return nowMs - handler.idleSinceMs().orElse(nowMs);
        }
    }

    UpgradedConnections(Metrics metrics) {
        this.metrics = metrics;
    }

    /** Adds a connection that may be idle for {@code maxIdleMs}. */
    void add(StreamConnection connection, UpgradedHandler handler, double maxIdleMs) {
        connections.put(connection, new Upgraded(handler, maxIdleMs));
    }

    void remove(StreamConnection connection) {
        connections.remove(connection);
        closing.remove(connection);
    }

    /** The number of connections whose close has begun here and that are still open. */
    int closingCount() {
        return closing.size();
    }

    /** Closes the connections that have been idle for longer than they may. */
    void closeExpired(double nowMs) {
        List<Map.Entry<StreamConnection, Upgraded>> expired = connections.entrySet().stream()
                .filter(each -> each.getValue().idleMs(nowMs) >= each.getValue().maxIdleMs())
                .toList();
        expired.forEach(each -> close(each, "idle", EventCount.CONNECTIONS_CLOSED_IDLE));
    }

    /** Closes some of the connections that have been idle for the longest, to make room. */
    void free(int count, double nowMs) {
        if (count <= 0) return;
        Comparator<Map.Entry<StreamConnection, Upgraded>> byIdleTime =
                Comparator.comparingDouble(each -> each.getValue().idleMs(nowMs));
        List<Map.Entry<StreamConnection, Upgraded>> idlest = connections.entrySet().stream()
                .filter(each -> each.getValue().idleMs(nowMs) >= MIN_IDLE_MS)
                .sorted(byIdleTime.reversed())
                .limit(count)
                .toList();
        idlest.forEach(
                each -> close(each, "idle while connections are scarce", EventCount.CONNECTIONS_CLOSED_FOR_ROOM));
    }

    private void close(Map.Entry<StreamConnection, Upgraded> upgraded, String reason, EventCount cause) {
        if (!upgraded.getValue().handler().closeIfIdle(reason)) return;
        metrics.count(cause);
        closing.add(upgraded.getKey());
    }
}
