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
    /** A new agent that has yet to hear the news would list an engine that drains as ready once more. */
    @Test
    void aListOlderThanOursIsNotBelievedAfterAMove() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (StandIn reader = World.reader();
                StandIn writer = World.writer();
                StandIn other = World.writer();
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w1", "decode", writer, "terminating")
                        .engine("w2", "decode", other);
                StandIn agent = new StandIn(
                        x -> x.reply(
                                200,
                                asked.incrementAndGet() > 3
                                        ? "{\"seq\":9,\"whole\":false,\"hosts\":[]}"
                                        : "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"w1\",\"dial\":\""
                                                + writer.address()
                                                + "\",\"site\":\"caerdydd\",\"class\":\"decode\",\"block\":1,\"health\":\"in_service\"}]}"));
                World moved = new World().discoveredBy(agent)) {
            world.start();
            await("the first list heard", () -> world.discovery().count("GET /api/targets?index=") > 0);
            world.gateway.reload(NodeConfig.read(moved.config("127.0.0.1:0"), Map.of()));
            await("asked again", () -> asked.get() > 4);
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(writer.count("POST")).isZero();
        }
    }

    /** An overbooked discovery: asked anew at a fixed step, and for the whole list, a fleet would never let it rest. */
    @Test
    void aDiscoveryWithoutRoomIsAskedMoreSeldomAndOnlyForChanges() throws Exception {
        List<Long> asked = new CopyOnWriteArrayList<>();
        List<String> targets = new CopyOnWriteArrayList<>();
        try (StandIn reader = World.reader();
                StandIn writer = World.writer();
                StandIn full = new StandIn(x -> {
                    asked.add(System.nanoTime());
                    targets.add(x.target);
                    x.reply(503, "");
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w1", "decode", writer)
                        .discoveredBy(full)) {
            world.start();
            await("asked again", () -> asked.size() >= 5);
            assertThat(targets).allMatch(target -> target.contains("?index=3&wait="));
            // The least that the fourth wait may last is eight times what the first one may.
            assertThat((asked.get(4) - asked.get(3)) / 1e6).isGreaterThanOrEqualTo(700);
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
        }
    }

    /** Whatever an agent does at first, the known list is served from, and the first list that can be read counts. */
    @ParameterizedTest
    @ValueSource(strings = {"{", "{\"seq\":9}", "nonsense", "cut", "500"})
    void anAgentThatTalksNonsenseOrClosesIsAskedAgainAndTheLastGoodListKept(String first) throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (StandIn reader = World.reader();
                StandIn writer = World.writer();
                StandIn next = World.writer();
                StandIn agent = new StandIn(x -> {
                    boolean later = asked.incrementAndGet() > 2;
                    if (later && x.target.contains("index=9&")) x.awaitEnd();
                    else if (later) {
                        x.reply(
                                200,
                                "{\"seq\":9,\"whole\":true,\"hosts\":[" + host("r", "prefill", reader) + ","
                                        + host("w2", "decode", next) + "]}");
                    } else if (first.equals("cut")) {
                        x.write("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":9,");
                        x.reset();
                    } else if (first.equals("500")) x.reply(500, "");
                    else x.reply(200, first);
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w1", "decode", writer)
                        .discoveredBy(agent)) {
            world.start();
            if (asked.get() <= 2)
                assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            await("the list that can be read", () -> agent.count("GET /api/targets?index=9&") > 0);
            long before = writer.count("POST");
            assertThat(world.exchange(request("a2", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(next.count("POST")).isEqualTo(1);
            assertThat(writer.count("POST")).isEqualTo(before);
        }
    }

    private static String drained(StandIn reader, StandIn leaving, StandIn other) {
        return "{\"seq\":9,\"whole\":true,\"hosts\":[" + host("r", "prefill", reader) + ","
                + host("w1", "decode", leaving).replace("in_service", "terminating") + "," + host("w2", "decode", other)
                + "]}";
    }

    /** What the agent has counts as told from a process's first moment: the list in its configuration may be old. */
    @Test
    void aNewProcessHearsTheAgentBeforeItServes() throws Exception {
        try (StandIn reader = World.reader();
                StandIn leaving = World.writer();
                StandIn other = World.writer();
                StandIn agent = new StandIn(x -> {
                    if (x.target.contains("index=9&wait=1&") || !x.target.contains("index=9")) {
                        Thread.sleep(150);
                        x.reply(200, drained(reader, leaving, other));
                    } else x.awaitEnd();
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w1", "decode", leaving)
                        .discoveredBy(agent)) {
            world.start();
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(leaving.count("POST")).isZero();
            assertThat(other.count("POST")).isEqualTo(1);
        }
    }

    /**
     * A watch falls silent, at once or after a part of its list, is reset, or its agent is silent to all for a while or asks for
     * a long one: what it missed is asked for anew, soon.
     */
    @ParameterizedTest
    @ValueSource(strings = {"silent", "part", "reset", "down", "refused"})
    void aWatchThatIsLostIsOpenedAnew(String fault) throws Exception {
        AtomicInteger lost = new AtomicInteger();
        List<Long> asked = new CopyOnWriteArrayList<>();
        try (StandIn reader = World.reader();
                StandIn leaving = World.writer();
                StandIn other = World.writer();
                StandIn agent = new StandIn(x -> {
                    asked.add(System.nanoTime());
                    if (x.target.contains("index=9")) x.awaitEnd();
                    else if (asked.size() == 1) x.reply(200, "{\"seq\":3,\"whole\":false,\"hosts\":[]}");
                    else if (lost.getAndIncrement() > (fault.equals("down") ? 12 : 0))
                        x.reply(200, drained(reader, leaving, other));
                    else if (fault.equals("reset")) x.reset();
                    else if (fault.equals("refused"))
                        x.write("HTTP/1.1 503 X\r\nRetry-After: 600\r\nContent-Length: 0\r\n\r\n");
                    else {
                        if (fault.equals("part")) x.write("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":9,");
                        x.awaitEnd();
                    }
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w1", "decode", leaving)
                        .discoveredBy(agent)) {
            world.start();
            await("heard", () -> agent.count("GET /api/targets?index=9&") > 0);
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(leaving.count("POST")).isZero();
        }
    }

    /** Discovery moves, and the new agent is silent at first; engines leave right after. */
    @Test
    void anAgentThatIsSilentAfterAMoveIsLookedAtUntilItAnswers() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (StandIn reader = World.reader();
                StandIn leaving = World.writer();
                StandIn other = World.writer();
                StandIn agent = new StandIn(x -> {
                    if (x.target.contains("index=9") || asked.incrementAndGet() < 12) x.awaitEnd();
                    else x.reply(200, drained(reader, leaving, other));
                });
                World world = new World().engine("r", "prefill", reader).engine("w1", "decode", leaving);
                World moved = new World().discoveredBy(agent)) {
            world.start();
            world.gateway.reload(NodeConfig.read(moved.config("127.0.0.1:0"), Map.of()));
            await("heard", () -> agent.count("GET /api/targets?index=9&") > 0);
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            assertThat(leaving.count("POST")).isZero();
        }
    }

    private static String host(String name, String kind, StandIn at) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + at.address() + "\",\"site\":\"caerdydd\",\"class\":\"" + kind
                + "\",\"block\":1,\"health\":\"in_service\"}";
    }
}
