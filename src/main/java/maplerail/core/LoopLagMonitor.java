package maplerail.core;

import java.util.function.BooleanSupplier;

/**
 * Measures the lag of the event loop by how late its timers run. A process that has just started can receive more
 * requests than it can handle; the excess would wait past its deadlines, and states would be released too late.
 */
final class LoopLagMonitor {
    private static final double PERIOD_MS = 20;

    private final EventLoop loop;
    private final BooleanSupplier active;
    private boolean running;
    private double lagMs;
    private double nextCheckMs;

    /** Creates a monitor that, once started, runs as long as {@code active} returns true. */
    LoopLagMonitor(EventLoop loop, BooleanSupplier active) {
        this.loop = loop;
        this.active = active;
    }

    /** Starts the monitor if it is not running. */
    void start() {
        if (!running) check(0);
    }

    /** The lag in milliseconds; includes the delay of an overdue check, as input may be handled before timers. */
    double lagMs() {
        return Math.max(lagMs, running ? loop.nowMs() - nextCheckMs : 0);
    }

    private void check(double measuredMs) {
        running = active.getAsBoolean();
        lagMs = running ? measuredMs : 0;
        double dueMs = loop.nowMs() + PERIOD_MS;
        nextCheckMs = dueMs;
        if (running) loop.schedule(dueMs, () -> check(loop.nowMs() - dueMs));
    }
}
