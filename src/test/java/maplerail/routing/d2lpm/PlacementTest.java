package maplerail.routing.d2lpm;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EngineRole;
import maplerail.routing.LoadReport;
import maplerail.routing.RoutingAction.StartAttempt;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingEvent.RequestArrived;
import maplerail.routing.RoutingSettings.EngineKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Where processes that share engines, and do not talk, have texts read, over settings of several kinds and drawn ones. */
class PlacementTest {
    /** Settings of a deployment: processes, readers, a reader's memory, the lengths of a shared text and of what is new. */
    private record Site(int processes, int readers, double memory, double shared, double fresh) {
        static Site drawn(long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            return new Site(
                    random.nextInt(2, 101),
                    random.nextInt(6, 60),
                    random.nextDouble(1e5, 5e5),
                    random.nextDouble(500, 8_000),
                    random.nextDouble(100, 2_000));
        }

        PolicyHarness process(long seed, long without) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.seed = seed;
            gateway.gatewayCount = processes;
            gateway.kinds =
                    List.of(new EngineKind(EngineRole.READER, memory), new EngineKind(EngineRole.WRITER, memory));
            List<Endpoint> members = new ArrayList<>();
            for (long i = 0; i < readers; i++)
                if (1_000 + 7 * i != without) members.add(member(1_000 + 7 * i, 0, (int) i % 3));
            for (long i = 0; i < 6; i++) members.add(member(9_000 + i, 1, (int) i % 3));
            return gateway.start(members.toArray(Endpoint[]::new));
        }

        private static Endpoint member(long engine, int kind, int zone) {
            return new Endpoint(engine, EndpointState.READY, 0, zone, zone, 1, kind);
        }

        /** The reader that a process sends a request with a text to; the request is served. */
        long reader(PolicyHarness gateway, long id, long text) {
            gateway.nowMs += 40;
            gateway.on(new RequestArrived(
                    id, 0, 0, gateway.seed * 7_919 + id, shared + fresh, text, shared, 60_000, 100, 0, false));
            StartAttempt read = gateway.sent();
            assertThat(read).as("sent").isNotNull();
            gateway.on(new RoutingEvent.AttemptEnded(
                    id,
                    0,
                    read.engine(),
                    AttemptOutcome.PROMPT_READ,
                    0.08 * fresh,
                    shared,
                    false,
                    new LoadReport(Double.NaN)));
            gateway.first(id, 1);
            gateway.end(id, 1, AttemptOutcome.COMPLETED);
            return read.engine();
        }
    }

    private static Site site(String kind) {
        return switch (kind) {
            case "first" -> new Site(100, 24, 172_000, 2_145, 250);
            case "second" -> new Site(3, 6, 240_000, 3_000, 400);
            case "new" -> new Site(105, 47, 390_000, 4_800, 1_000);
            default -> Site.drawn(Long.parseLong(kind));
        };
    }

    /** One arrival says nothing of how often a text comes: all processes choose the one reader that they agree on. */
    @ParameterizedTest
    @CsvSource({"first", "second", "new", "1", "2", "3", "4", "5", "6", "7", "8"})
    void aTextThatComesSeldomHasOneReaderWithoutTalk(String kind) {
        Site site = site(kind);
        for (long text = 1; text <= 20; text++) {
            Set<Long> readers = new HashSet<>();
            for (int i = 0; i < Math.min(20, site.processes()); i++) {
                readers.add(site.reader(site.process(100 * text + i, -1), 1, 77 * text));
            }
            assertThat(readers).as("text %d", text).hasSize(1);
        }
    }

    /** A text that is most of what comes goes to more readers than one that is not, and still to no more than its share. */
    @ParameterizedTest
    @CsvSource({"first", "new", "1", "2", "3", "4"})
    void aPopularTextHasMoreReaders(String kind) {
        Site site = site(kind);
        PolicyHarness gateway = site.process(5, -1);
        Set<Long> popular = new HashSet<>();
        Map<Long, Set<Long>> others = new HashMap<>();
        for (int i = 1; i <= 400; i++) {
            long text = i % 3 == 0 ? 1_000 + i % 30 : 42;
            long reader = site.reader(gateway, i, text);
            if (text == 42) popular.add(reader);
            else others.computeIfAbsent(text, t -> new HashSet<>()).add(reader);
        }
        int most = others.values().stream().mapToInt(Set::size).max().orElse(0);
        assertThat(popular.size())
                .isGreaterThanOrEqualTo(most)
                .isLessThanOrEqualTo((int) Math.ceil(2 * 0.7 * site.readers()) + 1);
    }

    /** The texts of a reader that is lost go to all that are left near it, none of which gets most of them. */
    @ParameterizedTest
    @CsvSource({"first", "new", "1", "2", "3", "4", "5", "6"})
    void aLostReadersTextsAreSpread(String kind) {
        Site site = site(kind);
        Map<Long, List<Long>> texts = new HashMap<>();
        for (long text = 1; text <= 3_000; text++) {
            texts.computeIfAbsent(site.reader(site.process(1, -1), 1, 31 * text), r -> new ArrayList<>())
                    .add(text);
        }
        Map.Entry<Long, List<Long>> lost = texts.entrySet().stream()
                .max(Map.Entry.comparingByValue(java.util.Comparator.comparingInt(List::size)))
                .orElseThrow();
        Map<Long, Integer> now = new HashMap<>();
        for (long text : lost.getValue())
            now.merge(site.reader(site.process(1, lost.getKey()), 1, 31 * text), 1, Integer::sum);
        int heirs = texts.size() - 1;
        assertThat(now.size()).isGreaterThan(heirs / 2);
        assertThat(now.values().stream().mapToInt(n -> n).max().orElse(0))
                .isLessThan((int) (3.0 * lost.getValue().size() / heirs) + 10);
    }
}
