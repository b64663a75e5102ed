package maplerail.front.admin;

import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import maplerail.metrics.Metrics.Figure;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AdminTest {
    private static Socket connect(World world) throws IOException {
        InetSocketAddress at = world.gateway.adminAddress();
        Socket socket = new Socket(at.getAddress(), at.getPort());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.replace("/n", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** An invalid call gets an error response or its connection is closed, and the next caller is served. */
    @ParameterizedTest
    @CsvSource(delimiter = ';', quoteCharacter = '`', textBlock = """
            GET /_ready HTTP/1.1/nHost: x/n/n                                        ; HTTP/1.1 200
            GET /_ready?now=1 HTTP/1.1/nHost: x/n/n                                  ; HTTP/1.1 200
            GET /_vars HTTP/1.1/nHost: x/n/n                                         ; HTTP/1.1 200
            PUT /_lameduck/off HTTP/1.1/nHost: x/nContent-Length: 2/n/nab            ; HTTP/1.1 200
            PUT /_lameduck/off HTTP/1.1/nHost: x/nContent-Length: 9999/n/nab         ; HTTP/1.1 413
            PUT /_ready HTTP/1.1/nHost: x/nContent-Length: 0/n/n                     ; HTTP/1.1 405
            GET /_lameduck/on HTTP/1.1/nHost: x/n/n                                  ; HTTP/1.1 405
            GET /_lameduck HTTP/1.1/nHost: x/n/n                                     ; HTTP/1.1 404
            GET / HTTP/1.1/nHost: x/n/n                                              ; HTTP/1.1 404
            GET /_ready HTTP/1.1/nHost: x/n/nGET /_ready HTTP/1.1/nHost: x/n/n       ; HTTP/1.1 200
            \0\1\2 nonsense/n/n                                                      ; -
            GET /_ready HTTP/9.9 and more/n/n                                        ; -
            """)
    void eachCallIsAnsweredAndItsConnectionClosed(String call, String status) throws Exception {
        try (StandIn engine = World.reader();
                World world = new World().admin().engine("r", "prefill", engine).start();
                Socket caller = connect(world)) {
            write(caller, call);
            String answer = World.readAll(caller.getInputStream());
            if (status.equals("-")) assertThat(answer).doesNotContain(" 200 ");
            else assertThat(answer).startsWith(status).containsOnlyOnce("HTTP/1.1");
            assertThat(world.call("GET /_ready")).startsWith("HTTP/1.1 200");
        }
    }

    /** A call that arrives in pieces takes effect with its last byte, including the body's. */
    @Test
    void anIncompleteCallHasNoEffect() throws Exception {
        try (StandIn engine = World.reader();
                World world = new World().admin().engine("r", "prefill", engine).start();
                Socket complete = connect(world);
                Socket incomplete = connect(world)) {
            write(incomplete, "PUT /_lameduck/on HTTP/1.1/nHost: x/nContent-Length: 5/n/nabc");
            for (char c : "PUT /_lameduck/off HTTP/1.1/nHost: x/nContent-Length: 0/n/n"
                    .replace("/n", "\r\n")
                    .toCharArray()) {
                write(complete, "" + c);
            }
            assertThat(World.readAll(complete.getInputStream())).startsWith("HTTP/1.1 200");
            assertThat(world.exchange("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
                    .startsWith("HTTP/1.1 200");
            assertThat(World.readAll(incomplete.getInputStream())).doesNotContain(" 200 "); // closed by the time limit
        }
    }

    /** Without limits on connections and their time, callers with incomplete calls locked out all others. */
    @Test
    void incompleteCallsDoNotBlockOtherCallers() throws Exception {
        List<Socket> callers = new ArrayList<>();
        try (StandIn engine = World.reader();
                World world = new World().admin().engine("r", "prefill", engine).start()) {
            for (int i = 0; i < 4 * AdminListener.MAX_CONNECTIONS; i++) {
                callers.add(connect(world));
                if (i % 2 == 0) write(callers.get(i), "GET /_ready HTTP/1.1/nHost:");
                if (i % AdminListener.MAX_CONNECTIONS == 0)
                    assertThat(world.call("GET /_ready")).startsWith("HTTP/1.1 200");
            }
            assertThat(world.call("GET /_vars")).startsWith("HTTP/1.1 200");
            // Every connection is closed.
            for (Socket caller : callers)
                assertThat(World.readAll(caller.getInputStream())).doesNotContain(" 200 ");
        } finally {
            for (Socket caller : callers) caller.close();
        }
    }

    /** When the main loop served these calls, they waited for its earlier tasks. */
    @Test
    void callsAreAnsweredWhileTheMainLoopIsBlocked() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch blocked = new CountDownLatch(1);
        try (StandIn engine = World.reader();
                World world = new World().admin().engine("r", "prefill", engine).start()) {
            world.gateway.onLoop(() -> {
                blocked.countDown();
                try {
                    release.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            blocked.await();
            for (String call : List.of("GET /_ready", "GET /_vars", "PUT /_lameduck/on", "PUT /_lameduck/off")) {
                assertThat(world.call(call)).startsWith("HTTP/1.1 200");
            }
            release.countDown();
        }
    }

    @Test
    void readyFromTheFirstEndpointListUntilADrainBegins() throws Exception {
        CountDownLatch listAvailable = new CountDownLatch(1);
        try (StandIn engine = World.reader();
                World world = new World().admin().discoveredBy(new StandIn(x -> {
                    listAvailable.await();
                    x.reply(200, "{\"seq\":1,\"whole\":true,\"hosts\":[]}");
                }))) {
            world.startUnready();
            assertThat(world.call("GET /_ready")).startsWith("HTTP/1.1 503");
            assertThat(world.call("PUT /_lameduck/on")).startsWith("HTTP/1.1 200");
            assertThat(world.call("PUT /_lameduck/off")).startsWith("HTTP/1.1 200");
            assertThat(world.call("GET /_ready")).startsWith("HTTP/1.1 503");
            listAvailable.countDown();
            await("ready", () -> world.gateway.canServe());
            assertThat(world.call("GET /_ready")).startsWith("HTTP/1.1 200");
            world.gateway.drain();
            await("the drain has begun", () -> !world.gateway.canServe());
            assertThat(world.call("GET /_ready")).startsWith("HTTP/1.1 503");
            assertThat(world.call("PUT /_lameduck/off")).startsWith("HTTP/1.1 503");
        }
    }

    @Test
    void metricsAreFormattedAsStatsdLines() {
        assertThat(AdminFront.statsd(List.of(
                        new Figure("answered.repair-order", 812, true),
                        new Figure("current", 14, false),
                        new Figure("errored.a:b|c\nd", 1, true))))
                .isEqualTo("gateway.answered.repair-order:812|c\ngateway.current:14|g\ngateway.errored.a_b_c_d:1|c\n");
    }
}
