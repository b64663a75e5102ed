package maplerail.server;

import java.util.function.Supplier;
import maplerail.core.EventLoop;
import maplerail.core.Lifecycle.Phase;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The operators' drain: sends clients away while the process stays, until it is taken back. Answers end their connections;
 * a while after the call, connections on which nothing is asked are ended too, over and over, and the log says what is left.
 */
final class LameDuckController {
    private static final Logger LOG = LoggerFactory.getLogger(LameDuckController.class);
    private static final double GRACE_MS = 1_000; // after the call, in which connections still arrive
    private static final double POLL_MS = 50;
    private static final double REPORT_MS = 1_000;
    private static final double REPORTED_MS = 10_000; // after the call, until when the log says what is left

    private final EventLoop loop;
    private final GatewayLifecycle lifecycle;
    private final Runnable closeIdleConnections;
    private final Supplier<String> whatIsLeft;
    private int calls; // only the poll of the last one goes on

    /**
     * Creates a controller.
     *
     * @param closeIdleConnections ends the connections on which nothing is asked
     * @param whatIsLeft the clients that are still there, for the log
     */
    LameDuckController(
            EventLoop loop, GatewayLifecycle lifecycle, Runnable closeIdleConnections, Supplier<String> whatIsLeft) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.closeIdleConnections = closeIdleConnections;
        this.whatIsLeft = whatIsLeft;
    }

    /** The drain was begun, or taken back; called on the loop. */
    void onChanged(boolean on) {
        int call = ++calls;
        LOG.info(
                "lame duck {} {}",
                on ? "begun, clients are sent away" : "ended, clients may come again",
                whatIsLeft.get());
        if (!on) return;
        double calledMs = loop.nowMs();
        loop.schedule(calledMs + GRACE_MS, () -> poll(call));
        loop.schedule(calledMs + REPORT_MS, () -> report(call, calledMs));
    }

    private boolean isOver(int call) {
        return call != calls || lifecycle.phase() != Phase.LAME_DUCK;
    }

    private void poll(int call) {
        if (isOver(call)) return;
        closeIdleConnections.run();
        loop.schedule(loop.nowMs() + POLL_MS, () -> poll(call));
    }

    private void report(int call, double calledMs) {
        double elapsedMs = loop.nowMs() - calledMs;
        if (isOver(call) || elapsedMs > REPORTED_MS) return;
        LOG.info("lame duck elapsed_ms={} {}", Math.round(elapsedMs), whatIsLeft.get());
        loop.schedule(loop.nowMs() + REPORT_MS, () -> report(call, calledMs));
    }
}
