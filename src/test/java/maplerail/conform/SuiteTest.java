package maplerail.conform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;

/** The suite itself: it must be able to fail. */
class SuiteTest {
    /** A server that answers everything alike meets next to nothing. */
    @Test
    void aServerThatKnowsNothingFailsNearlyAll() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (StandIn server = new StandIn(x -> {
            asked.incrementAndGet();
            x.reply(200, "{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":{}}", "Content-Type: application/json");
        })) {
            List<Suite.Outcome> all = new Suite(new Target(server.address(), "/rpc", "t", "x", 500)).run();
            List<Suite.Outcome> met =
                    all.stream().filter(o -> o.fault() == null).toList();
            assertThat(all).hasSizeGreaterThan(70);
            // An id of 0 is what it happens to say; a DELETE or GET of any kind it takes as well.
            assertThat(met).extracting(Suite.Outcome::number).isSubsetOf(21, 44);
            assertThat(asked).hasPositiveValue();
        }
    }

    @Test
    void theProgramMeetsEachRequirement() throws Exception {
        try (StandIn tool = new StandIn(x -> x.reply(200, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}"));
                World world = new World().start("""
                {"listen":"127.0.0.1:0","handshake":"required","page_size":1,"services":{"records":{"servers":["%s"]}},
                 "contracts":{"find":{"repeat":"pure","deadline_ms":5000,"most_argument_bytes":200,"most_reply_bytes":1000}},
                 "tools":{"columns.find":{"service":"records","contract":"find"},
                  "orders.find":{"service":"records","contract":"find"}},
                 "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":40}}}""".formatted(tool.address()))) {
            Target target = new Target(
                    "127.0.0.1:" + world.gateway.rpcAddress().getPort(),
                    "/rpc",
                    "cyngor-glannau",
                    "columns.find",
                    20_000);
            assertThat(new Suite(target).run())
                    .filteredOn(outcome -> outcome.fault() != null)
                    .isEmpty();
        }
    }
}
