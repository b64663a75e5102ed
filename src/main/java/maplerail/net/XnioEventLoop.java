package maplerail.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.OptionalDouble;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import maplerail.core.EventLoop;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * The broker's event loop on an XNIO thread: all of the broker's code runs there and needs no locks.
 *
 * <p>It has its own timers. XNIO runs a thread's timers before it polls the sockets, so on a loop that is late a
 * timeout would fire although the response has arrived. Here a timer that is due only requests a poll, and those that
 * were due when the poll was requested run after it. Between polls timers run for a limited time, so that many of them
 * do not starve the sockets.
 */
public final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);
    private static final double MAX_TIMER_RUN_MS = 10;

    private final XnioIoThread thread;
    private final long startNanos = System.nanoTime();
    private final double startMs = System.currentTimeMillis();
    private final TimerQueue timers = new TimerQueue();
    private final Metrics metrics;
    private final SocketPollBarrier barrier;
    private XnioExecutor.Key wakeUp;
    private double wakeUpMs = Double.POSITIVE_INFINITY;
    private double pollRequestedMs;

    /**
     * Creates the event loop of a thread.
     *
     * @throws UncheckedIOException if no pipe can be created
     */
    public XnioEventLoop(XnioIoThread thread) {
        this(thread, new Metrics());
    }

    /** Creates the event loop of a thread and records its turns and the delays of its timers. */
    public XnioEventLoop(XnioIoThread thread, Metrics metrics) {
        this.thread = thread;
        this.metrics = metrics;
        try {
            barrier = new SocketPollBarrier(thread, this::onPolled);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot create a pipe for the event loop", e);
        }
    }

    /** The thread that the loop runs on. */
    public XnioIoThread thread() {
        return thread;
    }

    @Override
    public double nowMs() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }

    /** May be called from any thread. */
    @Override
    public Timer schedule(double whenMs, Runnable task) {
        if (Thread.currentThread() != thread) {
            PostedTimer posted = new PostedTimer(whenMs, task);
            execute(posted::add);
            return posted;
        }
        TimerQueue.Entry entry = timers.add(whenMs, task);
        scheduleNext();
        return () -> timers.remove(entry);
    }

    /** A timer that was set from another thread. */
    private final class PostedTimer implements Timer {
        private final double whenMs;
        private final Runnable task;
        private Timer timer = () -> {};
        private boolean cancelled;

        PostedTimer(double whenMs, Runnable task) {
            this.whenMs = whenMs;
            this.task = task;
        }

        void add() {
            if (!cancelled) timer = schedule(whenMs, task);
        }

        @Override
        public void cancel() {
            execute(() -> {
                cancelled = true;
                timer.cancel();
            });
        }
    }

    /** Requests a poll if a timer is due, otherwise schedules a wake-up for the first one. */
    private void scheduleNext() {
        OptionalDouble firstMs = timers.firstDueMs();
        if (firstMs.isEmpty() || barrier.isArmed()) return;
        double nowMs = nowMs();
        if (firstMs.getAsDouble() <= nowMs) {
            pollRequestedMs = nowMs;
            barrier.arm();
        } else if (firstMs.getAsDouble() < wakeUpMs) {
            wakeUpAt(firstMs.getAsDouble(), nowMs);
        }
    }

    private void wakeUpAt(double whenMs, double nowMs) {
        if (wakeUp != null) wakeUp.remove();
        wakeUpMs = whenMs;
        long millis = (long) Math.ceil(whenMs - nowMs); // the thread drops fractions
        try {
            wakeUp = thread.executeAfter(this::onWakeUp, millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            barrier.close(); // the thread is stopping: no timer runs any more
        }
    }

    private void onWakeUp() {
        wakeUp = null;
        wakeUpMs = Double.POSITIVE_INFINITY;
        scheduleNext();
    }

    private void onPolled() {
        double dueMs = pollRequestedMs;
        double polledMs = nowMs();
        metrics.loopTurns().record(polledMs - pollRequestedMs);
        double untilMs = polledMs + MAX_TIMER_RUN_MS;
        try {
            do {
                TimerQueue.Entry next = timers.pollDue(dueMs);
                if (next == null) break;
                metrics.timerDelays().record(nowMs() - next.dueMs());
                run(next.task());
            } while (nowMs() < untilMs);
        } finally {
            scheduleNext();
        }
    }

    /** Runs a task; whatever it throws, an error such as a lack of memory too, ends this task only. */
    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            metrics.count(EventCount.LOOP_TASKS_FAILED);
            LOG.error("task of the event loop failed", e);
        }
    }

    /** Stops all timers, so that the thread can end. Must be called on the thread. */
    public void close() {
        barrier.close();
    }

    /** Queues a task, from any thread; it is dropped if the thread is stopping. */
    public void execute(Runnable task) {
        try {
            thread.execute(() -> run(task));
        } catch (RejectedExecutionException e) {
            return;
        }
    }
}
