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
 * Lets new connections in a few at a time, with whatever else is due on the loop in between. Guards against a crowd
 * such as a program just started meets: taken in at one go, it kept the loop from what engines had answered for more
 * than a second, so that states which nobody had seen counted as pinned.
 */
public final class AcceptThrottle implements ChannelListener<AcceptingChannel<StreamConnection>> {
    /** The most connections let in before the loop looks after the rest. */
    public static final int AT_ONCE = 4;

    private static final Logger LOG = LoggerFactory.getLogger(AcceptThrottle.class);
    private static final double PAUSE_MS = 1;
    private static final double LATE_MS = 60; // of a turn, from which the loop has enough to do

    private final ChannelListener<StreamConnection> next;
    private final Consumer<Collection<StreamConnection>> onAccepted;
    private final EventLoop loop;
    private final ArrayDeque<StreamConnection> waiting = new ArrayDeque<>();
    private boolean admitting;

    /**
     * Creates a throttle before what manages open connections.
     *
     * @param onAccepted hears of the connections that wait to be let in, after all that are there have been accepted
     */
    public AcceptThrottle(
            ChannelListener<StreamConnection> next, Consumer<Collection<StreamConnection>> onAccepted, EventLoop loop) {
        this.next = next;
        this.onAccepted = onAccepted;
        this.loop = loop;
    }

    /** Connections that have been taken and not let in yet: their clients may have sent a request. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Takes all that are there: XNIO runs nothing else on this thread while it has some left. */
    @Override
    public void handleEvent(AcceptingChannel<StreamConnection> from) {
        acceptAll(from);
        onAccepted.accept(waiting);
        if (!admitting) admit(AT_ONCE);
    }

    private void acceptAll(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection came = from.accept(); came != null; came = from.accept()) waiting.add(came);
        } catch (ClosedChannelException e) {
            LOG.debug("no connections are taken any more"); // as when another process serves the socket
        } catch (IOException e) {
            LOG.warn("a connection could not be taken: {}", e.getMessage());
        }
    }

    /**
     * Lets a few in, and looks again after a pause until nobody has come meanwhile: a crowd that XNIO hands over one
     * connection at a time is held back as well. A program that is behind already lets in one at a time: let in only to
     * be refused, each client would come again at once and cost as much as if it had been served.
     */
    private void admit(int most) {
        admitting = !waiting.isEmpty();
        for (int i = 0; i < most && !waiting.isEmpty(); i++) next.handleEvent(waiting.poll());
        double due = loop.nowMs() + PAUSE_MS;
        if (admitting) loop.schedule(due, () -> admit(loop.nowMs() - due < LATE_MS ? AT_ONCE : 1));
    }
}
