package maplerail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import maplerail.discovery.PollSchedule.ListStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class PollScheduleTest {
    private static final double CHANGE_DEADLINE_MS = 6_000; // for a change missed by a long poll

    private static PollSchedule createSchedule(boolean agent) {
        return new PollSchedule(agent, 7, new SplittableRandom(1));
    }

    /** If a long poll gets no response, there is time for several retries before the deadline of a missed change. */
    @Test
    void unansweredLongPollLeavesTimeForRetries() {
        PollSchedule schedule = createSchedule(true);
        for (int i = 0; i < 1_000; i++) {
            schedule.onList(8 + i, false, 7 + i, 0);
            PollSchedule.Poll longPoll = schedule.nextPoll();
            assertThat(longPoll.waitMs()).isGreaterThan(1);
            double retryMs = longPoll.timeoutMs() + schedule.onFailed();
            assertThat(retryMs).isLessThan(CHANGE_DEADLINE_MS / 2 + 1_000);
            assertThat(retryMs).isLessThan(longPoll.waitMs() + 2_000);
            assertThat(schedule.nextPoll().waitMs())
                    .as("requests the list without waiting")
                    .isLessThanOrEqualTo(1);
        }
    }

    /**
     * An agent that recovers only answers calls that it receives afterwards, so calls are repeated without a gap until
     * then.
     */
    @Test
    void agentIsPolledWithoutAGapUntilItAnswers() {
        PollSchedule schedule = createSchedule(true);
        assertThat(schedule.firstDelayMs()).isZero();
        for (int i = 0; i < 50; i++) {
            assertThat(schedule.repeatAfterMs()).isLessThanOrEqualTo(100);
            assertThat(schedule.onFailed()).isLessThanOrEqualTo(100);
        }
        schedule.onList(8, false, 7, 0);
        assertThat(schedule.repeatAfterMs()).isInfinite();
        assertThat(schedule.onFailed()).as("a long poll that was reset").isZero();
    }

    /** The delay grows to a maximum that leaves time for a response, whatever Retry-After the service sends. */
    @Test
    void serviceRetryDelayGrowsUpToAMaximum() {
        PollSchedule schedule = createSchedule(false);
        schedule.onList(8, false, 7, 0);
        assertThat(schedule.nextPoll().waitMs()).isGreaterThanOrEqualTo(15_000);
        assertThat(schedule.nextPoll().timeoutMs())
                .isLessThanOrEqualTo(schedule.nextPoll().waitMs() + 7_000);
        assertThat(schedule.repeatAfterMs()).isInfinite();
        double first = schedule.onFailed();
        double last = 0;
        for (int i = 0; i < 8; i++) last = schedule.onFailed();
        assertThat(first).isLessThanOrEqualTo(200);
        assertThat(last).isBetween(600.0, 1_200.0);
        assertThat(schedule.onRejected(9_000)).isBetween(1_200.0, CHANGE_DEADLINE_MS - 4_000);
    }

    /** What discovery does with calls until it is reachable. */
    enum Fault {
        SILENT,
        RESET,
        REJECTS,
        REJECTS_WITH_LONG_RETRY_AFTER,
        UNREADABLE,
        OUTDATED_LIST
    }

    /**
     * What the client is doing when the fault begins: starting, waiting in a long poll, or switching to another
     * address.
     */
    enum InitialState {
        START,
        START_WITHOUT_LIST,
        LONG_POLL,
        REDIRECTED
    }

    /**
     * Simulates the client and its transport from a fault to the first changed list, and returns how long after
     * discovery became reachable that list was received. A response takes {@code responseMs}. Calls made before then
     * meet the fault.
     */
    private static double changeReceivedAfterMs(
            boolean agent, Fault fault, InitialState initialState, double faultMs, double responseMs, long seed) {
        PollSchedule schedule = new PollSchedule(
                agent, initialState == InitialState.START_WITHOUT_LIST ? -1 : 7, new SplittableRandom(seed));
        PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(Comparator.comparingDouble(ScheduledEvent::atMs));
        int[] generation = {0};
        double receivedMs = Double.NaN;
        double firstDelayMs = schedule.firstDelayMs();
        if (initialState == InitialState.LONG_POLL) {
            schedule.onList(7, false, 7, 0);
            firstDelayMs = schedule.onFailed();
        }
        if (initialState == InitialState.REDIRECTED) {
            schedule.onList(7, false, 7, 0);
            firstDelayMs = schedule.onRedirected();
        }
        events.add(new ScheduledEvent(firstDelayMs, EventKind.POLL, 0));
        for (ScheduledEvent event = events.poll(); Double.isNaN(receivedMs); event = events.poll()) {
            double now = event.atMs();
            boolean current = event.generation() == generation[0];
            switch (event.kind()) {
                case POLL -> {
                    if (!current) break;
                    int callGeneration = ++generation[0];
                    PollSchedule.Poll poll = schedule.nextPoll();
                    if (now >= faultMs)
                        events.add(new ScheduledEvent(now + responseMs, EventKind.LIST, callGeneration));
                    else if (fault != Fault.SILENT)
                        events.add(new ScheduledEvent(now + 5, EventKind.FAULT, callGeneration));
                    events.add(new ScheduledEvent(now + poll.timeoutMs(), EventKind.TIMEOUT, callGeneration));
                    double repeatAfterMs = schedule.repeatAfterMs();
                    if (repeatAfterMs < poll.timeoutMs())
                        events.add(new ScheduledEvent(now + repeatAfterMs, EventKind.POLL, callGeneration));
                }
                case LIST -> receivedMs = schedule.onList(8, true, 7, now) == ListStatus.CHANGED ? now : receivedMs;
                case FAULT, TIMEOUT -> {
                    if (!current) break;
                    double delayMs = event.kind() == EventKind.TIMEOUT
                            ? schedule.onFailed()
                            : switch (fault) {
                                case REJECTS -> schedule.onRejected(0);
                                case REJECTS_WITH_LONG_RETRY_AFTER -> schedule.onRejected(60_000);
                                case UNREADABLE -> schedule.onUnreadable();
                                case OUTDATED_LIST -> {
                                    schedule.onList(5, true, 7, now);
                                    yield schedule.onFailed();
                                }
                                default -> schedule.onFailed();
                            };
                    events.add(new ScheduledEvent(now + delayMs, EventKind.POLL, ++generation[0]));
                }
            }
        }
        return receivedMs - faultMs;
    }

    enum EventKind {
        POLL,
        LIST,
        FAULT,
        TIMEOUT
    }

    record ScheduledEvent(double atMs, EventKind kind, int generation) {}

    /**
     * From any state, after any failure and with any call, the next response is received before the deadline of a
     * change.
     */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void changeIsReceivedBeforeItsDeadline(Fault fault) {
        for (InitialState initialState : InitialState.values()) {
            for (boolean agent : new boolean[] {true, false}) {
                // An agent answers immediately; the service for all gateways queues calls.
                double responseMs = agent ? 500 : 3_900;
                double worst = IntStream.range(0, 400)
                        .mapToDouble(i -> changeReceivedAfterMs(agent, fault, initialState, 40 * i, responseMs, i))
                        .max()
                        .orElseThrow();
                assertThat(worst).as("%s agent %s", initialState, agent).isLessThan(CHANGE_DEADLINE_MS - 100);
            }
        }
    }

    /** Gateways that are rejected or redirected at the same moment do not call again at the same moment. */
    @Test
    void gatewaysDoNotCallAServiceSimultaneously() {
        double[] rejectedDelaysMs = new double[60];
        double[] redirectedDelaysMs = new double[60];
        for (int i = 0; i < rejectedDelaysMs.length; i++) {
            PollSchedule schedule = new PollSchedule(false, 7, new SplittableRandom(i));
            rejectedDelaysMs[i] = schedule.onRejected(60_000);
            redirectedDelaysMs[i] = schedule.onRedirected();
        }
        assertThat(DoubleStream.of(rejectedDelaysMs).max().orElse(0)
                        - DoubleStream.of(rejectedDelaysMs).min().orElse(0))
                .isGreaterThan(400);
        assertThat(DoubleStream.of(redirectedDelaysMs).max().orElse(0)
                        - DoubleStream.of(redirectedDelaysMs).min().orElse(0))
                .isGreaterThan(150);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void completeListIsRequestedAfterAnUnreadableOne(boolean agent) {
        PollSchedule schedule = createSchedule(agent);
        schedule.onUnreadable();
        assertThat(schedule.nextPoll().target()).isEqualTo("/api/targets");
    }

    @ParameterizedTest
    @CsvSource({
        // version, complete, ms since the first older list, expected status
        "8, false, 0, CHANGED", "8, true, 0, CHANGED", "7, false, 0, UNCHANGED", "7, true, 0, UNCHANGED",
        "6, true, 0, OUTDATED", "6, true, 1999, OUTDATED", "6, true, 2000, CHANGED", "6, false, 60000, OUTDATED"
    })
    void olderListIsIgnoredAtFirst(long version, boolean complete, double afterMs, ListStatus expected) {
        PollSchedule schedule = createSchedule(true);
        if (expected == ListStatus.OUTDATED || version < 7) schedule.onList(5, true, 7, 1_000);
        assertThat(schedule.onList(version, complete, 7, 1_000 + afterMs)).isEqualTo(expected);
        if (expected == ListStatus.OUTDATED)
            assertThat(schedule.nextPoll().target()).isEqualTo("/api/targets");
    }
}
