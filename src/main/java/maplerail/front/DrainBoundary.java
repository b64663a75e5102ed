package maplerail.front;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import maplerail.core.DrainSchedule;
import org.xnio.StreamConnection;

/**
 * Decides which requests were sent before a drain began. Their clients had not been notified of the drain and may send
 * further requests until the responses end, no matter when the first ones are parsed: these may be in the listener's
 * backlog, on connections that are not admitted yet, in a connection's buffers, or behind another request. So when a
 * drain begins, all of these are inspected, and the input they contain then counts as sent before.
 */
final class DrainBoundary {
    private final DrainSchedule drain;
    private final Set<StreamConnection> acceptedBeforeDrain = new HashSet<>(); // and not admitted yet
    private int markedDrains;
    private boolean backlogMayHoldEarlier;

    DrainBoundary(DrainSchedule drain) {
        this.drain = drain;
    }

    /**
     * Reports that the listener has accepted the pending connections. To be called when a drain begins, and before any
     * connection is admitted.
     *
     * @param waiting the connections that are accepted and not admitted yet
     * @param open the admitted connections
     * @param mayBeFull true if the connection limit may be reached, so that some may be left in the backlog
     */
    void onAccepted(Collection<StreamConnection> waiting, Collection<ClientConnection> open, boolean mayBeFull) {
        if (isDrainUnmarked()) {
            markedDrains = drain.drainCount();
            open.forEach(ClientConnection::markDrainStart);
            backlogMayHoldEarlier = true;
        }
        if (!backlogMayHoldEarlier) return;
        acceptedBeforeDrain.addAll(waiting);
        backlogMayHoldEarlier = mayBeFull;
    }

    /** Reports that a connection is admitted. */
    void onAdmitted(StreamConnection connection, ClientConnection client) {
        if (acceptedBeforeDrain.remove(connection)) client.markDrainStart();
    }

    /** True if the request whose head has just been read was sent before the drain began, or no drain has begun. */
    boolean isSentBeforeDrain(ClientConnection client) {
        return !drain.isDraining() || isDrainUnmarked() || client.hasReadOnlyPreDrainInput();
    }

    private boolean isDrainUnmarked() {
        return drain.isDraining() && markedDrains != drain.drainCount();
    }
}
