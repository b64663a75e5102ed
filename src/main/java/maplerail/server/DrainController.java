package maplerail.server;

import maplerail.config.NodeConfig;
import maplerail.core.Broker;
import maplerail.net.XnioEventLoop;
import maplerail.routing.RoutingSettings.RequestClass;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The graceful shutdown after SIGTERM: serves what still arrives for a while, finishes what was taken, hands running streams
 * to another process or breaks them off, then ends. It has to be done before the operators end the process by force.
 */
final class DrainController {
    private static final Logger LOG = LoggerFactory.getLogger(DrainController.class);
    private static final double ARRIVING_MS = 600; // after SIGTERM, for which connections may still arrive
    private static final double POLL_MS = 20;
    private static final double REPORT_MS = 500; // between two lines of the log on what is left
    /** After SIGTERM the process is ended by force: the longest deadline, 3 s at most, and this much later. */
    private static final double FORCE_MS = 700;

    private static final double MAX_DEADLINE_MS = 3_000;
    private static final double ANSWER_MARGIN_MS = 350; // before the end by force, by when all has its answer
    private static final double BREAK_OFF_MS = 1_300; // before the end by force, from when streams are broken off,
    private static final int BREAK_OFF_STEPS = 11; // in so many steps,
    private static final double BREAK_OFF_STEP_MS = 100; // each so long
    private static final double NOT_HANDED_ON_MS = 450; // the same for streams that another process did not take,
    private static final int NOT_HANDED_ON_STEPS = 3; // in so many steps

    private final XnioEventLoop loop;
    private final GatewayLifecycle lifecycle;
    private final Broker broker;
    private final Host host;
    private double nextReportMs;
    private double forcedMs;

    /** The parts of a gateway, as far as its shutdown needs them. */
    interface Host {
        /** The configuration in force. */
        NodeConfig config();

        /** Gives up what the process that serves on needs: sockets, the peers' address, what this one knows. */
        void releaseShared();

        /** Sets the latest deadline of requests from now on, at both fronts. */
        void limitDeadlines(double latestMs);

        /** Looks at what clients had sent when the shutdown began. */
        void onDrainBegun();

        /** Hands running streams on until a time. */
        void handOnStreams(double untilMs);

        /** True if there is a process that takes streams. */
        boolean handsStreamsOn();

        /** Sends clients away that ask nothing. */
        void closeIdleConnections();

        /** True while anything that was taken is not finished. */
        boolean hasOpenWork();

        /** True while a state that engines may hold was not released for certain. */
        boolean hasOpenReleases();

        /** What is not finished, for the log. */
        String openWork();

        /** Everything is finished. */
        void onDrained();
    }

    DrainController(XnioEventLoop loop, GatewayLifecycle lifecycle, Broker broker, Host host) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.broker = broker;
        this.host = host;
    }

    /** Begins the shutdown, unless it has begun before; called on the loop. */
    void start() {
        if (!lifecycle.beginShutdown()) return;
        LOG.info("draining open_requests={}", broker.unfinishedRequests());
        if (!lifecycle.isListening()) {
            host.onDrained();
            return;
        }
        host.releaseShared();
        forcedMs = loop.nowMs() + forcedAfterMs();
        // A request that comes on a kept connection just before the end would be cut off by it.
        host.limitDeadlines(forcedMs - ANSWER_MARGIN_MS);
        host.onDrainBegun();
        loop.schedule(loop.nowMs() + ARRIVING_MS, this::finish);
        host.handOnStreams(forcedMs - NOT_HANDED_ON_MS);
        if (host.config().wire().resume()) loop.schedule(forcedMs - BREAK_OFF_MS, () -> beginBreakingOff());
    }

    private double forcedAfterMs() {
        double longestMs = host.config().settings().classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElse(0);
        return Math.min(MAX_DEADLINE_MS, longestMs) + FORCE_MS;
    }

    /** Where another process takes streams, only those that it did not take are broken off. */
    private void beginBreakingOff() {
        if (host.handsStreamsOn()) loop.schedule(forcedMs - NOT_HANDED_ON_MS, () -> breakOff(NOT_HANDED_ON_STEPS));
        else breakOff(BREAK_OFF_STEPS);
    }

    /**
     * Breaks streams off before the process ends. In a rolling restart the next gateway is told to stop by then, and clients
     * that come for the rest would meet nobody; a little sooner they still meet the next one, and a few at a time, as that
     * one may just have started.
     */
    private void breakOff(int steps) {
        broker.abortStreams(1.0 / steps);
        if (steps > 1) loop.schedule(loop.nowMs() + BREAK_OFF_STEP_MS, () -> breakOff(steps - 1));
    }

    private void finish() {
        host.closeIdleConnections();
        // An engine that hangs may leave a state whenever it goes on; nobody waits for it longer than the operators do.
        boolean waitsForEngines = loop.nowMs() < forcedMs && host.hasOpenReleases();
        if (!host.hasOpenWork() && !waitsForEngines) {
            host.onDrained();
            return;
        }
        if (loop.nowMs() >= nextReportMs) {
            LOG.info("draining open_requests={} {}", broker.unfinishedRequests(), host.openWork());
            nextReportMs = loop.nowMs() + REPORT_MS;
        }
        loop.schedule(loop.nowMs() + POLL_MS, this::finish);
    }
}
