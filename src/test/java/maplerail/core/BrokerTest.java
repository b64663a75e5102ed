package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.EngineRole;
import maplerail.routing.Idempotency;
import maplerail.routing.IdempotencyScope;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingAction.CancelAttempt;
import maplerail.routing.RoutingAction.RejectRequest;
import maplerail.routing.RoutingAction.ReleaseState;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingEvent.AttemptEnded;
import maplerail.routing.RoutingPolicy;
import maplerail.routing.RoutingSettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the broker with a scripted routing policy and a fake transport. */
class BrokerTest {
    private static final double SLOW_EVENT_MS = 4_500; // between two events of an engine that runs
    private static final double CLIENT_LEFT_WAITING_MS = 5_000; // after an engine's last event: too long

    private static final long READER = 1;
    private static final long WRITER = 2;

    private final TestLoop loop = new TestLoop();
    private static final int PAYLOAD_BYTES = 10;

    private final Metrics metrics = new Metrics();
    private final List<RoutingEvent> reportedEvents = new ArrayList<>();
    private final List<RoutingAction> nextActions = new ArrayList<>();
    private final List<SentAttempt> sentAttempts = new ArrayList<>();
    private final List<String> releases = new ArrayList<>();
    private final List<ReleaseControl> releaseControls = new ArrayList<>();
    private final List<ConnectionChoice> connectionChoices = new ArrayList<>();
    private boolean enginesAnswerReleases = true;
    private final List<String> transportCalls = new ArrayList<>();
    private final List<String> clientCalls = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private boolean clientWritable = true;
    private boolean attemptsUnsent;
    private boolean policyFails;
    private boolean betweenEvents;
    private Object clientConnection; // the client connection that can be detached; null if it can't
    /** The policy's actions at the next end of an attempt. */
    private final List<RoutingAction> actionsOnAttemptEnd = new ArrayList<>();

    private final List<Consumer<ReservePlaceResult>> placeResults = new ArrayList<>();
    private Broker broker;
    private RequestHandle adoptedHandle;
    private final List<String> connectionCalls = new ArrayList<>(); // of suspensions of the client's connection

    private static final class TestLoop implements EventLoop {
        double now = 1_000;
        Runnable inputHandler = () -> {}; // handles received input, as the loop guarantees before each timer
        private final PriorityQueue<ScheduledTask> timers =
                new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));

        private record ScheduledTask(double atMs, Runnable task) {}

        @Override
        public double nowMs() {
            return now;
        }

        @Override
        public Timer schedule(double whenMs, Runnable task) {
            ScheduledTask timer = new ScheduledTask(whenMs, task);
            timers.add(timer);
            return () -> timers.remove(timer);
        }

        void runUntil(double endMs) {
            while (!timers.isEmpty() && timers.peek().atMs <= endMs) {
                inputHandler.run();
                if (timers.isEmpty() || timers.peek().atMs > endMs) break;
                ScheduledTask timer = timers.poll();
                now = Math.max(now, timer.atMs);
                timer.task.run();
            }
            now = endMs;
        }
    }

    private final class SentAttempt implements AttemptHandle {
        final AttemptObserver observer;
        boolean aborted;
        boolean paused;
        Runnable pendingInput = () -> {}; // received but not yet handled

        SentAttempt(AttemptObserver observer) {
            this.observer = observer;
        }

        @Override
        public boolean isUnsent() {
            return attemptsUnsent;
        }

        @Override
        public void abort() {
            aborted = true;
            transportCalls.add("abort");
        }

        void handleInput() {
            Runnable input = pendingInput;
            pendingInput = () -> {};
            input.run();
        }

        @Override
        public void pause() {
            paused = true;
        }

        @Override
        public void resume() {
            paused = false;
        }

        @Override
        public boolean isBetweenEvents() {
            return betweenEvents;
        }

        @Override
        public Object suspend() {
            transportCalls.add("suspend");
            paused = true;
            return this;
        }

        @Override
        public void release() {
            transportCalls.add("release");
        }
    }

    @BeforeEach
    void createBroker() {
        RoutingPolicy policy = (now, events) -> {
            if (policyFails) throw new IllegalStateException("policy failure");
            reportedEvents.addAll(events);
            if (!actionsOnAttemptEnd.isEmpty() && events.get(0) instanceof AttemptEnded) {
                List<RoutingAction> actions = List.copyOf(actionsOnAttemptEnd);
                actionsOnAttemptEnd.clear();
                return actions;
            }
            List<RoutingAction> actions = List.copyOf(nextActions);
            nextActions.clear();
            return actions;
        };
        RoutingSettings settings = new RoutingSettings(
                1,
                1,
                0,
                2,
                false,
                1,
                List.of(),
                List.of(),
                List.of(
                        new RoutingSettings.EngineKind(EngineRole.READER, 1),
                        new RoutingSettings.EngineKind(EngineRole.WRITER, 1)),
                new RoutingSettings.Limits(5, true, true, true, 1_000, false),
                new RoutingSettings.Rules(8, 500, 1, 1, 1, 1, 1));
        EngineTransport transport = new EngineTransport() {
            @Override
            public AttemptHandle send(
                    long engine,
                    InferenceRequest request,
                    double untilMs,
                    ConnectionChoice connection,
                    AttemptObserver observer) {
                connectionChoices.add(connection);
                sentAttempts.add(new SentAttempt(observer));
                return sentAttempts.get(sentAttempts.size() - 1);
            }

            @Override
            public void closeIdleConnections(long engine) {}

            @Override
            public void reservePlace(
                    long engine, String id, ConnectionChoice connection, Consumer<ReservePlaceResult> onResult) {
                placeResults.add(onResult);
            }

            @Override
            public void release(long engine, Set<Long> others, String id, double untilMs, ReleaseControl control) {
                releases.add(engine + "/" + id);
                releaseControls.add(control);
                transportCalls.add("release");
                if (!enginesAnswerReleases) return;
                control.onReleased();
                control.onHolderResponded();
                control.onEnded(true);
            }
        };
        broker = new Broker(
                policy,
                settings,
                new AdmissionStage(
                        AdmissionLimits.ofOpenRequests(3),
                        new MemoryBudget(1_000_000, metrics.memory("platform")),
                        loop,
                        new SplittableRandom(1),
                        metrics),
                loop,
                transport,
                log::add,
                metrics,
                List.of("a", "b", "c"));
        publishEndpoints(EndpointState.READY);
        reportedEvents.clear();
    }

    private void publishEndpoints(EndpointState writerState) {
        broker.updateEndpoints(new RoutingEvent.EndpointUpdate(
                EndpointUpdateKind.SNAPSHOT,
                1,
                List.of(
                        new Endpoint(READER, EndpointState.READY, 0, 0, 0, 1, 0),
                        new Endpoint(WRITER, writerState, 0, 0, 0, 1, 1))));
    }

    /** Makes the policy return the given actions, by reporting an empty endpoint update. */
    private void applyActions(RoutingAction... actions) {
        nextActions.addAll(List.of(actions));
        broker.updateEndpoints(new RoutingEvent.EndpointUpdate(EndpointUpdateKind.DELTA, 2, List.of()));
    }

    /** Each final response counts once, even if reported repeatedly; none counts for a disconnected client. */
    @Test
    void eachFinalResponseIsCountedOnceForItsClass() {
        submit("served", startAttempt(READER));
        nextActions.add(startAttempt(WRITER));
        sentAttempts.get(0).observer.onSent();
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.PROMPT_READ, 7);
        sentAttempts.get(1).observer.onSent();
        sentAttempts.get(1).observer.onEvent(new byte[1]);
        assertThat(metricValues()).containsEntry("current", 1L).containsEntry("answered.a", 0L);
        sentAttempts.get(1).observer.onEnded(AttemptOutcome.COMPLETED, 0);
        submit("broken", new RoutingAction.StartAttempt(2, WRITER, 0));
        sentAttempts.get(2).observer.onEvent(new byte[1]);
        sentAttempts.get(2).observer.onEnded(AttemptOutcome.RESET, 0);
        submit("refused", new RejectRequest(3, 0));
        submit("failed", new RoutingAction.FailRequest(4));
        RequestHandle handle = submit("gone", new RoutingAction.StartAttempt(5, READER, 0));
        submit("gone"); // a duplicate of an open id
        handle.onClientDisconnected();
        handle.onClientDisconnected();
        sentAttempts.get(3).observer.onEnded(AttemptOutcome.RESET, 0);
        loop.runUntil(30_000);
        assertThat(metricValues())
                .containsEntry("answered.a", 1L)
                .containsEntry("deferred.a", 1L)
                .containsEntry("errored.a", 3L)
                .containsEntry("sends", 2L)
                .containsEntry("current", 0L);
    }

    /** A released stream belongs to another process, and this one neither ends nor counts it. */
    @Test
    void aStreamIsSuspendedOnlyBetweenEventsAndReleasedOnce() {
        submit("one", new RoutingAction.StartAttempt(1, WRITER, 0));
        assertThat(broker.suspendStreams(9)).as("not streaming").isEmpty();
        sentAttempts.get(0).observer.onEvent(new byte[1]);
        assertThat(broker.suspendStreams(9)).as("within an event").isEmpty();
        betweenEvents = true;
        assertThat(broker.suspendStreams(9)).as("slow client").isEmpty();
        assertThat(transportCalls).doesNotContain("suspend");
        clientConnection = "client";
        assertThat(broker.suspendStreams(0)).as("not more than the limit").isEmpty();
        SuspendedStream suspended = suspendOne();
        assertThat(List.of(
                        suspended.requestClass(),
                        suspended.requestId(),
                        suspended.clientConnection(),
                        suspended.engineConnection()))
                .containsExactly("a", "one", "client", sentAttempts.get(0));
        assertThat(broker.suspendStreams(9)).as("suspended already").isEmpty();
        assertThat(broker.openRequests()).as("until it is released").isEqualTo(1);
        suspended.owner().release();
        assertThat(broker.suspendStreams(9)).isEmpty();
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.COMPLETED, 0);
        loop.runUntil(30_000);
        assertThat(clientCalls).containsExactly("event");
        assertThat(connectionCalls).containsExactly("suspend", "release");
        assertThat(broker.openRequests()).isZero();
        assertThat(metricValues())
                .containsEntry("current", 0L)
                .containsEntry("answered.a", 0L)
                .containsEntry("errored.a", 0L);
    }

    private SuspendedStream suspendOne() {
        List<SuspendedStream> suspended = broker.suspendStreams(9);
        assertThat(suspended).hasSize(1);
        return suspended.get(0);
    }

    /** Guards against streams that end with an upgrade, as no other process takes them. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aStreamThatNoOtherProcessTakesGoesOn(boolean adopted) {
        betweenEvents = true;
        clientConnection = "client";
        if (adopted) {
            adoptStream();
        } else {
            submit("one", new RoutingAction.StartAttempt(1, WRITER, 0));
            sentAttempts.get(0).observer.onEvent(new byte[1]);
        }
        SuspendedStream suspended = suspendOne();
        broker.abortStreams(1);
        loop.runUntil(loop.now + 10_000);
        assertThat(clientCalls).as("nothing ends it meanwhile").doesNotContain("broken");
        suspended.owner().resume();
        assertThat(sentAttempts.get(0).paused).isFalse();
        sentAttempts.get(0).observer.onEvent(new byte[1]);
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.COMPLETED, 0);
        assertThat(clientCalls).endsWith("event", "end");
        assertThat(connectionCalls).containsExactly("suspend", "resume");
        assertThat(metricValues()).containsEntry(adopted ? "answered.b" : "answered.a", 1L);
    }

    /** Guards against a stream that stalls unseen, as its time ran while it was suspended or never runs again. */
    @Test
    void aStreamThatStallsAfterItsSuspensionIsBrokenOff() {
        betweenEvents = true;
        clientConnection = "client";
        adoptStream();
        SuspendedStream suspended = suspendOne();
        loop.runUntil(loop.now + 10_000);
        suspended.owner().resume();
        double resumedMs = loop.now;
        loop.runUntil(resumedMs + SLOW_EVENT_MS);
        assertThat(clientCalls).doesNotContain("broken");
        loop.runUntil(resumedMs + CLIENT_LEFT_WAITING_MS);
        assertThat(clientCalls).contains("broken");
    }

    static Stream<Arguments> streamEndings() {
        Consumer<BrokerTest> completed = t -> t.sentAttempts.get(0).observer.onEnded(AttemptOutcome.COMPLETED, 0);
        Consumer<BrokerTest> reset = t -> t.sentAttempts.get(0).observer.onEnded(AttemptOutcome.RESET, 0);
        Consumer<BrokerTest> disconnected = t -> t.adoptedHandle.onClientDisconnected();
        Consumer<BrokerTest> stalled = t -> t.loop.runUntil(t.loop.now + CLIENT_LEFT_WAITING_MS);
        Consumer<BrokerTest> aborted = t -> t.broker.abortStreams(1);
        Consumer<BrokerTest> released = t -> t.suspendOne().owner().release();
        return Stream.of(
                Arguments.of("completed", completed, "end", 1, 0),
                Arguments.of("engine failure", reset, "broken", 0, 1),
                Arguments.of("client disconnect", disconnected, null, 0, 0),
                Arguments.of("engine stall", stalled, "broken", 0, 1),
                Arguments.of("aborted at shutdown", aborted, "broken", 0, 1),
                Arguments.of("released again", released, null, 0, 0));
    }

    /** A stream that another process started ends once, whatever events follow. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("streamEndings")
    void anAdoptedStreamEndsOnce(String name, Consumer<BrokerTest> end, String lastCall, long answered, long errored) {
        betweenEvents = true;
        clientConnection = "client";
        adoptStream();
        loop.runUntil(loop.now + 2_900);
        sentAttempts.get(0).observer.onEvent(new byte[1]);
        assertThat(broker.unfinishedRequests()).isEqualTo(1);
        end.accept(this);
        sentAttempts.get(0).observer.onEvent(new byte[1]);
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.RESET, 0);
        adoptedHandle.onClientDisconnected();
        loop.runUntil(loop.now + 30_000);
        assertThat(clientCalls).isEqualTo(lastCall == null ? List.of("event") : List.of("event", lastCall));
        assertThat(broker.openRequests()).isZero();
        assertThat(metricValues())
                .containsEntry("current", 0L)
                .containsEntry("answered.b", answered)
                .containsEntry("errored.b", errored);
        assertThat(reportedEvents).as("events reported to the policy").isEmpty();
    }

    private void adoptStream() {
        adoptedHandle =
                broker.adoptStream("b", "x", recordingObserver(), RequestPayload.DEFAULT_STALL_TIMEOUT_MS, observer -> {
                    sentAttempts.add(new SentAttempt(observer));
                    return sentAttempts.get(0);
                });
    }

    private java.util.Map<String, Long> metricValues() {
        java.util.Map<String, Long> all = new java.util.TreeMap<>();
        metrics.figures().forEach(figure -> all.put(figure.name(), figure.value()));
        return all;
    }

    private RequestHandle submit(String id, RoutingAction... actions) {
        return submit(id, false, actions);
    }

    private RequestHandle submit(String id, boolean resumed, RoutingAction... actions) {
        nextActions.addAll(List.of(actions));
        return broker.submit(
                new InferenceRequest(id, 0, 0, 0, 10, 0, 0, 5_000, 10, 0, resumed, PAYLOAD_BYTES, new RequestPayload() {
                    @Override
                    public boolean release() {
                        return true;
                    }
                }),
                recordingObserver());
    }

    private ResponseObserver recordingObserver() {
        return new ResponseObserver() {
            @Override
            public Optional<Object> suspend() {
                if (clientConnection != null) connectionCalls.add("suspend");
                return Optional.ofNullable(clientConnection);
            }

            @Override
            public void resume() {
                connectionCalls.add("resume");
            }

            @Override
            public void release() {
                connectionCalls.add("release");
            }

            @Override
            public boolean onEvent(byte[] event) {
                clientCalls.add("event");
                return clientWritable;
            }

            @Override
            public void onCompleted() {
                clientCalls.add("end");
            }

            @Override
            public void onBroken() {
                clientCalls.add("broken");
            }

            @Override
            public void onRejected(Reason reason, double retryAfterMs) {
                clientCalls.add("refuse " + reason + " " + Math.round(retryAfterMs));
            }

            @Override
            public void onFailed(Reason reason) {
                clientCalls.add("fail " + reason);
            }
        };
    }

    private static RoutingAction.StartAttempt startAttempt(long engine) {
        return new RoutingAction.StartAttempt(1, engine, 0);
    }

    private List<AttemptOutcome> outcomes() {
        return reportedEvents.stream()
                .filter(e -> e instanceof AttemptEnded)
                .map(e -> ((AttemptEnded) e).outcome())
                .toList();
    }

    /** With its client's deadline, a request that arrived just before the process exit was aborted by the exit. */
    @Test
    void deadlinesAreLimitedBeforeTheProcessExits() {
        broker.limitDeadlines(loop.nowMs() + 900);
        submit("a", startAttempt(READER));
        assertThat(((RoutingEvent.RequestArrived) reportedEvents.get(0)).budgetMs())
                .isEqualTo(900);
        loop.runUntil(loop.nowMs() + 1_000);
        assertThat(clientCalls).containsExactly("fail DEADLINE");
    }

    @Test
    void aRequestIsReadThenWrittenAndCompletedOnce() {
        submit("a", startAttempt(READER));
        nextActions.add(startAttempt(WRITER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.PROMPT_READ, 7);
        sentAttempts.get(1).observer.onEvent(new byte[1]);
        sentAttempts.get(1).observer.onEvent(new byte[1]);
        nextActions.add(new RejectRequest(1, 0));
        sentAttempts.get(1).observer.onEnded(AttemptOutcome.COMPLETED, 0);
        loop.runUntil(20_000);
        assertThat(clientCalls).containsExactly("event", "event", "end");
        assertThat(reportedEvents)
                .filteredOn(e -> e instanceof RoutingEvent.FirstToken)
                .hasSize(1);
        assertThat(((AttemptEnded) reportedEvents.get(1)).cachedTokens()).isEqualTo(7);
        assertThat(((AttemptEnded) reportedEvents.get(reportedEvents.size() - 1)).requestClosed())
                .isTrue();
        assertThat(releases).isEmpty();
        assertThat(broker.openRequests()).isZero();
    }

    @Test
    void aCompletedAttemptWithoutEventsCompletesTheRequest() {
        submit("a", startAttempt(WRITER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.COMPLETED, 0);
        assertThat(clientCalls).containsExactly("end");
        assertThat(broker.openRequests()).isZero();
    }

    @Test
    void aPolicyExceptionLosesOneEventAndTheRequestFailsAtItsDeadline() {
        policyFails = true;
        submit("a");
        policyFails = false;
        submit("b", new RejectRequest(2, 0));
        assertThat(clientCalls).containsExactly("refuse OVERLOAD 0");
        loop.runUntil(6_004);
        assertThat(clientCalls).containsExactly("refuse OVERLOAD 0", "fail DEADLINE");
    }

    @Test
    void aSlowClientPausesTheAttemptUntilItIsWritable() {
        RequestHandle handle = submit("a", startAttempt(WRITER));
        clientWritable = false;
        sentAttempts.get(0).observer.onEvent(new byte[1]);
        assertThat(sentAttempts.get(0).paused).isTrue();
        handle.onClientWritable();
        assertThat(sentAttempts.get(0).paused).isFalse();
    }

    @Test
    void aRequestFailsAtItsDeadlineAndThePolicyIsNotified() {
        submit("a", startAttempt(WRITER));
        loop.runUntil(6_004);
        assertThat(clientCalls).containsExactly("fail DEADLINE");
        assertThat(outcomes()).containsExactly(AttemptOutcome.TIMEOUT);
        assertThat(reportedEvents).anyMatch(e -> e instanceof RoutingEvent.RequestAbandoned);
        assertThat(broker.openRequests()).isZero();
    }

    /** A lagging loop ran its timers first, which aborted attempts whose responses had arrived in time. */
    @ParameterizedTest
    @CsvSource({"3000, false", "0, false", "0, true"})
    void receivedInputIsHandledBeforeATimeoutAborts(double deadlineAfterMs, boolean stall) {
        submit("a", new RoutingAction.StartAttempt(1, WRITER, deadlineAfterMs == 0 ? 0 : loop.now + deadlineAfterMs));
        SentAttempt attempt = sentAttempts.get(0);
        if (stall) {
            attempt.observer.onEvent(new byte[1]);
            loop.now += SLOW_EVENT_MS;
        }
        attempt.pendingInput = () -> {
            attempt.observer.onEvent(new byte[1]);
            attempt.observer.onEnded(AttemptOutcome.COMPLETED, 0);
        };
        loop.inputHandler = attempt::handleInput;
        loop.runUntil(20_000);
        assertThat(clientCalls).endsWith("event", "end").doesNotContain("broken", "fail DEADLINE");
        assertThat(outcomes()).containsExactly(AttemptOutcome.COMPLETED);
        assertThat(broker.openRequests()).isZero();
    }

    /** A repeat that waited for its connection until its key had expired was a duplicate that no engine dropped. */
    @ParameterizedTest
    @CsvSource({"1100, false", "900, true"})
    void aRepeatIsNotSentAfterItsIdempotencyKeyExpires(double afterMs, boolean written) {
        RoutingSettings.RequestClass keyed = new RoutingSettings.RequestClass(
                1_000, 0, 5_000, 60, 1, 0, Idempotency.IDEMPOTENCY_KEY, IdempotencyScope.ALL, 1_000);
        broker.changeSettings(
                new RoutingSettings(
                        1,
                        1,
                        0,
                        2,
                        false,
                        1,
                        List.of(keyed),
                        List.of(),
                        List.of(),
                        new RoutingSettings.Limits(5, true, true, true, 1_000, false),
                        new RoutingSettings.Rules(8, 500, 1, 1, 1, 1, 1)),
                List.of("a"));
        submit("a", startAttempt(WRITER));
        loop.runUntil(1_900);
        applyActions(startAttempt(WRITER));
        attemptsUnsent = true;
        loop.runUntil(1_000 + afterMs);
        assertThat(sentAttempts.get(1).observer.isNeeded()).isEqualTo(written);
        assertThat(sentAttempts.get(1).aborted).isNotEqualTo(written);
        assertThat(outcomes()).isEqualTo(written ? List.of() : List.of(AttemptOutcome.NOT_SENT));
    }

    @Test
    void aStreamFinishedByItsEngineCompletesBeforeStreamsAreAborted() {
        submit("a", startAttempt(WRITER));
        sentAttempts.get(0).observer.onEvent(new byte[1]);
        sentAttempts.get(0).pendingInput = () -> sentAttempts.get(0).observer.onEnded(AttemptOutcome.COMPLETED, 0);
        loop.inputHandler = sentAttempts.get(0)::handleInput;
        loop.schedule(loop.now, () -> broker.abortStreams(1));
        loop.runUntil(loop.now);
        assertThat(clientCalls).containsExactly("event", "end");
    }

    @Test
    void theDeadlineIsCancelledByTheFirstEvent() {
        submit("a", startAttempt(WRITER));
        for (int second = 2; second <= 60; second += 2) {
            sentAttempts.get(0).observer.onEvent(new byte[1]);
            loop.runUntil(second * 1_000);
        }
        assertThat(sentAttempts.get(0).aborted).isFalse();
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.RESET, 0);
        assertThat(clientCalls).startsWith("event").endsWith("broken");
    }

    /** A stalled engine does not close its connection: without a stall timeout, its client would wait forever. */
    @Test
    void aStalledStreamIsAbortedButNotWhileItsClientIsSlow() {
        RequestHandle handle = submit("a", startAttempt(WRITER));
        clientWritable = false;
        sentAttempts.get(0).observer.onEvent(new byte[1]);
        loop.runUntil(30_000);
        assertThat(clientCalls).containsExactly("event");
        handle.onClientWritable();
        loop.runUntil(30_000 + SLOW_EVENT_MS);
        assertThat(clientCalls).containsExactly("event");
        loop.runUntil(30_000 + CLIENT_LEFT_WAITING_MS);
        assertThat(clientCalls).containsExactly("event", "broken");
        assertThat(sentAttempts.get(0).aborted).isTrue();
        assertThat(outcomes()).containsExactly(AttemptOutcome.RESET);
        assertThat(broker.openRequests()).isZero();
    }

    @Test
    void aClientDisconnectAbortsAttemptsAndReleasesTheState() {
        RequestHandle handle = submit("a", startAttempt(READER));
        nextActions.add(startAttempt(WRITER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.PROMPT_READ, 0);
        nextActions.add(new ReleaseState(1));
        handle.onClientDisconnected();
        assertThat(sentAttempts.get(1).aborted).isTrue();
        assertThat(outcomes()).containsExactly(AttemptOutcome.PROMPT_READ, AttemptOutcome.CANCELLED);
        assertThat(releases).contains("1/a");
        sentAttempts.get(1).observer.onEvent(new byte[1]);
        sentAttempts.get(1).observer.onEnded(AttemptOutcome.COMPLETED, 0);
        assertThat(clientCalls).isEmpty();
        assertThat(broker.openRequests()).isZero();
    }

    /** A release that overtook the close of a write's connection was ignored, which left the state reserved. */
    @Test
    void aReleaseIsRepeatedAfterTheAbortedWriteHasEnded() {
        RequestHandle handle = submit("a", startAttempt(READER));
        nextActions.add(startAttempt(WRITER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.PROMPT_READ, 0);
        nextActions.add(new ReleaseState(1));
        handle.onClientDisconnected();
        assertThat(transportCalls).containsExactly("abort", "release");
        loop.runUntil(1_399);
        assertThat(transportCalls)
                .as("the close may arrive after the first release")
                .containsExactly("abort", "release", "release");
    }

    /** After a start, requests may arrive faster than half a core can accept them. */
    @Test
    void aLaggingLoopRejectsNewRequestsUntilItCatchesUp() {
        submit("a", startAttempt(WRITER));
        loop.now += 1_000;
        loop.runUntil(loop.now);
        submit("b");
        assertThat(clientCalls).singleElement().asString().matches("refuse OVERLOAD (2[5-9]|[3-6].|7[0-5]).");
        loop.runUntil(loop.now + 50);
        submit("c", startAttempt(WRITER));
        assertThat(clientCalls).singleElement().asString().matches("refuse OVERLOAD (2[5-9]|[3-6].|7[0-5]).");
        assertThat(sentAttempts).hasSize(2);
    }

    @Test
    void theDirectoryDropsRemovedEngines() {
        EngineDirectory directory = new EngineDirectory(List.of(new RoutingSettings.EngineKind(EngineRole.READER, 1)));
        for (long id = 1; id <= 1_000; id++) {
            directory.apply(new RoutingEvent.EndpointUpdate(
                    EndpointUpdateKind.DELTA,
                    id,
                    List.of(
                            new Endpoint(id, EndpointState.READY, 0, 0, 0, 1, 0),
                            new Endpoint(id - 1, EndpointState.REMOVED, 0, 0, 0, 1, 0))));
        }
        assertThat(directory.size()).isEqualTo(1);
        directory.apply(new RoutingEvent.EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 2_000, List.of()));
        assertThat(directory.size()).isZero();
    }

    /** Many requests may arrive in one batch, before a timer detects the lag of the loop. */
    @Test
    void aLoopThatLagsWithinABatchRejectsTheRestOfTheBatch() {
        submit("a", startAttempt(WRITER));
        loop.now += 200;
        submit("b");
        assertThat(clientCalls).singleElement().asString().matches("refuse OVERLOAD (2[5-9]|[3-6].|7[0-5]).");
        submit("c", true, startAttempt(WRITER));
        assertThat(clientCalls).as("a resumed stream is accepted").hasSize(1);
        assertThat(sentAttempts).hasSize(2);
    }

    /** A cancelled read may have ended at the same time or may end later: its state would stay reserved. */
    @Test
    void theReleaseOfACancelledReadIsRepeated() {
        submit("a", startAttempt(READER));
        applyActions(new CancelAttempt(1, 0));
        assertThat(outcomes()).containsExactly(AttemptOutcome.CANCELLED);
        assertThat(releases).containsExactly("1/a");
        loop.runUntil(1_399);
        assertThat(releases)
                .as("the release may arrive before the cancellation")
                .containsExactly("1/a", "1/a");
        loop.runUntil(3_000);
        assertThat(releases).as("the reader may still be reading").hasSize(6);
        loop.runUntil(60_000);
        assertThat(releases).hasSize(6);
    }

    /** A read whose connection was reset continued at the reader, and its state appeared after the only release. */
    @Test
    void theReleaseOfAResetReadIsRepeated() {
        submit("a", startAttempt(READER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.RESET, 0);
        assertThat(releases).containsExactly("1/a");
        loop.runUntil(3_000);
        assertThat(broker.pendingReleases()).isZero();
        assertThat(releases).hasSize(6);
    }

    /** During a network partition, three connections failed in turn, and the state stayed reserved for 0.8 s. */
    @Test
    void aStateIsReleasedInTimeWhenConnectionsFail() {
        submit("a", startAttempt(READER));
        actionsOnAttemptEnd.add(startAttempt(WRITER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.PROMPT_READ, 0);
        attemptsUnsent = true;
        loop.runUntil(loop.now + 400);
        actionsOnAttemptEnd.add(startAttempt(WRITER));
        sentAttempts.get(1).observer.onEnded(AttemptOutcome.UNREACHABLE, 0);
        loop.runUntil(loop.now + 99);
        assertThat(releases).as("before the reservation limit").isEmpty();
        loop.runUntil(loop.now + 101);
        assertThat(releases).contains("1/a");
        assertThat(outcomes())
                .containsExactly(AttemptOutcome.PROMPT_READ, AttemptOutcome.UNREACHABLE, AttemptOutcome.STATE_LOST);
        applyActions(startAttempt(WRITER));
        assertThat(outcomes()).last().isEqualTo(AttemptOutcome.STATE_LOST);
        assertThat(sentAttempts)
                .as("nothing is sent once the state is released")
                .hasSize(3);
    }

    /** An incident was analysed with log lines that identified no request, no attempt and no release. */
    @Test
    void failuresAreLoggedWithIdsAndTheLogIsRateLimited() {
        submit("a", startAttempt(READER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.RESET, 0);
        applyActions(new RejectRequest(1, 0));
        assertThat(log)
                .anyMatch(line -> line.matches(
                        "attempt ended request=a attempt=0 engine=1 role=reader outcome=RESET elapsed_ms=0 .*"))
                .anyMatch(line -> line.startsWith("request rejected request=a class=a reason=OVERLOAD attempts=1 "));
        for (int i = 0; i < 1_000; i++) {
            submit("b" + i, new RoutingAction.StartAttempt(i + 2, READER, 0));
            sentAttempts.get(sentAttempts.size() - 1).observer.onEnded(AttemptOutcome.RESET, 0);
            applyActions(new RejectRequest(i + 2, 0));
        }
        assertThat(log).hasSizeBetween(150, 250);
        loop.runUntil(loop.now + 1_000);
        submit("c", new RoutingAction.StartAttempt(1_002, READER, 0));
        sentAttempts.get(sentAttempts.size() - 1).observer.onEnded(AttemptOutcome.RESET, 0);
        assertThat(log).anyMatch(line -> line.matches("log lines suppressed count=1[0-9]{3}"));
        assertThat(metrics.figures())
                .anyMatch(figure -> figure.name().equals("attempts_reset") && figure.value() == 1_002);
    }

    /**
     * A write that was sent may never arrive: during an incident, states stayed reserved until the incident ended. A
     * write that did arrive is not affected by the release, as engines ignore releases of states that are waited for.
     */
    @Test
    void aStateIsReleasedAlthoughAWriteHasBeenSent() {
        submit("a", startAttempt(READER));
        actionsOnAttemptEnd.add(startAttempt(WRITER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.PROMPT_READ, 0);
        loop.runUntil(loop.now + 399);
        assertThat(releases).as("well before the reservation limit").isEmpty();
        loop.runUntil(loop.now + 101);
        assertThat(releases).containsExactly("1/a");
        loop.runUntil(loop.now + 1_500);
        assertThat(outcomes()).containsExactly(AttemptOutcome.PROMPT_READ);
        assertThat(sentAttempts.get(1).aborted).isFalse();
        sentAttempts.get(1).observer.onEvent(new byte[1]);
        sentAttempts.get(1).observer.onEnded(AttemptOutcome.COMPLETED, 0);
        assertThat(clientCalls).last().isEqualTo("end");
    }

    /** Writes that never arrived restarted the limit when they ended: two dead writers delayed a release to 1 s. */
    @ParameterizedTest
    @CsvSource({"TIMEOUT, false", "CANCELLED, false", "RESET, false", "OVERLOADED, true", "ERROR, true"})
    void onlyAnEngineResponseRestartsTheReservationLimit(AttemptOutcome end, boolean restarts) {
        submit("a", startAttempt(READER));
        actionsOnAttemptEnd.add(startAttempt(WRITER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.PROMPT_READ, 0);
        loop.runUntil(loop.now + 300);
        actionsOnAttemptEnd.add(startAttempt(WRITER));
        sentAttempts.get(1).observer.onEnded(end, 0);
        loop.runUntil(loop.now + 300);
        assertThat(releases.isEmpty()).isEqualTo(restarts);
        loop.runUntil(loop.now + 300);
        assertThat(releases)
                .as("released after the restarted limit at the latest")
                .contains("1/a");
    }

    /** A cancelled read on a dead connection continues, and its state would outlast the stream of another attempt. */
    @Test
    void theStateOfACancelledReadIsReleasedWhileTheResponseStreams() {
        submit("a", startAttempt(READER));
        actionsOnAttemptEnd.add(startAttempt(WRITER));
        applyActions(new CancelAttempt(1, 0));
        assertThat(releases).as("the writer may wait for the state").isEmpty();
        sentAttempts.get(1).observer.onEvent(new byte[1]);
        assertThat(releases).as("immediately").containsExactly("1/a");
        loop.runUntil(loop.now + 600);
        assertThat(releases).as("the reader may still be reading").hasSizeGreaterThanOrEqualTo(2);
        assertThat(sentAttempts.get(1).aborted).isFalse();
        loop.runUntil(loop.now + 20_000);
        int count = releases.size();
        loop.runUntil(loop.now + 60_000);
        assertThat(releases).as("repeats are limited").hasSize(count).hasSizeLessThan(16);
    }

    @Test
    void theStateOfAResetReadIsReleasedWhenTheStreamBegins() {
        submit("a", startAttempt(READER));
        actionsOnAttemptEnd.add(startAttempt(WRITER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.RESET, 0);
        assertThat(releases).as("the writer may wait for the state").isEmpty();
        sentAttempts.get(1).observer.onEvent(new byte[1]);
        assertThat(releases).containsExactly("1/a");
        sentAttempts.get(1).observer.onEnded(AttemptOutcome.COMPLETED, 0);
        loop.runUntil(loop.now + 2_000);
        assertThat(releases).as("the reader may still be reading").hasSize(6);
    }

    /** Releases waited for a read that never arrived, so the state of an earlier read stayed reserved. */
    @Test
    void theStateOfAnEarlierReadIsReleasedBeforeTheNextReadIsSent() {
        enginesAnswerReleases = false;
        submit("a", startAttempt(READER));
        applyActions(new CancelAttempt(1, 0), startAttempt(READER));
        assertThat(releases).containsExactly("1/a");
        assertThat(sentAttempts).as("the read waits for the release").hasSize(1);
        releaseControls.get(0).onReleased();
        assertThat(sentAttempts).hasSize(2);
        assertThat(connectionChoices).containsExactly(ConnectionChoice.ANY, ConnectionChoice.NEW);
        releaseControls.get(0).onHolderResponded();
        releaseControls.get(0).onEnded(true);
        loop.runUntil(1_800);
        assertThat(releases).as("a release would cancel the read").hasSize(1);
    }

    @Test
    void aReadIsSentAfterATimeoutIfTheReleaseIsNotAnswered() {
        enginesAnswerReleases = false;
        submit("a", startAttempt(READER));
        applyActions(new CancelAttempt(1, 0), startAttempt(READER));
        loop.runUntil(loop.now + 151);
        assertThat(sentAttempts).hasSize(2);
        assertThat(releaseControls.get(0).maySend())
                .as("while the next read is in flight")
                .isFalse();
    }

    /** A read may not arrive, or its response may be lost: its state is released some time after its expected end. */
    @Test
    void aReadWithoutResponseIsAbortedWithinTheLimit() {
        submit("a", startAttempt(READER));
        loop.runUntil(loop.now + 100);
        nextActions.add(startAttempt(WRITER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.PROMPT_READ, 0);
        sentAttempts.get(1).observer.onEvent(new byte[1]);
        submit("b", new RoutingAction.StartAttempt(2, READER, 0));
        loop.runUntil(loop.now + 540);
        assertThat(releases).isEmpty();
        loop.runUntil(loop.now + 20);
        assertThat(sentAttempts.get(2).aborted).isTrue();
        assertThat(releases).as("reads take 100 ms, and the limit is 500").containsExactly("1/b");
        assertThat(log).anyMatch(line -> line.contains("outcome=CANCELLED") && line.contains("aborted_for=UNHEARD"));
    }

    private void allowPlaceReservation() {
        RoutingSettings.Limits limits = new RoutingSettings.Limits(5, true, true, true, 1_000, false, true);
        RoutingSettings.Rules rules = new RoutingSettings.Rules(8, 500, 1, 1, 1, 1, 1);
        broker.changeSettings(
                new RoutingSettings(1, 1, 0, 2, false, 1, List.of(), List.of(), List.of(), limits, rules),
                List.of("a", "b", "c"));
    }

    /** Submits a read that gets no response until a writer is asked about it. */
    private void submitUnresponsiveRead() {
        allowPlaceReservation();
        submit("a", startAttempt(READER));
        nextActions.add(new RoutingAction.ReservePlace(1, WRITER));
        loop.runUntil(loop.now + 860);
        assertThat(reportedEvents).contains(new RoutingEvent.ReadOverdue(1, 0));
        assertThat(placeResults).hasSize(1);
    }

    /** Prevents reserving places for reads that only wait in their reader's queue. */
    @Test
    void aReadIsNotProbedWhileItsReaderResponds() {
        allowPlaceReservation();
        submit("a", startAttempt(READER));
        loop.runUntil(loop.now + 100);
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.PROMPT_READ, 0);
        submit("b", new RoutingAction.StartAttempt(2, READER, 0));
        loop.runUntil(loop.now + 1);
        submit("c", new RoutingAction.StartAttempt(3, READER, 0));
        loop.runUntil(loop.now + 350);
        sentAttempts.get(1).observer.onEnded(AttemptOutcome.PROMPT_READ, 0);
        loop.runUntil(loop.now + 295);
        assertThat(reportedEvents).doesNotContain(new RoutingEvent.ReadOverdue(3, 0));
        loop.runUntil(loop.now + 10);
        assertThat(reportedEvents).contains(new RoutingEvent.ReadOverdue(3, 0));
    }

    /** Prevents a call to a writer for each read at a slow reader. */
    @Test
    void aProbeResultAppliesToReadsWrittenLater() {
        allowPlaceReservation();
        submit("a", startAttempt(READER));
        loop.runUntil(loop.now + 1);
        submit("b", new RoutingAction.StartAttempt(2, READER, 0));
        nextActions.add(new RoutingAction.ReservePlace(1, WRITER));
        loop.runUntil(loop.now + 900);
        assertThat(placeResults).hasSize(1);
        placeResults.get(0).accept(ReservePlaceResult.NOT_RESERVED);
        loop.runUntil(loop.now + 290);
        assertThat(reportedEvents).doesNotContain(new RoutingEvent.ReadOverdue(2, 0));
        assertThat(sentAttempts.get(1).aborted).isFalse();
    }

    /** A state stays reserved if the response of its read is lost. */
    @Test
    void aReadIsAbortedOnceAWriterReportsItNotInFlight() {
        submitUnresponsiveRead();
        placeResults.get(0).accept(ReservePlaceResult.NO_READ_IN_FLIGHT);
        loop.runUntil(loop.now + 31);
        assertThat(sentAttempts.get(0).aborted).isTrue();
        assertThat(releases).containsExactly("1/a");
    }

    /** Aborting and repeating reads at slow readers would make the readers even slower. */
    @Test
    void aReadConfirmedInFlightIsAwaitedAndProbedAgain() {
        submitUnresponsiveRead();
        placeResults.get(0).accept(ReservePlaceResult.RESERVED);
        assertThat(reportedEvents).contains(new RoutingEvent.PlaceReserved(1, WRITER));
        for (int probe = 1; probe <= 8; probe++) {
            nextActions.add(new RoutingAction.ReservePlace(1, WRITER));
            loop.runUntil(loop.now + 310);
            assertThat(placeResults).hasSize(probe + 1);
            placeResults.get(probe).accept(ReservePlaceResult.NOT_RESERVED);
        }
        assertThat(sentAttempts.get(0).aborted).isFalse();
        assertThat(releases).isEmpty();
    }

    /** A read that ended right after a writer's word, unheard, left its state until the deadline. */
    @Test
    void aReadIsGivenUpAtTheLimitAfterItsLastConfirmation() {
        submitUnresponsiveRead();
        placeResults.get(0).accept(ReservePlaceResult.NOT_RESERVED);
        loop.runUntil(2_320);
        assertThat(releases).as("known to be in flight at 1,800").isEmpty();
        loop.runUntil(2_331);
        assertThat(sentAttempts.get(0).aborted).isTrue();
        assertThat(releases).containsExactly("1/a");
    }

    /** Where no writer could be asked, a read stayed in flight to its deadline, and with it whatever was held. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aReadThatNoWriterConfirmsIsGivenUpAtTheLimit(boolean writerSilent) {
        allowPlaceReservation();
        submit("a", startAttempt(READER));
        if (writerSilent) nextActions.add(new RoutingAction.ReservePlace(1, WRITER));
        loop.runUntil(2_020);
        assertThat(sentAttempts.get(0).aborted).as("expected to end at 1,500").isFalse();
        loop.runUntil(2_031);
        assertThat(placeResults).hasSize(writerSilent ? 1 : 0);
        assertThat(sentAttempts.get(0).aborted).isTrue();
        assertThat(releases).containsExactly("1/a");
    }

    /** One writer that was silent, or took no connection, cost a slow read its work. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anotherWriterIsAskedBeforeAReadIsGivenUp(boolean refused) {
        submitUnresponsiveRead();
        if (refused) placeResults.get(0).accept(ReservePlaceResult.NOT_SENT);
        nextActions.add(new RoutingAction.ReservePlace(1, WRITER));
        loop.runUntil(1_915);
        assertThat(placeResults).hasSize(2);
        placeResults.get(1).accept(ReservePlaceResult.NOT_RESERVED);
        loop.runUntil(2_100);
        assertThat(sentAttempts.get(0).aborted).isFalse();
    }

    private void submitHedgedUnresponsiveRead() {
        submitUnresponsiveRead();
        loop.runUntil(1_890);
        broker.updateEndpoints(new RoutingEvent.EndpointUpdate(
                EndpointUpdateKind.DELTA, 3, List.of(new Endpoint(3, EndpointState.READY, 0, 0, 0, 1, 0))));
        applyActions(new RoutingAction.StartAttempt(1, 3, 0));
        assertThat(sentAttempts).as("the first would not outlast the second").hasSize(2);
        assertThat(sentAttempts.get(0).aborted).isTrue();
        assertThat(releases).containsExactly("1/a");
    }

    /** Releases waited for a read that was written and had not arrived: a writer held its place for two seconds. */
    @ParameterizedTest
    @CsvSource({"NO_READ_IN_FLIGHT, 2120", "UNKNOWN, 2250", ", 0"})
    void aPlaceIsReleasedAtTheLimitAlthoughALaterReadIsInFlight(ReservePlaceResult result, double answeredMs) {
        submitHedgedUnresponsiveRead();
        loop.runUntil(Math.max(loop.now, answeredMs));
        if (result != null) placeResults.get(0).accept(result);
        loop.runUntil(2_320);
        assertThat(sentAttempts.get(1).aborted).as("asked at 1,800").isFalse();
        loop.runUntil(2_335);
        assertThat(sentAttempts.get(1).aborted).isTrue();
        assertThat(releases.subList(1, releases.size())).contains("3/a");
    }

    /** A writer that has reserved no place, or confirms the later read, is no reason to give that read up. */
    @Test
    void aConfirmedLaterReadKeepsItsPlace() {
        submitHedgedUnresponsiveRead();
        placeResults.get(0).accept(ReservePlaceResult.NOT_RESERVED);
        loop.runUntil(2_335);
        assertThat(sentAttempts.get(1).aborted).isFalse();
        assertThat(releases).containsExactly("1/a");
    }

    /** A call that is still on its way may reserve a place after its request has ended. */
    @Test
    void aPlaceIsReleasedAfterItsRequestHasEnded() {
        allowPlaceReservation();
        RequestHandle handle = submit("a", startAttempt(READER));
        nextActions.add(new RoutingAction.ReservePlace(1, WRITER));
        loop.runUntil(1_860);
        handle.onClientDisconnected();
        loop.runUntil(loop.now + 50);
        assertThat(broker.openRequests()).isZero();
        releases.clear();
        placeResults.get(0).accept(ReservePlaceResult.UNKNOWN);
        assertThat(releases).containsExactly("2/a");
        loop.runUntil(loop.now + 1_700);
        assertThat(broker.pendingReleases()).isZero();
    }

    /** A place that was reserved after the write had taken the state stayed reserved when the response began. */
    @ParameterizedTest
    @CsvSource({"true, 0", "false, 1"})
    void onlyAPlaceReservedBeforeTheWriteGoesWithItsStream(boolean before, int released) {
        submitUnresponsiveRead();
        if (before) placeResults.get(0).accept(ReservePlaceResult.RESERVED);
        loop.runUntil(loop.now + 1);
        nextActions.add(startAttempt(WRITER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.PROMPT_READ, 0);
        loop.runUntil(loop.now + 1);
        if (!before) placeResults.get(0).accept(ReservePlaceResult.NO_READ_IN_FLIGHT);
        sentAttempts.get(1).observer.onEvent(new byte[1]);
        assertThat(releases).hasSize(released);
    }

    /** A process that ends must not leave a place that a writer reserves after that. */
    @Test
    void aCallForAPlaceCountsAsAPendingRelease() {
        submitUnresponsiveRead();
        assertThat(broker.pendingReleases()).isEqualTo(1);
        placeResults.get(0).accept(ReservePlaceResult.NOT_SENT);
        assertThat(broker.pendingReleases()).isZero();
    }

    /** A read that was sent past an unanswered release at the limit kept the release from being repeated. */
    @Test
    void aReadWaitsForARetriedReleaseOnceTheLimitIsReached() {
        enginesAnswerReleases = false;
        submit("a", startAttempt(READER));
        loop.runUntil(1_945);
        nextActions.add(startAttempt(READER));
        loop.runUntil(2_600);
        assertThat(sentAttempts.get(0).aborted).isTrue();
        assertThat(sentAttempts).as("a state may be held since 1,500").hasSize(1);
        assertThat(releaseControls.get(0).maySend()).isTrue();
        releaseControls.get(0).onReleased();
        assertThat(sentAttempts).hasSize(2);
    }

    /** A read must not be aborted while its response is arriving. */
    @Test
    void aReadResponseRightAfterANegativeProbeIsAccepted() {
        submitUnresponsiveRead();
        placeResults.get(0).accept(ReservePlaceResult.NO_READ_IN_FLIGHT);
        nextActions.add(startAttempt(WRITER));
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.PROMPT_READ, 0);
        loop.runUntil(loop.now + 100);
        assertThat(outcomes()).containsExactly(AttemptOutcome.PROMPT_READ);
        assertThat(releases).isEmpty();
    }

    /** A place that is reserved after the release of its read would stay reserved. */
    @Test
    void aPlaceReservedAfterItsReadFailedIsReleased() {
        submitUnresponsiveRead();
        sentAttempts.get(0).observer.onEnded(AttemptOutcome.OVERLOADED, 0);
        assertThat(releases).as("a place may be reserved").containsExactly("1/a");
        placeResults.get(0).accept(ReservePlaceResult.RESERVED);
        assertThat(releases).containsExactly("1/a", "2/a");
    }

    /** A hung reader completes its reads when it recovers, however long after the end of the request. */
    @Test
    void theStateOfAHungReaderIsReleasedUntilTheReaderItselfResponds() {
        enginesAnswerReleases = false;
        RequestHandle handle = submit("a", startAttempt(READER));
        handle.onClientDisconnected();
        releaseControls.get(0).onReleased(); // by another engine
        loop.runUntil(loop.now + 10_000);
        assertThat(broker.pendingReleases()).isEqualTo(1);
        assertThat(releaseControls.get(0).maySend()).isTrue();
        enginesAnswerReleases = true;
        releaseControls.get(0).onHolderResponded();
        releaseControls.get(0).onEnded(true);
        loop.runUntil(loop.now + 1_599);
        assertThat(releases).as("the read may end after the reader responded").hasSize(5);
        loop.runUntil(loop.now + 2);
        assertThat(releases).hasSize(6);
        assertThat(broker.pendingReleases()).isZero();
    }

    /** A lagging loop started attempts before it processed a received update, which applies from its arrival. */
    @Test
    void receivedEndpointUpdatesAreAppliedBeforeAnAttemptStarts() {
        broker.setEndpointRefresh(() -> publishEndpoints(EndpointState.DRAINING));
        submit("a", startAttempt(WRITER));
        assertThat(sentAttempts).isEmpty();
        assertThat(outcomes()).containsExactly(AttemptOutcome.NOT_SENT);
    }

    @Test
    void unsentAttemptsAreWithdrawnFromADrainingEngine() {
        submit("a", startAttempt(WRITER));
        attemptsUnsent = true;
        publishEndpoints(EndpointState.DRAINING);
        assertThat(sentAttempts.get(0).aborted).isTrue();
        assertThat(outcomes()).containsExactly(AttemptOutcome.UNREACHABLE);
        applyActions(startAttempt(WRITER));
        assertThat(sentAttempts).hasSize(1);
        assertThat(outcomes()).containsExactly(AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT);
    }

    /** The list of attempts grows during its iteration if the policy replaces a withdrawn attempt immediately. */
    @Test
    void aWithdrawnAttemptMayBeReplacedImmediately() {
        submit("a", startAttempt(WRITER));
        attemptsUnsent = true;
        actionsOnAttemptEnd.add(new RoutingAction.StartAttempt(1, READER, 0));
        publishEndpoints(EndpointState.DRAINING);
        assertThat(outcomes()).containsExactly(AttemptOutcome.UNREACHABLE);
        assertThat(sentAttempts).hasSize(2);
    }

    @Test
    void theWinningStreamIsNotCancelledAndASecondStreamIs() {
        submit("a", startAttempt(WRITER), startAttempt(WRITER));
        sentAttempts.get(1).observer.onEvent(new byte[1]);
        applyActions(new CancelAttempt(1, 1));
        assertThat(sentAttempts.get(1).aborted).isFalse();
        sentAttempts.get(0).observer.onEvent(new byte[1]);
        assertThat(sentAttempts.get(0).aborted).isTrue();
        sentAttempts.get(1).observer.onEnded(AttemptOutcome.COMPLETED, 0);
        assertThat(clientCalls).containsExactly("event", "end");
    }

    @Test
    void openRequestsAreLimitedAndDuplicateIdsAreRejected() {
        for (String id : List.of("a", "a", "b", "c", "d")) submit(id);
        assertThat(clientCalls).first().isEqualTo("fail DUPLICATE");
        assertThat(clientCalls).hasSize(2).last().asString().matches("refuse OVERLOAD ([5-9].|1[0-4].|150)");
        applyActions(new RejectRequest(1, 250));
        submit("a");
        assertThat(clientCalls).endsWith("refuse OVERLOAD 250");
        assertThat(broker.unfinishedRequests()).isEqualTo(3);
    }

    @Test
    void aTeamsBudgetRefillsOverTime() {
        AdmissionStage admission = new AdmissionStage(
                new AdmissionLimits(9, List.of(), List.of(new AdmissionLimits.Budget(2, 9))),
                MemoryBudget.unlimited(),
                loop,
                new SplittableRandom(1),
                new Metrics());
        RequestRecord request = recordOf(0);
        assertThat(admission.admit(request)).isEmpty();
        assertThat(admission.admit(request)).isEmpty();
        assertThat(admission.admit(request))
                .contains(new AdmissionStage.Rejection(ResponseObserver.Reason.BUDGET, 500));
        loop.runUntil(1_500);
        assertThat(admission.admit(request)).isEmpty();
    }

    private static RequestRecord recordOf(int payloadBytes) {
        return new RequestRecord(
                1,
                new InferenceRequest("a", 0, 0, 0, 0, 0, 0, 1, 0, 0, false, payloadBytes, new RequestPayload() {}),
                null,
                0,
                null);
    }

    /** Guards against open requests that fill the heap: each holds its payload until no attempt can need it. */
    @Test
    void payloadsHoldMemoryUntilNoAttemptNeedsThem() {
        submit("streams", new RoutingAction.StartAttempt(1, WRITER, 0));
        submit("fails", new RoutingAction.StartAttempt(2, WRITER, 0));
        assertThat(memoryUsed()).isEqualTo(2 * PAYLOAD_BYTES);
        sentAttempts.get(0).observer.onEvent(new byte[1]);
        assertThat(memoryUsed()).as("no further attempt of a stream").isEqualTo(PAYLOAD_BYTES);
        applyActions(new RoutingAction.StartAttempt(1, WRITER, 0));
        assertThat(sentAttempts).as("not even if the policy starts one").hasSize(2);
        applyActions(new RoutingAction.FailRequest(2));
        assertThat(memoryUsed()).as("an attempt is in flight").isEqualTo(PAYLOAD_BYTES);
        sentAttempts.get(1).observer.onEnded(AttemptOutcome.RESET, 0);
        assertThat(memoryUsed()).isZero();
    }

    @Test
    void aRequestWithoutMemoryForItsPayloadIsRejectedAndCounted() {
        Metrics counts = new Metrics();
        AdmissionStage admission = new AdmissionStage(
                AdmissionLimits.ofOpenRequests(9),
                new MemoryBudget(8_000, counts.memory("platform")),
                loop,
                new SplittableRandom(1),
                counts);
        assertThat(admission.admit(recordOf(1_001)).orElseThrow().reason()).isEqualTo(ResponseObserver.Reason.OVERLOAD);
        assertThat(admission.admit(recordOf(1_000))).isEmpty();
        assertThat(counts.countOf(EventCount.REQUESTS_REFUSED_MEMORY)).isEqualTo(1);
    }

    private long memoryUsed() {
        return metricValues().get("memory_used_bytes.platform");
    }

    /** With identical advice, clients that are rejected at the same time would retry at the same time. */
    @Test
    void retryAdviceIsRandomized() {
        AdmissionStage admission = new AdmissionStage(
                AdmissionLimits.ofOpenRequests(1),
                MemoryBudget.unlimited(),
                loop,
                new SplittableRandom(1),
                new Metrics());
        RequestRecord request = recordOf(0);
        assertThat(admission.admit(request)).isEmpty();
        double[] advice = java.util.stream.IntStream.range(0, 100)
                .mapToDouble(i -> admission.admit(request).orElseThrow().retryAfterMs())
                .sorted()
                .toArray();
        assertThat(advice[90] - advice[10]).isGreaterThan(60);
    }
}
