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

/** What a fleet of seeded processes sends in sum to a writer that has just started, against what the rule allows. */
class SlowStartFleetTest {
    private static final double WARM_MS = 14_000;
    private static final double WINDOW_MS = 1_000; // of the rule
    private static final double MULTIPLE = 2.5; // of its capacity, from which it tips
    private static final double LEAST = 0.3; // of its capacity, at its start
    private static final double LULL_MS = 9_000; // in which nothing comes, so that sends could be saved up
    private static final int WARM = 12; // writers that serve already
    private static final double LOAD = 0.8; // of their capacity, in use
    private static final double STREAM_MS =
            2_000; // of each answer: the newcomer, with none, is what everyone likes best
    private static final double BORN_MS = 100_000;
    private static final long NEWCOMER = 99;

    /** In the last the newcomer is far away, and wanted by all at once when most of what is near begins to drain. */
    enum Story {
        STEADY,
        LULL,
        RESTART,
        LATE,
        FAILOVER
    }

    private record Stream(PolicyHarness gateway, long id, double endMs) {}

    private static Endpoint newcomer(Story story) {
        return new Endpoint(NEWCOMER, EndpointState.READY, BORN_MS, story == Story.FAILOVER ? 1 : 0, 0, 1, 1);
    }

    private static PolicyHarness process(Story story, int processes, long seed, double now, boolean told) {
        PolicyHarness gateway = new PolicyHarness();
        gateway.seed = seed;
        gateway.gatewayCount = processes;
        gateway.rules = new Rules(8, 500, LEAST, MULTIPLE, WINDOW_MS, WARM_MS, 10_000);
        gateway.nowMs = now;
        List<Endpoint> members = new ArrayList<>(List.of(PolicyHarness.reader(1), PolicyHarness.reader(2)));
        for (int i = 0; i < WARM; i++) members.add(PolicyHarness.writer(10 + i));
        if (told) members.add(newcomer(story));
        return gateway.start(members.toArray(Endpoint[]::new));
    }

    /** When each send to the newcomer was made. */
    private static List<Double> sends(Story story, int processes, double perSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PolicyHarness[] gateways = new PolicyHarness[processes];
        double[] tellMs = new double[processes];
        double[] restartMs = new double[processes];
        double[] weights = new double[processes];
        double sum = 0;
        for (int i = 0; i < processes; i++) {
            gateways[i] = process(story, processes, random.nextLong(), BORN_MS - 12_000, false);
            tellMs[i] = BORN_MS + (story == Story.LATE ? 3_000 * random.nextDouble() : 0);
            restartMs[i] = story == Story.RESTART ? BORN_MS + 500 * (10 * i / processes) : Double.POSITIVE_INFINITY;
            sum += weights[i] = -Math.log(random.nextDouble()); // some get several times the mean
        }
        PriorityQueue<Stream> streams = new PriorityQueue<>(Comparator.comparingDouble(Stream::endMs));
        List<Double> out = new ArrayList<>();
        long id = 0;
        boolean drained = false;
        for (double now = BORN_MS - 12_000; now < BORN_MS + WARM_MS; ) {
            boolean lull = story == Story.LULL && now >= BORN_MS && now < BORN_MS + LULL_MS;
            now += -Math.log(random.nextDouble()) * 1_000 / perSecond;
            if (lull) now = Math.max(now, BORN_MS + LULL_MS);
            while (!streams.isEmpty() && streams.peek().endMs() <= now) {
                Stream over = streams.poll();
                over.gateway().nowMs = over.endMs();
                over.gateway().end(over.id(), 1, AttemptOutcome.COMPLETED);
            }
            for (int i = 0; i < processes; i++) {
                if (now >= tellMs[i]) {
                    gateways[i].nowMs = tellMs[i];
                    gateways[i].list(EndpointUpdateKind.DELTA, newcomer(story));
                    tellMs[i] = Double.POSITIVE_INFINITY;
                }
                if (now < restartMs[i]) continue;
                gateways[i] = process(story, processes, random.nextLong(), restartMs[i], true);
                restartMs[i] = Double.POSITIVE_INFINITY;
            }
            if (story == Story.FAILOVER && !drained && now >= BORN_MS + LULL_MS) {
                drained = true;
                for (PolicyHarness gateway : gateways) {
                    gateway.nowMs = now;
                    gateway.list(
                            EndpointUpdateKind.DELTA,
                            IntStream.range(0, 3 * WARM / 4)
                                    .mapToObj(i -> new Endpoint(10 + i, EndpointState.DRAINING, 0, 0, 0, 1, 1))
                                    .toArray(Endpoint[]::new));
                }
            }
            int at = 0;
            for (double left = sum * random.nextDouble(); at < processes - 1 && (left -= weights[at]) > 0; ) at++;
            PolicyHarness gateway = gateways[at];
            gateway.nowMs = now;
            gateway.arrive(++id, id, 0, 300, 5_000);
            gateway.end(id, 0, AttemptOutcome.PROMPT_READ);
            StartAttempt write = gateway.sent();
            if (write == null) continue;
            if (write.engine() == NEWCOMER) out.add(now);
            gateway.first(id, 1);
            streams.add(new Stream(gateway, id, now + STREAM_MS));
        }
        return out;
    }

    /** How far the fullest window is over the settings' budget of N calls, in what is chance: 2 x root(N) + 2. */
    private static double overBudget(List<Double> sends, double perSecond) {
        double capacityPerMs = perSecond / 1_000 / WARM / LOAD;
        double worst = Double.NEGATIVE_INFINITY;
        int from = 0;
        for (int to = 0; to < sends.size(); to++) {
            while (sends.get(from) <= sends.get(to) - WINDOW_MS) from++;
            double grown = (sends.get(to) - WINDOW_MS / 2 - BORN_MS) / WARM_MS;
            double budget =
                    MULTIPLE * capacityPerMs * WINDOW_MS * (LEAST + (1 - LEAST) * Math.min(1, Math.max(0, grown)));
            worst = Math.max(worst, (to - from + 1 - budget) / (2 * Math.sqrt(budget) + 2));
        }
        return worst;
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
    void aFleetDoesNotPushANewcomerOver(Story story, int processes, double perSecond) {
        double used = 0;
        for (long seed = 1; seed <= 4; seed++) {
            List<Double> sends = sends(story, processes, perSecond, seed);
            assertThat(overBudget(sends, perSecond)).as("seed %d", seed).isLessThanOrEqualTo(1);
            used += sends.size() / 4.0;
        }
        // What a warm engine gets in the same time is the measure of the newcomer's room; a process that has just
        // started,
        // or meets a newcomer seldom, uses less of it.
        double room = perSecond / (WARM + 1) * WARM_MS / 1_000 * (1 + LEAST) / 2;
        assertThat(used)
                .as("the newcomer's room is used")
                .isGreaterThan(room * (story == Story.RESTART || story == Story.LULL ? 0.1 : 0.25));
    }
}
