package maplerail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import maplerail.discovery.PollSchedule.Answer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class PollScheduleTest {
    private static final double TOLD_MS = 6_000; // after which what a silent watch missed counts as told

    private static PollSchedule asking(boolean agent) {
        return new PollSchedule(agent, 7, new SplittableRandom(1));
    }

    /** Whenever a watch falls silent, there is time for several looks before what it misses counts as told. */
    @Test
    void aSilentWatchLeavesTimeToAskAnew() {
        PollSchedule asking = asking(true);
        for (int i = 0; i < 1_000; i++) {
            asking.onList(8 + i, false, 7 + i, 0);
            PollSchedule.Poll watch = asking.next();
            assertThat(watch.waitMs()).isGreaterThan(1);
            double givenUpMs = watch.timeoutMs() + asking.onFailed();
            assertThat(givenUpMs).isLessThan(TOLD_MS / 2 + 1_000);
            assertThat(givenUpMs).isLessThan(watch.waitMs() + 2_000);
            assertThat(asking.next().waitMs()).as("asks for what is there").isLessThanOrEqualTo(1);
        }
    }

    /** An agent that was silent and comes back answers what is asked then: there is a call at any moment until it does. */
    @Test
    void anAgentIsLookedAtUntilItAnswers() {
        PollSchedule asking = asking(true);
        assertThat(asking.firstDelayMs()).isZero();
        for (int i = 0; i < 50; i++) {
            assertThat(asking.repeatMs()).isLessThanOrEqualTo(100);
            assertThat(asking.onFailed()).isLessThanOrEqualTo(100);
        }
        asking.onList(8, false, 7, 0);
        assertThat(asking.repeatMs()).isInfinite();
        assertThat(asking.onFailed()).as("a watch that was reset").isZero();
    }

    /** Ever longer, up to a wait that leaves an answer its time, whatever the service asks for. */
    @Test
    void aServiceForAllIsLeftAloneEverLongerAndNeverTooLong() {
        PollSchedule asking = asking(false);
        asking.onList(8, false, 7, 0);
        assertThat(asking.next().waitMs()).isGreaterThanOrEqualTo(15_000);
        assertThat(asking.next().timeoutMs()).isLessThanOrEqualTo(asking.next().waitMs() + 7_000);
        assertThat(asking.repeatMs()).isInfinite();
        double first = asking.onFailed();
        double last = 0;
        for (int i = 0; i < 8; i++) last = asking.onFailed();
        assertThat(first).isLessThanOrEqualTo(200);
        assertThat(last).isBetween(600.0, 1_200.0);
        assertThat(asking.onRejected(9_000)).isBetween(1_200.0, TOLD_MS - 4_000);
    }

    /** What discovery does with calls until it can be reached. */
    enum Fault {
        SILENT,
        RESET,
        REFUSES,
        REFUSES_FOR_LONG,
        UNREADABLE,
        OLDER
    }

    /** How the client comes into the fault: at its start, from a watch, or as its operators move it. */
    enum From {
        START,
        START_WITH_NOTHING,
        WATCH,
        MOVE
    }

    /**
     * Plays the client as its transport does, from a fault to the first news, and tells how long after discovery could be
     * reached that came; an answer takes {@code replyMs}. Calls made before meet the fault.
     */
    private static double newsAfterMs(
            boolean agent, Fault fault, From from, double faultMs, double replyMs, long seed) {
        PollSchedule asking =
                new PollSchedule(agent, from == From.START_WITH_NOTHING ? -1 : 7, new SplittableRandom(seed));
        PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::atMs));
        int[] turn = {0};
        double newsMs = Double.NaN;
        double firstMs = asking.firstDelayMs();
        if (from == From.WATCH) {
            asking.onList(7, false, 7, 0);
            firstMs = asking.onFailed();
        }
        if (from == From.MOVE) {
            asking.onList(7, false, 7, 0);
            firstMs = asking.onRedirected();
        }
        due.add(new Due(firstMs, What.ASK, 0));
        for (Due next = due.poll(); Double.isNaN(newsMs); next = due.poll()) {
            double now = next.atMs();
            boolean current = next.turn() == turn[0];
            switch (next.what()) {
                case ASK -> {
                    if (!current) break;
                    int mine = ++turn[0];
                    PollSchedule.Poll query = asking.next();
                    if (now >= faultMs) due.add(new Due(now + replyMs, What.NEWS, mine));
                    else if (fault != Fault.SILENT) due.add(new Due(now + 5, What.FAULT, mine));
                    due.add(new Due(now + query.timeoutMs(), What.EXPIRED, mine));
                    double pressMs = asking.repeatMs();
                    if (pressMs < query.timeoutMs()) due.add(new Due(now + pressMs, What.ASK, mine));
                }
                case NEWS -> newsMs = asking.onList(8, true, 7, now) == Answer.CHANGED ? now : newsMs;
                case FAULT, EXPIRED -> {
                    if (!current) break;
                    double againMs = next.what() == What.EXPIRED
                            ? asking.onFailed()
                            : switch (fault) {
                                case REFUSES -> asking.onRejected(0);
                                case REFUSES_FOR_LONG -> asking.onRejected(60_000);
                                case UNREADABLE -> asking.onUnreadable();
                                case OLDER -> {
                                    asking.onList(5, true, 7, now);
                                    yield asking.onFailed();
                                }
                                default -> asking.onFailed();
                            };
                    due.add(new Due(now + againMs, What.ASK, ++turn[0]));
                }
            }
        }
        return newsMs - faultMs;
    }

    enum What {
        ASK,
        NEWS,
        FAULT,
        EXPIRED
    }

    record Due(double atMs, What what, int turn) {}

    /** From any state, after any failure, whatever was asked: the next answer comes before a change counts as told. */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void aChangeIsHeardBeforeItCountsAsTold(Fault fault) {
        for (From from : From.values()) {
            for (boolean agent : new boolean[] {true, false}) {
                // An agent answers at once; a service for all in its turn.
                double replyMs = agent ? 500 : 3_900;
                double worst = IntStream.range(0, 400)
                        .mapToDouble(i -> newsAfterMs(agent, fault, from, 40 * i, replyMs, i))
                        .max()
                        .orElseThrow();
                assertThat(worst).as("%s agent %s", from, agent).isLessThan(TOLD_MS - 100);
            }
        }
    }

    /** A fleet that is refused, or told of a move, at one moment does not come back at one. */
    @Test
    void aFleetDoesNotAskAServiceInStep() {
        double[] refused = new double[60];
        double[] moved = new double[60];
        for (int i = 0; i < refused.length; i++) {
            PollSchedule asking = new PollSchedule(false, 7, new SplittableRandom(i));
            refused[i] = asking.onRejected(60_000);
            moved[i] = asking.onRedirected();
        }
        assertThat(DoubleStream.of(refused).max().orElse(0)
                        - DoubleStream.of(refused).min().orElse(0))
                .isGreaterThan(400);
        assertThat(DoubleStream.of(moved).max().orElse(0)
                        - DoubleStream.of(moved).min().orElse(0))
                .isGreaterThan(150);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anAnswerThatIsNoListLeadsToTheWholeOne(boolean agent) {
        PollSchedule asking = asking(agent);
        asking.onUnreadable();
        assertThat(asking.next().target()).isEqualTo("/api/targets");
    }

    @ParameterizedTest
    @CsvSource({
        // version, whole, after ms since the first older one: what it is
        "8, false, 0, CHANGED", "8, true, 0, CHANGED", "7, false, 0, UNCHANGED", "7, true, 0, UNCHANGED",
        "6, true, 0, OUTDATED", "6, true, 1999, OUTDATED", "6, true, 2000, CHANGED", "6, false, 60000, OUTDATED"
    })
    void aListOlderThanOursIsNotBelievedAtOnce(long version, boolean whole, double afterMs, Answer kind) {
        PollSchedule asking = asking(true);
        if (kind == Answer.OUTDATED || version < 7) asking.onList(5, true, 7, 1_000);
        assertThat(asking.onList(version, whole, 7, 1_000 + afterMs)).isEqualTo(kind);
        if (kind == Answer.OUTDATED) assertThat(asking.next().target()).isEqualTo("/api/targets");
    }
}
