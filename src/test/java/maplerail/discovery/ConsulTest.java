package maplerail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import maplerail.config.EngineIds;
import maplerail.config.EngineList;
import maplerail.config.Json;
import maplerail.config.Names;
import maplerail.config.Tree;
import maplerail.net.Pool;
import maplerail.net.XnioLoop;
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
    void theIndexStartsAnewWhenItGoesBackwards(long last, String told, long next) {
        assertThat(BlockingQuery.nextIndex(last, told)).isEqualTo(next);
    }

    @ParameterizedTest
    @CsvSource({
        "passing,passing,READY",
        "passing,warning,READY",
        "passing,critical,DRAINING",
        "maintenance,passing,DRAINING",
        "passing,unheard,DRAINING"
    })
    void aServerIsCalledWhileNoCheckIsCritical(String one, String two, EndpointState state) {
        EngineList list = ConsulDiscovery.read(Tree.any("health", """
                [{"Node":{"Node":"n","Address":"127.0.0.9"},"Service":{"ID":"r1","Address":"","Port":80},
                  "Checks":[{"Status":"%s"},{"Status":"%s"}]},
                 {"Node":{"Node":"n","Address":"127.0.0.9"},"Service":{"ID":"no-port"}}]""".formatted(one, two)), 1);
        assertThat(list.members()).hasSize(1);
        assertThat(list.members().get(0).state()).isEqualTo(state);
        assertThat(list.addresses().values().iterator().next().toString()).isEqualTo("/127.0.0.9:80");
    }

    /** After a failure it is asked without waiting, and again though the first such question is lost on the way. */
    @Test
    void aQueryThatFailedIsAskedForWhatIsThereUntilItIsAnswered() throws Exception {
        List<String> asked = new CopyOnWriteArrayList<>();
        BlockingQueue<String> told = World.queue();
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        XnioLoop loop = new XnioLoop(worker.getIoThread());
        try (StandIn consul = new StandIn(x -> {
            asked.add(x.target);
            int call = asked.size();
            if (call == 2) x.reply(500, "");
            else if (call == 1 || call == 4) x.reply(200, "{\"call\":" + call + "}", "X-Consul-Index: " + (call + 4));
            else x.awaitEnd();
        })) {
            Pool pool = new Pool(loop, new DefaultByteBufferPool(true, 8_192), 30_000, 250, 10).withoutSettleDelay();
            BlockingQuery query = new BlockingQuery(
                    pool,
                    loop,
                    consul.socketAddress(),
                    "/v1/x",
                    new SplittableRandom(1),
                    answer -> told.add("" + answer.at("call").raw()));
            loop.execute(query::poll);
            assertThat(World.take(told)).isEqualTo("1");
            assertThat(World.take(told)).isEqualTo("4");
            World.await("watched anew", () -> asked.size() > 4);
            assertThat(asked.subList(0, 5))
                    .containsExactly("/v1/x", "/v1/x?index=5&wait=20s", "/v1/x", "/v1/x", "/v1/x?index=8&wait=20s");
        } finally {
            loop.execute(loop::close);
            worker.shutdownNow();
        }
    }

    private static EngineList platform(String dial, String health) {
        Names names = new Names(
                java.util.List.of("caerdydd"), java.util.List.of("prefill"), java.util.List.of(), java.util.List.of());
        return EngineList.read(Tree.object("list", """
                {"seq":4,"whole":false,"hosts":[{"host":"s-5be2a07c","dial":"%s","site":"caerdydd","class":"prefill",
                 "block":3,"health":"%s","share":1.5,"born_ms":12}]}""".formatted(dial, health)), names);
    }

    @Test
    void anEnginesIdDerivesFromItsHostAlone() {
        EngineList here = platform("127.0.0.1:80", "in_service");
        EngineList there = platform("127.0.0.2:81", "in_service");
        assertThat(here.members()).isEqualTo(there.members());
        assertThat(here.members().get(0).engine()).isEqualTo(EngineIds.of("s-5be2a07c"));
        assertThat(here.members().get(0).zone()).isZero();
    }

    @ParameterizedTest
    @CsvSource({"in_service,READY", "terminating,DRAINING", "terminated,REMOVED", "on_holiday,DRAINING"})
    void aHealthThatIsNotKnownGetsNothingNew(String health, EndpointState state) {
        assertThat(platform("127.0.0.1:80", health).members().get(0).state()).isEqualTo(state);
    }

    @ParameterizedTest
    @CsvSource({"7f3a9c21e0b4d655,9167811660783867477", "ff,255", "'',0"})
    void aKeyOfHexDigitsIsItsNumber(String text, long key) {
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
    void whatIsPassedOnStaysToTheLetter(String text, String field, String value) {
        assertThat(Json.fields(text)).containsEntry(field, value);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {"{\"a\":1", "[1]", "{} {}", "7", "{\"a\":01}", "{a:1}"})
    void whatIsNoSingleObjectHasNoFields(String text) {
        assertThat(Json.fields(text)).isNull();
    }
}
