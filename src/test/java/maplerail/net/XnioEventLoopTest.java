package maplerail.net;

import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import maplerail.core.EventLoop;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The event loop's guarantee: what had arrived when a timer became due is handled before the timer runs. */
class XnioEventLoopTest {
    private static final long BLOCKED_MS = 60;
    private static final int MAX_REPEATS = 100_000;
    private static final int TIMERS = 100;

    private final XnioWorker worker;
    private final XnioEventLoop loop;
    private final Metrics metrics = new Metrics();
    private final BlockingQueue<String> events = World.queue();

    XnioEventLoopTest() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        loop = new XnioEventLoop(worker.getIoThread(), metrics);
    }

    @AfterEach
    void stop() {
        loop.execute(loop::close);
        worker.shutdownNow();
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static ServerSocket listen() throws Exception {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    private void connect(ServerSocket server) {
        loop.thread()
                .openStreamConnection(
                        new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), null, OptionMap.EMPTY)
                .addNotifier((future, none) -> loop.execute(() -> events.add("connected")), null);
    }

    /** A connect must not time out if the server accepted it while the loop was late. */
    @RepeatedTest(12)
    void anEstablishedConnectionIsHandledBeforeATimerDueLater() throws Exception {
        try (ServerSocket server = listen()) {
            loop.execute(() -> {
                connect(server);
                loop.schedule(loop.nowMs() + 1, () -> events.add("timer"));
                sleep(BLOCKED_MS);
            });
            assertThat(take(events)).isEqualTo("connected");
            assertThat(take(events)).isEqualTo("timer");
        }
    }

    /** Timers due again before a poll, such as those that accept many connections in steps, must not starve sockets. */
    @Test
    void aTimerRescheduledWithoutEndDoesNotStarveSockets() throws Exception {
        try (ServerSocket server = listen()) {
            loop.execute(() -> {
                connect(server);
                repeat(MAX_REPEATS);
            });
            assertThat(take(events)).isEqualTo("connected");
        }
    }

    private void repeat(int times) {
        sleep(2);
        if (times > 0 && events.isEmpty()) loop.schedule(loop.nowMs() - 1, () -> repeat(times - 1));
    }

    /** Many timers due at once must not delay the sockets until all have run. */
    @Test
    void socketsArePolledBetweenManyDueTimers() throws Exception {
        try (ServerSocket server = listen()) {
            loop.execute(() -> loop.schedule(loop.nowMs(), () -> {
                for (int i = 0; i < TIMERS; i++) {
                    loop.schedule(loop.nowMs(), () -> {
                        sleep(2);
                        events.add("timer");
                    });
                }
                connect(server);
            }));
            int timers = 0;
            while (take(events).equals("timer")) timers++;
            assertThat(timers).isLessThan(TIMERS / 2);
        }
    }

    @Test
    void timersRunInOrderNotEarlyAndNotAfterCancel() throws Exception {
        double startMs = loop.nowMs();
        loop.schedule(startMs + 30, () -> events.add("30 at " + (loop.nowMs() >= startMs + 30)));
        loop.schedule(startMs + 10, () -> events.add("10 at " + (loop.nowMs() >= startMs + 10)));
        EventLoop.Timer cancelled = loop.schedule(startMs + 20, () -> events.add("20"));
        cancelled.cancel();
        loop.schedule(startMs + 10, () -> events.add("second of 10"));
        assertThat(take(events)).isEqualTo("10 at true");
        assertThat(take(events)).isEqualTo("second of 10");
        assertThat(take(events)).isEqualTo("30 at true");
    }

    static Stream<Throwable> failures() {
        return Stream.of(new IllegalStateException("thrown by the test"), new OutOfMemoryError("thrown by the test"));
    }

    /** Guards against a loop whose timers stop for good after a task that throws, an error such as a lack of memory too. */
    @ParameterizedTest
    @MethodSource("failures")
    void aFailingTaskDoesNotStopOtherTasks(Throwable failure) throws Exception {
        loop.execute(() -> {
            loop.schedule(loop.nowMs(), () -> sneakyThrow(failure));
            loop.schedule(loop.nowMs(), () -> events.add("next"));
        });
        assertThat(take(events)).isEqualTo("next");
        loop.execute(() -> sneakyThrow(failure));
        loop.schedule(loop.nowMs() + 5, () -> events.add("later"));
        assertThat(take(events)).isEqualTo("later");
        assertThat(metrics.countOf(EventCount.LOOP_TASKS_FAILED)).isEqualTo(2);
    }

    @SuppressWarnings("unchecked")
    private static <T extends Throwable> void sneakyThrow(Throwable failure) throws T {
        throw (T) failure;
    }
}
