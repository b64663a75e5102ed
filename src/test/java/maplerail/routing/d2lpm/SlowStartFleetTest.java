package maplerail.routing.d2lpm;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.RoutingAction.StartAttempt;
import maplerail.routing.RoutingSettings.Rules;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares the attempts of many simulated gateways at a newly started writer with the limit of the slow start rule. */
class SlowStartFleetTest {
    private static final double SLOW_START_MS = 14_000;
    private static final double WINDOW_MS = 1_000; // over which the rule counts attempts
    private static final double OVERLOAD_MULTIPLE = 2.5; // of its present capacity, from which a writer fails
    private static final double INITIAL_CAPACITY = 0.3; // share of its capacity at its start
    private static final double LULL_MS = 9_000; // without requests, so that slow start tokens could accumulate
    private static final int WARM_WRITERS = 12; // writers with full capacity
    private static final double UTILIZATION = 0.8; // share of the warm writers' capacity in use
    // Duration of each answer: the new writer, without streams, has the lowest projected memory and is preferred by
    // all.
    private static final double STREAM_MS = 2_000;
    private static final double STARTED_MS = 100_000;
    private static final long NEW_WRITER = 99;

    /** In FAILOVER the new writer is in another zone, and all gateways need it when most near writers start draining. */
    enum Scenario {
        STEADY,
        LULL,
        RESTART,
        LATE,
        FAILOVER
    }

    private record Stream(PolicyHarness gateway, long id, double endMs) {}

    private static Endpoint newWriter(Scenario scenario) {
        return new Endpoint(
                NEW_WRITER, EndpointState.READY, STARTED_MS, scenario == Scenario.FAILOVER ? 1 : 0, 0, 1, 1);
    }

    private static PolicyHarness gateway(
            Scenario scenario, int gatewayCount, long seed, double nowMs, boolean announced) {
        PolicyHarness gateway = new PolicyHarness();
        gateway.seed = seed;
        gateway.gatewayCount = gatewayCount;
        gateway.rules = new Rules(8, 500, INITIAL_CAPACITY, OVERLOAD_MULTIPLE, WINDOW_MS, SLOW_START_MS, 10_000);
        gateway.nowMs = nowMs;
        List<Endpoint> endpoints = new ArrayList<>(List.of(PolicyHarness.reader(1), PolicyHarness.reader(2)));
        for (int i = 0; i < WARM_WRITERS; i++) endpoints.add(PolicyHarness.writer(10 + i));
        if (announced) endpoints.add(newWriter(scenario));
        return gateway.start(endpoints.toArray(Endpoint[]::new));
    }

    /** The times of all attempts at the new writer. */
    private static List<Double> sendTimes(Scenario scenario, int gatewayCount, double perSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PolicyHarness[] gateways = new PolicyHarness[gatewayCount];
        double[] announcedMs = new double[gatewayCount];
        double[] restartMs = new double[gatewayCount];
        double[] weights = new double[gatewayCount];
        double totalWeight = 0;
        for (int i = 0; i < gatewayCount; i++) {
            gateways[i] = gateway(scenario, gatewayCount, random.nextLong(), STARTED_MS - 12_000, false);
            announcedMs[i] = STARTED_MS + (scenario == Scenario.LATE ? 3_000 * random.nextDouble() : 0);
            restartMs[i] = scenario == Scenario.RESTART
                    ? STARTED_MS + 500 * (10 * i / gatewayCount)
                    : Double.POSITIVE_INFINITY;
            totalWeight += weights[i] = -Math.log(random.nextDouble()); // some get several times the mean
        }
        PriorityQueue<Stream> streams = new PriorityQueue<>(Comparator.comparingDouble(Stream::endMs));
        List<Double> sendTimes = new ArrayList<>();
        long id = 0;
        boolean drained = false;
        for (double nowMs = STARTED_MS - 12_000; nowMs < STARTED_MS + SLOW_START_MS; ) {
            boolean lull = scenario == Scenario.LULL && nowMs >= STARTED_MS && nowMs < STARTED_MS + LULL_MS;
            nowMs += -Math.log(random.nextDouble()) * 1_000 / perSecond;
            if (lull) nowMs = Math.max(nowMs, STARTED_MS + LULL_MS);
            while (!streams.isEmpty() && streams.peek().endMs() <= nowMs) {
                Stream ended = streams.poll();
                ended.gateway().nowMs = ended.endMs();
                ended.gateway().endAttempt(ended.id(), 1, AttemptOutcome.COMPLETED);
            }
            for (int i = 0; i < gatewayCount; i++) {
                if (nowMs >= announcedMs[i]) {
                    gateways[i].nowMs = announcedMs[i];
                    gateways[i].updateEndpoints(EndpointUpdateKind.DELTA, newWriter(scenario));
                    announcedMs[i] = Double.POSITIVE_INFINITY;
                }
                if (nowMs < restartMs[i]) continue;
                gateways[i] = gateway(scenario, gatewayCount, random.nextLong(), restartMs[i], true);
                restartMs[i] = Double.POSITIVE_INFINITY;
            }
            if (scenario == Scenario.FAILOVER && !drained && nowMs >= STARTED_MS + LULL_MS) {
                drained = true;
                for (PolicyHarness gateway : gateways) {
                    gateway.nowMs = nowMs;
                    gateway.updateEndpoints(
                            EndpointUpdateKind.DELTA,
                            IntStream.range(0, 3 * WARM_WRITERS / 4)
                                    .mapToObj(i -> new Endpoint(10 + i, EndpointState.DRAINING, 0, 0, 0, 1, 1))
                                    .toArray(Endpoint[]::new));
                }
            }
            int index = 0;
            for (double remaining = totalWeight * random.nextDouble();
                    index < gatewayCount - 1 && (remaining -= weights[index]) > 0; ) index++;
            PolicyHarness gateway = gateways[index];
            gateway.nowMs = nowMs;
            gateway.arrive(++id, id, 0, 300, 5_000);
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ);
            StartAttempt write = gateway.startedAttempt();
            if (write == null) continue;
            if (write.engine() == NEW_WRITER) sendTimes.add(nowMs);
            gateway.reportFirstToken(id, 1);
            streams.add(new Stream(gateway, id, nowMs + STREAM_MS));
        }
        return sendTimes;
    }

    /**
     * The largest excess of a window over its limit of N attempts, as a multiple of the tolerated random deviation
     * 2 x sqrt(N) + 2.
     */
    private static double maxDeviation(List<Double> sendTimes, double perSecond) {
        double capacityPerMs = perSecond / 1_000 / WARM_WRITERS / UTILIZATION;
        double maximum = Double.NEGATIVE_INFINITY;
        int from = 0;
        for (int to = 0; to < sendTimes.size(); to++) {
            while (sendTimes.get(from) <= sendTimes.get(to) - WINDOW_MS) from++;
            double progress = (sendTimes.get(to) - WINDOW_MS / 2 - STARTED_MS) / SLOW_START_MS;
            double budget = OVERLOAD_MULTIPLE
                    * capacityPerMs
                    * WINDOW_MS
                    * (INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * Math.min(1, Math.max(0, progress)));
            maximum = Math.max(maximum, (to - from + 1 - budget) / (2 * Math.sqrt(budget) + 2));
        }
        return maximum;
    }

    @ParameterizedTest
    @CsvSource({
        "STEADY, 3, 60",
        "STEADY, 20, 60",
        "STEADY, 30, 60",
        "STEADY, 100, 60",
        "STEADY, 100, 240",
        "LULL, 3, 60",
        "LULL, 20, 60",
        "LULL, 30, 60",
        "LULL, 100, 60",
        "LULL, 100, 240",
        "RESTART, 3, 60",
        "RESTART, 20, 60",
        "RESTART, 30, 60",
        "RESTART, 100, 60",
        "LATE, 3, 60",
        "LATE, 20, 60",
        "LATE, 30, 60",
        "LATE, 100, 60",
        "FAILOVER, 3, 60",
        "FAILOVER, 20, 60",
        "FAILOVER, 30, 60",
        "FAILOVER, 100, 60",
        "FAILOVER, 100, 240"
    })
    void manyGatewaysDoNotOverloadANewWriter(Scenario scenario, int gatewayCount, double perSecond) {
        double meanSends = 0;
        for (long seed = 1; seed <= 4; seed++) {
            List<Double> sendTimes = sendTimes(scenario, gatewayCount, perSecond, seed);
            assertThat(maxDeviation(sendTimes, perSecond)).as("seed %d", seed).isLessThanOrEqualTo(1);
            meanSends += sendTimes.size() / 4.0;
        }
        // The new writer's capacity is estimated from the attempts at a warm writer in the same time. A gateway that
        // has
        // just started, or rarely selects the new writer, uses less of it.
        double expectedSends = perSecond / (WARM_WRITERS + 1) * SLOW_START_MS / 1_000 * (1 + INITIAL_CAPACITY) / 2;
        assertThat(meanSends)
                .as("attempts at the new writer")
                .isGreaterThan(
                        expectedSends * (scenario == Scenario.RESTART || scenario == Scenario.LULL ? 0.1 : 0.25));
    }
}
