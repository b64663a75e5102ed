package maplerail.core;

import java.util.function.BooleanSupplier;

/**
 * Measures how far the event loop is behind, by how late timers run. A process that has just started can be given more
 * than it keeps up with; what it took on top would wait past its deadline, and states would be released too late.
 */
final class LoopLagMonitor {
    private static final double PERIOD_MS = 20;

    private final EventLoop loop;
    private final BooleanSupplier active;
    private boolean running;
    private double lagMs;
    private double nextCheckMs;

    /** Creates a monitor that, once started, runs for as long as {@code active}. */
    LoopLagMonitor(EventLoop loop, BooleanSupplier active) {
        this.loop = loop;
        this.active = active;
    }

    /** Starts it if it is not running. */
    void start() {
        if (!running) check(0);
    }

    /** The lag in milliseconds; a check that is overdue counts, as arrivals may be handled before timers. */
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
