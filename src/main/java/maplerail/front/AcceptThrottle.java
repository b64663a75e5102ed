package maplerail.front;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.function.Consumer;
import maplerail.core.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * Admits new connections in small batches, so that other tasks of the event loop run in between. A burst of
 * connections, as right after a process start, would otherwise keep the loop from reading engine responses for more
 * than a second, and states reported in unread responses would count as pinned.
 */
public final class AcceptThrottle implements ChannelListener<AcceptingChannel<StreamConnection>> {
    /** The maximum number of connections admitted before other tasks of the loop run. */
    public static final int BATCH_SIZE = 4;

    private static final Logger LOG = LoggerFactory.getLogger(AcceptThrottle.class);
    private static final double PAUSE_MS = 1;
    private static final double LATE_LOOP_MS = 60; // delay of a timer from which the loop counts as overloaded

    private final ChannelListener<StreamConnection> next;
    private final Consumer<Collection<StreamConnection>> onAccepted;
    private final EventLoop loop;
    private final ArrayDeque<StreamConnection> waiting = new ArrayDeque<>();
    private boolean admitting;

    /**
     * Creates a throttle.
     *
     * @param next receives the admitted connections
     * @param onAccepted receives the connections that wait for admission, after all available ones have been accepted
     */
    public AcceptThrottle(
            ChannelListener<StreamConnection> next, Consumer<Collection<StreamConnection>> onAccepted, EventLoop loop) {
        this.next = next;
        this.onAccepted = onAccepted;
        this.loop = loop;
    }

    /** The number of connections that are accepted and not admitted yet; their clients may have sent requests. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Accepts all pending connections: XNIO runs nothing else on this thread while the backlog has some. */
    @Override
    public void handleEvent(AcceptingChannel<StreamConnection> channel) {
        acceptAll(channel);
        onAccepted.accept(waiting);
        if (!admitting) admit(BATCH_SIZE);
    }

    private void acceptAll(AcceptingChannel<StreamConnection> channel) {
        try {
            for (StreamConnection connection = channel.accept(); connection != null; connection = channel.accept())
                waiting.add(connection);
        } catch (ClosedChannelException e) {
            LOG.debug("listening socket is closed, no more connections are accepted"); // as after a handover
        } catch (IOException e) {
            LOG.warn("failed to accept a connection: {}", e.getMessage());
        }
    }

    /**
     * Admits a batch and repeats after a pause until no connection waits, which also throttles a burst that XNIO hands
     * over one connection at a time. A late loop admits one connection at a time: clients that are admitted only to be
     * rejected reconnect at once and cost as much as if they had been served.
     */
    private void admit(int limit) {
        admitting = !waiting.isEmpty();
        for (int i = 0; i < limit && !waiting.isEmpty(); i++) next.handleEvent(waiting.poll());
        double due = loop.nowMs() + PAUSE_MS;
        if (admitting) loop.schedule(due, () -> admit(loop.nowMs() - due < LATE_LOOP_MS ? BATCH_SIZE : 1));
    }
}
