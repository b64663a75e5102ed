package maplerail.net;

import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import maplerail.core.EventLoop;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The promise of the event loop: what had arrived when a timer became due is handled before the timer runs. */
class XnioLoopTest {
    private static final long LATE_MS = 60;
    private static final int ENDLESS = 100_000;
    private static final int TIMERS = 100;

    private final XnioWorker worker;
    private final XnioLoop loop;
    private final BlockingQueue<String> seen = World.queue();

    XnioLoopTest() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        loop = new XnioLoop(worker.getIoThread());
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
                .addNotifier((future, none) -> loop.execute(() -> seen.add("connected")), null);
    }

    /** Guards against a dial that is given up though its far side accepted it while the loop was late. */
    @RepeatedTest(12)
    void aConnectionThatCameUpIsSeenBeforeATimerThatWasDueLater() throws Exception {
        try (ServerSocket server = listen()) {
            loop.execute(() -> {
                connect(server);
                loop.schedule(loop.nowMs() + 1, () -> seen.add("timer"));
                sleep(LATE_MS);
            });
            assertThat(take(seen)).isEqualTo("connected");
            assertThat(take(seen)).isEqualTo("timer");
        }
    }

    /** Guards against timers that are due again before the sockets are looked at, such as those of a crowd let in by steps. */
    @Test
    void aTimerThatIsAlwaysDueAgainDoesNotKeepTheLoopFromItsSockets() throws Exception {
        try (ServerSocket server = listen()) {
            loop.execute(() -> {
                connect(server);
                repeat(ENDLESS);
            });
            assertThat(take(seen)).isEqualTo("connected");
        }
    }

    private void repeat(int times) {
        sleep(2);
        if (times > 0 && seen.isEmpty()) loop.schedule(loop.nowMs() - 1, () -> repeat(times - 1));
    }

    /** Guards against many timers at once that keep the loop from its sockets until all have run. */
    @Test
    void manyTimersAtOnceLetTheSocketsBeSeenBetweenThem() throws Exception {
        try (ServerSocket server = listen()) {
            loop.execute(() -> loop.schedule(loop.nowMs(), () -> {
                for (int i = 0; i < TIMERS; i++) {
                    loop.schedule(loop.nowMs(), () -> {
                        sleep(2);
                        seen.add("timer");
                    });
                }
                connect(server);
            }));
            int timers = 0;
            while (take(seen).equals("timer")) timers++;
            assertThat(timers).isLessThan(TIMERS / 2);
        }
    }

    @Test
    void timersRunInOrderAndNotBeforeTheirTimeAndNotOnceCancelled() throws Exception {
        double startMs = loop.nowMs();
        loop.schedule(startMs + 30, () -> seen.add("30 at " + (loop.nowMs() >= startMs + 30)));
        loop.schedule(startMs + 10, () -> seen.add("10 at " + (loop.nowMs() >= startMs + 10)));
        EventLoop.Timer cancelled = loop.schedule(startMs + 20, () -> seen.add("20"));
        cancelled.cancel();
        loop.schedule(startMs + 10, () -> seen.add("second of 10"));
        assertThat(take(seen)).isEqualTo("10 at true");
        assertThat(take(seen)).isEqualTo("second of 10");
        assertThat(take(seen)).isEqualTo("30 at true");
    }

    /** Guards against a timer whose failure ends the loop's further timers. */
    @Test
    void aTimerThatFailsEndsNoOther() throws Exception {
        loop.execute(() -> {
            loop.schedule(loop.nowMs(), () -> {
                throw new IllegalStateException("wanted by the test");
            });
            loop.schedule(loop.nowMs(), () -> seen.add("next"));
        });
        assertThat(take(seen)).isEqualTo("next");
    }
}
