package maplerail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.config.EngineIds;
import maplerail.config.EngineList;
import maplerail.config.Json;
import maplerail.config.Names;
import maplerail.config.Tree;
import maplerail.net.ConnectionPool;
import maplerail.net.XnioEventLoop;
import maplerail.routing.EndpointState;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class ConsulTest {
    @ParameterizedTest
    @CsvSource({"0,7,7", "7,7,7", "7,9,9", "9,7,0", "9,,0", "9,soon,0", "0,0,0", "5,-1,0"})
    void indexThatGoesBackwardsIsReset(long current, String header, long expected) {
        assertThat(BlockingQuery.nextIndex(current, header)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({
        "passing,passing,READY",
        "passing,warning,READY",
        "passing,critical,DRAINING",
        "maintenance,passing,DRAINING",
        "passing,unknown,DRAINING"
    })
    void serverIsReadyIfAllChecksPassOrWarn(String first, String second, EndpointState state) {
        EngineList list = ConsulDiscovery.parse(Tree.any("health", """
                [{"Node":{"Node":"n","Address":"127.0.0.9"},"Service":{"ID":"r1","Address":"","Port":80},
                  "Checks":[{"Status":"%s"},{"Status":"%s"}]},
                 {"Node":{"Node":"n","Address":"127.0.0.9"},"Service":{"ID":"no-port"}}]""".formatted(first, second)), 1);
        assertThat(list.members()).hasSize(1);
        assertThat(list.members().get(0).state()).isEqualTo(state);
        assertThat(list.addresses().values().iterator().next().toString()).isEqualTo("/127.0.0.9:80");
    }

    /** After a failure the query is made without waiting, and repeated if the first such call gets no response. */
    @Test
    void failedQueryIsRepeatedWithoutWaitingUntilAnswered() throws Exception {
        List<String> targets = new CopyOnWriteArrayList<>();
        BlockingQueue<String> results = World.queue();
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        try (StandIn consul = new StandIn(exchange -> {
            targets.add(exchange.target);
            int call = targets.size();
            if (call == 2) exchange.reply(500, "");
            else if (call == 1 || call == 4)
                exchange.reply(200, "{\"call\":" + call + "}", "X-Consul-Index: " + (call + 4));
            else exchange.awaitEnd();
        })) {
            ConnectionPool pool = new ConnectionPool(loop, new DefaultByteBufferPool(true, 8_192), 30_000, 250, 10)
                    .withoutSettleDelay();
            BlockingQuery query = new BlockingQuery(
                    pool,
                    loop,
                    consul.socketAddress(),
                    "/v1/x",
                    new SplittableRandom(1),
                    result -> results.add("" + result.at("call").raw()));
            loop.execute(query::poll);
            assertThat(World.take(results)).isEqualTo("1");
            assertThat(World.take(results)).isEqualTo("4");
            World.await("blocking query resumed", () -> targets.size() > 4);
            assertThat(targets.subList(0, 5))
                    .containsExactly("/v1/x", "/v1/x?index=5&wait=20s", "/v1/x", "/v1/x", "/v1/x?index=8&wait=20s");
        } finally {
            loop.execute(loop::close);
            worker.shutdownNow();
        }
    }

    /** An older index is that of a restored catalogue only if the server that tells it knows a leader. */
    @Test
    void anOlderListIsTakenFromAServerThatKnowsALeaderOnly() throws Exception {
        String[][] answers = {
            {"11", "true"}, {"10", "false"}, {"12", "false"}, {"4", "false"}, {"3", "true"}, {"5", "true"}
        };
        AtomicInteger calls = new AtomicInteger();
        BlockingQueue<String> results = World.queue();
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        try (StandIn consul = new StandIn(exchange -> {
            int call = calls.getAndIncrement();
            if (call >= answers.length) exchange.awaitEnd();
            else
                exchange.reply(
                        200,
                        "{\"call\":" + call + "}",
                        "X-Consul-Index: " + answers[call][0],
                        "X-Consul-KnownLeader: " + answers[call][1]);
        })) {
            ConnectionPool pool = new ConnectionPool(loop, new DefaultByteBufferPool(true, 8_192), 30_000, 250, 10)
                    .withoutSettleDelay();
            BlockingQuery query = new BlockingQuery(
                    pool,
                    loop,
                    consul.socketAddress(),
                    "/v1/x",
                    new SplittableRandom(1),
                    result -> results.add("" + result.at("call").raw()));
            loop.execute(query::poll);
            for (String taken : List.of("0", "2", "4", "5"))
                assertThat(World.take(results)).isEqualTo(taken);
        } finally {
            loop.execute(loop::close);
            worker.shutdownNow();
        }
    }

    private static EngineList platformList(String dial, String health) {
        Names names = new Names(
                java.util.List.of("caerdydd"), java.util.List.of("prefill"), java.util.List.of(), java.util.List.of());
        return EngineList.read(Tree.object("list", """
                {"seq":4,"whole":false,"hosts":[{"host":"s-5be2a07c","dial":"%s","site":"caerdydd","class":"prefill",
                 "block":3,"health":"%s","share":1.5,"born_ms":12}]}""".formatted(dial, health)), names);
    }

    @Test
    void engineIdDependsOnTheHostNameOnly() {
        EngineList first = platformList("127.0.0.1:80", "in_service");
        EngineList second = platformList("127.0.0.2:81", "in_service");
        assertThat(first.members()).isEqualTo(second.members());
        assertThat(first.members().get(0).engine()).isEqualTo(EngineIds.of("s-5be2a07c"));
        assertThat(first.members().get(0).zone()).isZero();
    }

    @ParameterizedTest
    @CsvSource({"in_service,READY", "terminating,DRAINING", "terminated,REMOVED", "unknown,DRAINING"})
    void unknownHealthIsDraining(String health, EndpointState state) {
        assertThat(platformList("127.0.0.1:80", health).members().get(0).state())
                .isEqualTo(state);
    }

    @ParameterizedTest
    @CsvSource({"7f3a9c21e0b4d655,9167811660783867477", "ff,255", "'',0"})
    void keyOfHexDigitsIsParsedAsANumber(String text, long key) {
        assertThat(EngineIds.key(text)).isEqualTo(key);
        assertThat(EngineIds.key("chat/" + text)).isNotEqualTo(key);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            {"a": 1.50 , "b":[1, 2]}   | a | 1.50
            {"a": 1.50 , "b":[1, 2]}   | b | [1, 2]
            {"a":"x\\u00e9\\"","b":{}} | a | "x\\u00e9\\""
            {"b":-0,"a":12}            | b | -0
            {"b":-0,"a":12}            | a | 12
            {"a":true}                 | a | true
            {"a":{"b":null}}           | a | {"b":null}
            """)
    void fieldsKeepTheirOriginalText(String text, String field, String value) {
        assertThat(Json.fields(text)).containsEntry(field, value);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {"{\"a\":1", "[1]", "{} {}", "7", "{\"a\":01}", "{a:1}"})
    void textThatIsNotASingleObjectHasNoFields(String text) {
        assertThat(Json.fields(text)).isNull();
    }
}
