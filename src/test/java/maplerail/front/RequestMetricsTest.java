package maplerail.front;

import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the metrics with the counts of clients and engines, while engines fail at random. */
class RequestMetricsTest {
    private static final int CLIENTS = 4;
    private static final int REQUESTS = 40; // per client

    private final AtomicInteger received = new AtomicInteger();

    /**
     * Draws an outcome from the seed and the request's id, so that every run with a seed has the same engine outcomes.
     */
    private StandIn engine(boolean isReader, long seed) throws IOException {
        return new StandIn(x -> {
            if (x.method.equals("DELETE")) {
                x.reply(204, "");
                return;
            }
            received.incrementAndGet();
            int draw = new SplittableRandom(seed ^ x.headers.get("req-id").hashCode() ^ (isReader ? 1 : 2)).nextInt(12);
            if (draw == 0) x.reply(500, "");
            else if (draw == 1) x.reset();
            else if (draw == 2) x.reply(400, "");
            else if (isReader) x.reply(202, "{\"cached_tokens\":0}");
            else {
                x.stream();
                x.chunk("data: 1\n\n");
                if (draw == 3) {
                    x.reset();
                    return;
                }
                x.chunk("data: [DONE]\n\n");
                x.last();
            }
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void eachFinalAnswerAndEachAttemptIsCountedOnce(long seed) throws Exception {
        Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
        try (StandIn reader = engine(true, seed);
                StandIn writer = engine(false, seed);
                World world = new World()
                        .admin()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                String name = "s" + seed + "c" + c + "n";
                clients.add(new Thread(() -> {
                    for (int i = 0; i < REQUESTS; i++) {
                        String kind = i % 3 == 0 ? "repair-order" : "lookup";
                        String answer = send(world, name + i, kind);
                        String outcome = answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n0\r\n\r\n")
                                ? "answered"
                                : answer.startsWith("HTTP/1.1 503") ? "deferred" : "errored";
                        outcomes.computeIfAbsent(outcome + "." + kind, k -> new AtomicInteger())
                                .incrementAndGet();
                    }
                }));
            }
            clients.forEach(Thread::start);
            for (Thread client : clients) client.join();
            assertThat(outcomes.values().stream().mapToInt(AtomicInteger::get).sum())
                    .isEqualTo(CLIENTS * REQUESTS);
            for (String metric : List.of(
                    "answered.lookup",
                    "answered.repair-order",
                    "deferred.lookup",
                    "deferred.repair-order",
                    "errored.lookup",
                    "errored.repair-order")) {
                assertThat(world.figure(metric))
                        .as(metric)
                        .isEqualTo(outcomes.getOrDefault(metric, new AtomicInteger())
                                .get());
            }
            // Cancelled copies may still be on their way to the stand-in.
            await("attempts are counted", () -> metric(world, "sends") == received.get());
            await("no request is open", () -> metric(world, "current") == 0);
            assertThat(world.figure("cluster_size")).isEqualTo(2);
        }
    }

    private static long metric(World world, String name) {
        try {
            return world.figure(name);
        } catch (IOException e) {
            return -2;
        }
    }

    private static String send(World world, String id, String kind) {
        try (Socket socket = world.connect()) {
            socket.getOutputStream()
                    .write(World.request(id, kind, "5.0")
                            .replaceFirst("\r\n", "\r\nConnection: close\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            return World.readAll(socket.getInputStream());
        } catch (IOException e) {
            return "";
        }
    }
}
