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

/** The readers that gateways, which share engines but don't communicate, select for prefixes in several deployments. */
class PlacementTest {
    /** A deployment: gateways, readers, a reader's memory, and the lengths of a shared prefix and of the uncached rest. */
    private record Deployment(
            int gateways, int readers, double memoryTokens, double prefixTokens, double uncachedTokens) {
        static Deployment random(long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            return new Deployment(
                    random.nextInt(2, 101),
                    random.nextInt(6, 60),
                    random.nextDouble(1e5, 5e5),
                    random.nextDouble(500, 8_000),
                    random.nextDouble(100, 2_000));
        }

        PolicyHarness gateway(long seed, long removedReader) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.seed = seed;
            gateway.gatewayCount = gateways;
            gateway.engineKinds = List.of(
                    new EngineKind(EngineRole.READER, memoryTokens), new EngineKind(EngineRole.WRITER, memoryTokens));
            List<Endpoint> endpoints = new ArrayList<>();
            for (long i = 0; i < readers; i++)
                if (1_000 + 7 * i != removedReader) endpoints.add(endpoint(1_000 + 7 * i, 0, (int) i % 3));
            for (long i = 0; i < 6; i++) endpoints.add(endpoint(9_000 + i, 1, (int) i % 3));
            return gateway.start(endpoints.toArray(Endpoint[]::new));
        }

        private static Endpoint endpoint(long engine, int kind, int zone) {
            return new Endpoint(engine, EndpointState.READY, 0, zone, zone, 1, kind);
        }

        /** Returns the reader that a gateway selects for a request with a prefix; the request is then completed. */
        long serveAndGetReader(PolicyHarness gateway, long id, long prefix) {
            gateway.nowMs += 40;
            gateway.report(new RequestArrived(
                    id,
                    0,
                    0,
                    gateway.seed * 7_919 + id,
                    prefixTokens + uncachedTokens,
                    prefix,
                    prefixTokens,
                    60_000,
                    100,
                    0,
                    false));
            StartAttempt read = gateway.startedAttempt();
            assertThat(read).as("read attempt").isNotNull();
            gateway.report(new RoutingEvent.AttemptEnded(
                    id,
                    0,
                    read.engine(),
                    AttemptOutcome.PROMPT_READ,
                    0.08 * uncachedTokens,
                    prefixTokens,
                    false,
                    new LoadReport(Double.NaN)));
            gateway.reportFirstToken(id, 1);
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
            return read.engine();
        }
    }

    private static Deployment deployment(String kind) {
        return switch (kind) {
            case "first" -> new Deployment(100, 24, 172_000, 2_145, 250);
            case "second" -> new Deployment(3, 6, 240_000, 3_000, 400);
            case "new" -> new Deployment(105, 47, 390_000, 4_800, 1_000);
            default -> Deployment.random(Long.parseLong(kind));
        };
    }

    /** The first arrival does not show how frequent a prefix is: all gateways select the reader assigned to it. */
    @ParameterizedTest
    @CsvSource({"first", "second", "new", "1", "2", "3", "4", "5", "6", "7", "8"})
    void allGatewaysSelectTheSameReaderForARarePrefix(String kind) {
        Deployment deployment = deployment(kind);
        for (long prefix = 1; prefix <= 20; prefix++) {
            Set<Long> readers = new HashSet<>();
            for (int i = 0; i < Math.min(20, deployment.gateways()); i++) {
                readers.add(deployment.serveAndGetReader(deployment.gateway(100 * prefix + i, -1), 1, 77 * prefix));
            }
            assertThat(readers).as("prefix %d", prefix).hasSize(1);
        }
    }

    /** The prefix of most arrivals is sent to at least as many readers as others, and to no more than its share. */
    @ParameterizedTest
    @CsvSource({"first", "new", "1", "2", "3", "4"})
    void popularPrefixHasMoreReaders(String kind) {
        Deployment deployment = deployment(kind);
        PolicyHarness gateway = deployment.gateway(5, -1);
        Set<Long> popular = new HashSet<>();
        Map<Long, Set<Long>> others = new HashMap<>();
        for (int i = 1; i <= 400; i++) {
            long prefix = i % 3 == 0 ? 1_000 + i % 30 : 42;
            long reader = deployment.serveAndGetReader(gateway, i, prefix);
            if (prefix == 42) popular.add(reader);
            else others.computeIfAbsent(prefix, t -> new HashSet<>()).add(reader);
        }
        int maxOtherReaders = others.values().stream().mapToInt(Set::size).max().orElse(0);
        assertThat(popular.size())
                .isGreaterThanOrEqualTo(maxOtherReaders)
                .isLessThanOrEqualTo((int) Math.ceil(2 * 0.7 * deployment.readers()) + 1);
    }

    /** The prefixes of a removed reader are spread over the remaining readers, none of which gets most of them. */
    @ParameterizedTest
    @CsvSource({"first", "new", "1", "2", "3", "4", "5", "6"})
    void prefixesOfARemovedReaderAreSpread(String kind) {
        Deployment deployment = deployment(kind);
        Map<Long, List<Long>> prefixesByReader = new HashMap<>();
        for (long prefix = 1; prefix <= 3_000; prefix++) {
            prefixesByReader
                    .computeIfAbsent(
                            deployment.serveAndGetReader(deployment.gateway(1, -1), 1, 31 * prefix),
                            r -> new ArrayList<>())
                    .add(prefix);
        }
        Map.Entry<Long, List<Long>> removed = prefixesByReader.entrySet().stream()
                .max(Map.Entry.comparingByValue(java.util.Comparator.comparingInt(List::size)))
                .orElseThrow();
        Map<Long, Integer> reassigned = new HashMap<>();
        for (long prefix : removed.getValue())
            reassigned.merge(
                    deployment.serveAndGetReader(deployment.gateway(1, removed.getKey()), 1, 31 * prefix),
                    1,
                    Integer::sum);
        int remaining = prefixesByReader.size() - 1;
        assertThat(reassigned.size()).isGreaterThan(remaining / 2);
        assertThat(reassigned.values().stream().mapToInt(n -> n).max().orElse(0))
                .isLessThan((int) (3.0 * removed.getValue().size() / remaining) + 10);
    }
}
