package maplerail.server;

import static maplerail.support.World.await;
import static maplerail.support.World.request;
import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.config.ConfigException;
import maplerail.config.NodeConfig;
import maplerail.config.ToolsConfig;
import maplerail.support.RawWebSocket;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Other settings while it runs: whole or not at all. */
class RetuneTest {
    private static String config(World world) {
        return world.config("127.0.0.1:0");
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "deadlineMs":6000.0     | "deadlineMs":0         | config.settings.lanes[0].deadlineMs: not above 0
            "deadlineMs":8000.0     | "deadlineMs":-1.0      | config.settings.lanes[1].deadlineMs: not above 0
            "sendCap":5             | "sendCap":0            | config.settings.limits.sendCap: not above 0
            "sendCap":5             | "sendCup":5            | config.settings.limits.sendCap: missing
            "cancel":true,          |                        | config.settings.limits.cancel: missing
            ,"worth":2.0            |                        | config.settings.lanes[0].worth: missing
            "pinLimitMs":500.0,     |                        | config.settings.familyInfo.pinLimitMs: missing
            "overShareWorth":0.2,   |                        | config.settings.overShareWorth: missing
            "seed":"8c1f30d27a5be964", |                     | config.seed: missing
            "repeat":"pure"         | "repeat":"perhaps"     | config.settings.lanes[0].repeat: unknown
            "name":"repair-order"   | "name":"lookup"        | config.settings.lanes[1].name: twice
            ["caerdydd"]            | ["caerdydd","bangor"]  | config.settings.localities: may change at a start only
            ["read","write"]        | ["both","write"]       | familyInfo.kindRole: may change at a start only
            """)
    void aFileThatLacksAPartOrHoldsNonsenseIsNoSuccessor(String right, String wrong, String said) throws Exception {
        try (World world = new World()) {
            String before = config(world);
            String broken = before.replace(right, wrong == null ? "" : wrong);
            assertThat(broken).isNotEqualTo(before);
            assertThatThrownBy(() -> NodeConfig.next(broken, before, Map.of()))
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining(said);
        }
    }

    @Test
    void anyFilePartlyWrittenIsNoSuccessor() throws Exception {
        try (World world = new World()) {
            String before = config(world);
            for (int length = 0; length < before.length(); length += 7) {
                String part = before.substring(0, length);
                assertThatThrownBy(() -> NodeConfig.next(part, before, Map.of()))
                        .as(part)
                        .isInstanceOf(ConfigException.class);
            }
            assertThat(NodeConfig.next(before, before, Map.of()).names().classes())
                    .hasSize(2);
        }
    }

    /** One table for all names: the class of a request that was open became another one's. */
    @Test
    void whatIsOpenKeepsItsClassAndWhatComesHasTheNewOnes() throws Exception {
        BlockingQueue<StandIn.Exchange> reads = World.queue();
        try (StandIn reader = new StandIn(x -> {
                    if (x.method.equals("DELETE")) x.reply(204, "");
                    else reads.add(x);
                });
                StandIn writer = World.writer();
                World world = new World()
                        .admin()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket old = world.connect()) {
            old.setSoTimeout(20_000);
            old.getOutputStream()
                    .write(request("a1", "repair-order", "5.0")
                            .replaceFirst("\r\n", "\r\nConnection: close\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            StandIn.Exchange open = take(reads);
            // A class in front of the others, one gone, and one attempt for each request.
            world.settings(
                            "\"lanes\":[",
                            "\"lanes\":[{\"name\":\"survey\",\"goalTimeMs\":900.0,\"deadlineMs\":4000.0,"
                                    + "\"repeat\":\"pure\",\"worth\":1.0},")
                    .settings("\"name\":\"repair-order\"", "\"name\":\"repair-plan\"")
                    .settings("\"sendCap\":5", "\"sendCap\":2");
            world.gateway.reload(NodeConfig.read(config(world), Map.of()));
            await("in force", () -> figure(world, "conf_loaded") == 1);
            try (Socket client = world.connect()) {
                client.setSoTimeout(20_000);
                client.getOutputStream()
                        .write(request("a2", "survey", "5.0")
                                .replaceFirst("\r\n", "\r\nConnection: close\r\n")
                                .getBytes(StandardCharsets.UTF_8));
                take(reads).reply(202, "{\"cached_tokens\":0}");
                assertThat(World.readAll(client.getInputStream())).contains("[DONE]");
            }
            assertThat(world.exchange(request("a3", "repair-order", "5.0"))).startsWith("HTTP/1.1 400");
            // Under the old settings it may be sent a third time.
            open.reply(500, "");
            take(reads).reply(202, "{\"cached_tokens\":0}");
            assertThat(World.readAll(old.getInputStream())).contains("[DONE]");
            await("counted", () -> figure(world, "answered.repair-order") == 1);
            assertThat(figure(world, "answered.survey")).isEqualTo(1);
            assertThat(figure(world, "answered.lookup")).isZero();
            assertThat(figure(world, "answered.repair-plan")).isZero();
            assertThat(figure(world, "current")).isZero();
        }
    }

    private static long figure(World world, String name) {
        try {
            return world.figure(name);
        } catch (java.io.IOException e) {
            return -2;
        }
    }

    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["%s","%s"]}},
             "contracts":{"raise":{"repeat":"%s","deadline_ms":5000,"most_argument_bytes":1000,"most_reply_bytes":1000}},
             "tools":{"orders.raise":{"service":"records","contract":"raise"}},
             "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":1000}}}""";

    /** Guards against orders that run twice, as a contract that forbids it is counted as loaded and is not in force. */
    @Test
    void aChangedContractIsInForceForNewCalls() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        StandIn.Handler breaking = x -> {
            runs.incrementAndGet();
            x.reset();
        };
        try (StandIn one = new StandIn(breaking);
                StandIn two = new StandIn(breaking);
                World world = new World().admin().start(TOOLS.formatted(one.address(), two.address(), "pure"));
                RawWebSocket client = new RawWebSocket(world.gateway.rpcAddress(), "cyngor-glannau")) {
            String call =
                    "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"orders.raise\"}}";
            client.sendText(call);
            assertThat(client.receiveText()).contains("error");
            assertThat(runs.getAndSet(0)).as("safe to repeat").isGreaterThan(1);
            long loaded = world.figure("conf_loaded");
            world.gateway.reload(ToolsConfig.read(TOOLS.formatted(one.address(), two.address(), "side_effect")));
            client.sendText("{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"ping\"}");
            assertThat(client.receiveText()).contains("\"id\":2");
            client.sendText(call);
            assertThat(client.receiveText()).contains("-32001", "\"mayHaveRun\":true");
            assertThat(runs).hasValue(1);
            assertThat(world.figure("conf_loaded")).isEqualTo(loaded + 1);
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "path":"/tool"     | "path":"/other"      | tools.services: may change at a start only
            "listen"           | "path":"/x","listen" | tools.path: may change at a start only
            "cyngor-glannau"   | "cyngor-bryniau"     | tools.teams: may change at a start only
            raise"             | lower"               | tools.contracts: may change at a start only
            """)
    void aToolsFileThatChangesMoreThanARunningProcessTakesOverIsRejected(String right, String wrong, String said)
            throws Exception {
        try (StandIn tool = new StandIn(x -> x.reply(200, "{}"));
                World world = new World().admin().start(TOOLS.formatted(tool.address(), tool.address(), "pure"))) {
            long loaded = world.figure("conf_loaded");
            String next =
                    TOOLS.formatted(tool.address(), tool.address(), "pure").replace(right, wrong);
            assertThatThrownBy(() -> world.gateway.reload(ToolsConfig.read(next)))
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining(said);
            assertThat(world.figure("conf_loaded")).isEqualTo(loaded);
        }
    }
}
