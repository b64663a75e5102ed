package maplerail.front;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import maplerail.core.DrainSchedule;
import org.xnio.StreamConnection;

/**
 * Tells which requests were sent before a drain began. Their clients had been told nothing and may send behind them until
 * their answers end, whenever the requests are parsed: they may lie in the listener's queue, among the connections that
 * are not let in yet, in a connection's buffers, or behind another request. So when a drain begins all these are looked at, and
 * what they hold by then was sent before.
 */
final class DrainBoundary {
    private final DrainSchedule drain;
    private final Set<StreamConnection> acceptedBefore = new HashSet<>(); // and not let in yet
    private int notedDrains;
    private boolean listenerHoldsEarlier;

    DrainBoundary(DrainSchedule drain) {
        this.drain = drain;
    }

    /**
     * The listener has accepted what came. To be called when a drain begins, and before any connection is let in.
     *
     * @param waiting the connections that are accepted and not let in
     * @param open the connections that are let in
     * @param isFull true if no more may be accepted, so that some may be left in the listener's queue
     */
    void onAccepted(Collection<StreamConnection> waiting, Collection<ClientConnection> open, boolean isFull) {
        if (isUnnoted()) {
            notedDrains = drain.drainCount();
            open.forEach(ClientConnection::noteDrain);
            listenerHoldsEarlier = true;
        }
        if (!listenerHoldsEarlier) return;
        acceptedBefore.addAll(waiting);
        listenerHoldsEarlier = isFull;
    }

    /** A connection is let in. */
    void onAdmitted(StreamConnection connection, ClientConnection client) {
        if (acceptedBefore.remove(connection)) client.noteDrain();
    }

    /** True if the request whose head has just been read was sent before the drain began, or none has begun. */
    boolean isBefore(ClientConnection client) {
        return !drain.isDraining() || isUnnoted() || client.hasReadOnlyWhatCameBefore();
    }

    private boolean isUnnoted() {
        return drain.isDraining() && notedDrains != drain.drainCount();
    }
}
