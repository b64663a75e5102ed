package maplerail.net;

import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Runs a task after a thread's selector has been polled and all that was ready then has been handled.
 *
 * <p>An XNIO thread runs all queued tasks and due timers, and those that they queue, before it polls its selector, so a
 * task that queues itself again cannot wait for a poll. The end of a pipe that is never written to is always writable:
 * once write events are enabled for it, the next poll reports it together with all other sockets that are ready.
 */
final class SocketPollBarrier {
    private final XnioIoThread thread;
    private final Runnable onPolled;
    private final StreamSourceChannel source;
    private final StreamSinkChannel sink;
    private boolean armed;

    /**
     * Creates a barrier; {@code onPolled} is run on the thread once for each {@link #arm}.
     *
     * @throws IOException if no pipe can be created
     */
    SocketPollBarrier(XnioIoThread thread, Runnable onPolled) throws IOException {
        this.thread = thread;
        this.onPolled = onPolled;
        var pipe = thread.createHalfDuplexPipe();
        source = pipe.getLeftSide();
        sink = pipe.getRightSide();
        sink.getWriteSetter().set(channel -> onWritable());
    }

    /** Schedules a run of the task after the next poll that begins. Must be called on the thread. */
    void arm() {
        if (armed) return;
        armed = true;
        sink.resumeWrites();
    }

    boolean isArmed() {
        return armed;
    }

    private void onWritable() {
        sink.suspendWrites();
        // The other sockets of this poll are handled before any task, and the tasks that they queue run before the
        // inner one.
        execute(() -> execute(this::onPollCompleted));
    }

    private void onPollCompleted() {
        armed = false;
        onPolled.run();
    }

    private void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            close();
        }
    }

    /** Closes the pipe; the task does not run any more. */
    void close() {
        IoUtils.safeClose(sink);
        IoUtils.safeClose(source);
    }
}
