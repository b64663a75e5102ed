package maplerail.discovery;

import static maplerail.support.World.await;
import static maplerail.support.World.request;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.config.NodeConfig;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PlatformDiscoveryTest {
    /** A new agent that does not have the latest changes yet would list a draining engine as ready again. */
    @Test
    void olderListIsIgnoredAfterRedirect() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (StandIn reader = World.reader();
                StandIn writer = World.writer();
                StandIn other = World.writer();
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w1", "decode", writer, "terminating")
                        .engine("w2", "decode", other);
                StandIn agent = new StandIn(
                        exchange -> exchange.reply(
                                200,
                                calls.incrementAndGet() > 3
                                        ? "{\"seq\":9,\"whole\":false,\"hosts\":[]}"
                                        : "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"w1\",\"dial\":\""
                                                + writer.address()
                                                + "\",\"site\":\"caerdydd\",\"class\":\"decode\",\"block\":1,\"health\":\"in_service\"}]}"));
                World redirected = new World().discoveredBy(agent)) {
            world.start();
            await("first list received", () -> world.discovery().count("GET /api/targets?index=") > 0);
            world.gateway.reload(NodeConfig.read(redirected.config("127.0.0.1:0"), Map.of()));
            await("polled again", () -> calls.get() > 4);
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(writer.count("POST")).isZero();
        }
    }

    /**
     * Gateways that poll an overloaded discovery at a fixed interval, and for the complete list, would keep it
     * overloaded.
     */
    @Test
    void overloadedDiscoveryIsPolledLessOftenAndOnlyForChanges() throws Exception {
        List<Long> callTimesNs = new CopyOnWriteArrayList<>();
        List<String> targets = new CopyOnWriteArrayList<>();
        try (StandIn reader = World.reader();
                StandIn writer = World.writer();
                StandIn overloaded = new StandIn(exchange -> {
                    callTimesNs.add(System.nanoTime());
                    targets.add(exchange.target);
                    exchange.reply(503, "");
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w1", "decode", writer)
                        .discoveredBy(overloaded)) {
            world.start();
            await("polled again", () -> callTimesNs.size() >= 5);
            assertThat(targets).allMatch(target -> target.contains("?index=3&wait="));
            // The minimum of the fourth delay is eight times the minimum of the first.
            assertThat((callTimesNs.get(4) - callTimesNs.get(3)) / 1e6).isGreaterThanOrEqualTo(700);
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
        }
    }

    /** Whatever an agent responds at first, the known list stays in use, and the first valid list replaces it. */
    @ParameterizedTest
    @ValueSource(strings = {"{", "{\"seq\":9}", "nonsense", "cut", "500"})
    void invalidResponseIsRetriedAndTheLastValidListIsKept(String firstResponse) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (StandIn reader = World.reader();
                StandIn writer = World.writer();
                StandIn newWriter = World.writer();
                StandIn agent = new StandIn(exchange -> {
                    boolean later = calls.incrementAndGet() > 2;
                    if (later && exchange.target.contains("index=9&")) exchange.awaitEnd();
                    else if (later) {
                        exchange.reply(
                                200,
                                "{\"seq\":9,\"whole\":true,\"hosts\":[" + hostEntry("r", "prefill", reader) + ","
                                        + hostEntry("w2", "decode", newWriter) + "]}");
                    } else if (firstResponse.equals("cut")) {
                        exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":9,");
                        exchange.reset();
                    } else if (firstResponse.equals("500")) exchange.reply(500, "");
                    else exchange.reply(200, firstResponse);
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w1", "decode", writer)
                        .discoveredBy(agent)) {
            world.start();
            if (calls.get() <= 2)
                assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            await("valid list received", () -> agent.count("GET /api/targets?index=9&") > 0);
            long before = writer.count("POST");
            assertThat(world.exchange(request("a2", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(newWriter.count("POST")).isEqualTo(1);
            assertThat(writer.count("POST")).isEqualTo(before);
        }
    }

    private static String listWithDrainingWriter(StandIn reader, StandIn draining, StandIn other) {
        return "{\"seq\":9,\"whole\":true,\"hosts\":[" + hostEntry("r", "prefill", reader) + ","
                + hostEntry("w1", "decode", draining).replace("in_service", "terminating") + ","
                + hostEntry("w2", "decode", other)
                + "]}";
    }

    /** A process must know the agent's list from its start, as the list in its configuration may be outdated. */
    @Test
    void newProcessWaitsForTheAgentsListBeforeServing() throws Exception {
        try (StandIn reader = World.reader();
                StandIn draining = World.writer();
                StandIn other = World.writer();
                StandIn agent = new StandIn(exchange -> {
                    if (exchange.target.contains("index=9&wait=1&") || !exchange.target.contains("index=9")) {
                        Thread.sleep(150);
                        exchange.reply(200, listWithDrainingWriter(reader, draining, other));
                    } else exchange.awaitEnd();
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w1", "decode", draining)
                        .discoveredBy(agent)) {
            world.start();
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(draining.count("POST")).isZero();
            assertThat(other.count("POST")).isEqualTo(1);
        }
    }

    /**
     * A long poll gets no response, gets part of a list, or is reset, or the agent answers nothing for a while or
     * rejects a call with a long Retry-After: the changes that were missed must still be requested soon.
     */
    @ParameterizedTest
    @ValueSource(strings = {"silent", "part", "reset", "down", "refused"})
    void lostLongPollIsRepeated(String fault) throws Exception {
        AtomicInteger failedCalls = new AtomicInteger();
        List<Long> callTimesNs = new CopyOnWriteArrayList<>();
        try (StandIn reader = World.reader();
                StandIn draining = World.writer();
                StandIn other = World.writer();
                StandIn agent = new StandIn(exchange -> {
                    callTimesNs.add(System.nanoTime());
                    if (exchange.target.contains("index=9")) exchange.awaitEnd();
                    else if (callTimesNs.size() == 1) exchange.reply(200, "{\"seq\":3,\"whole\":false,\"hosts\":[]}");
                    else if (failedCalls.getAndIncrement() > (fault.equals("down") ? 12 : 0))
                        exchange.reply(200, listWithDrainingWriter(reader, draining, other));
                    else if (fault.equals("reset")) exchange.reset();
                    else if (fault.equals("refused"))
                        exchange.write("HTTP/1.1 503 X\r\nRetry-After: 600\r\nContent-Length: 0\r\n\r\n");
                    else {
                        if (fault.equals("part"))
                            exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":9,");
                        exchange.awaitEnd();
                    }
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w1", "decode", draining)
                        .discoveredBy(agent)) {
            world.start();
            await("new list received", () -> agent.count("GET /api/targets?index=9&") > 0);
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(draining.count("POST")).isZero();
        }
    }

    /** After a redirect, the new agent does not respond at first, and an engine starts to drain right afterwards. */
    @Test
    void silentAgentIsPolledAfterRedirectUntilItAnswers() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (StandIn reader = World.reader();
                StandIn draining = World.writer();
                StandIn other = World.writer();
                StandIn agent = new StandIn(exchange -> {
                    if (exchange.target.contains("index=9") || calls.incrementAndGet() < 12) exchange.awaitEnd();
                    else exchange.reply(200, listWithDrainingWriter(reader, draining, other));
                });
                World world = new World().engine("r", "prefill", reader).engine("w1", "decode", draining);
                World redirected = new World().discoveredBy(agent)) {
            world.start();
            world.gateway.reload(NodeConfig.read(redirected.config("127.0.0.1:0"), Map.of()));
            await("new list received", () -> agent.count("GET /api/targets?index=9&") > 0);
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(draining.count("POST")).isZero();
        }
    }

    private static String hostEntry(String name, String kind, StandIn server) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + server.address() + "\",\"site\":\"caerdydd\",\"class\":\""
                + kind + "\",\"block\":1,\"health\":\"in_service\"}";
    }
}
