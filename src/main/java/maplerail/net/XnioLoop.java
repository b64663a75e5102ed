package maplerail.net;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import maplerail.core.EventLoop;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The broker's loop on an XNIO thread: everything that it owns runs there and needs no locks. */
public final class XnioLoop implements EventLoop {
    private final XnioIoThread thread;
    private final long startNanos = System.nanoTime();
    private final double startMs = System.currentTimeMillis();

    /** Makes the loop of a thread. */
    public XnioLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    /** The thread. */
    public XnioIoThread thread() {
        return thread;
    }

    @Override
    public double nowMs() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }

    @Override
    public Timer at(double whenMs, Runnable task) {
        long millis = (long) Math.ceil(Math.max(0, whenMs - nowMs())); // the thread cuts off parts of one
        try {
            XnioExecutor.Key key = thread.executeAfter(task, millis, TimeUnit.MILLISECONDS);
            return key::remove;
        } catch (RejectedExecutionException e) {
            return () -> {}; // the thread is stopping: nothing is to happen any more
        }
    }

    /** Runs a task soon, from any thread; not at all once the thread is stopping. */
    public void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            return;
        }
    }
}
