package maplerail.routing.d2lpm;

import static maplerail.routing.d2lpm.PolicyHarness.endpoint;
import static maplerail.routing.d2lpm.PolicyHarness.reader;
import static maplerail.routing.d2lpm.PolicyHarness.writer;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.Idempotency;
import maplerail.routing.IdempotencyScope;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingAction.CancelAttempt;
import maplerail.routing.RoutingAction.FailRequest;
import maplerail.routing.RoutingAction.RejectRequest;
import maplerail.routing.RoutingAction.ReleaseState;
import maplerail.routing.RoutingAction.StartAttempt;
import maplerail.routing.RoutingAction.SubscribeEndpoints;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingEvent.RequestArrived;
import maplerail.routing.RoutingSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class D2lpmPolicyTest {

    private static PolicyHarness smallDeployment() {
        return new PolicyHarness().start(reader(1), reader(2), reader(3), writer(11), writer(12));
    }

    // ---- Cached prefixes of the previous policy ----

    /** Without them, a resumed stream is sent to the reader its hash selects, which has to read all of its prompt. */
    @Test
    void cachedPrefixesOfThePreviousPolicyAreUsed() {
        for (long session = 1; session <= 20; session++) {
            PolicyHarness previous = smallDeployment();
            previous.arrive(1, session, 0, 4_000, 5_000);
            long reader = previous.startedAttempt().engine();
            previous.endAttempt(1, 0, AttemptOutcome.PROMPT_READ);
            PolicyHarness next = new PolicyHarness();
            next.seed = session + 100;
            next.start(reader(1), reader(2), reader(3), writer(11), writer(12));
            previous.policy().cachedPrefixes().forEach(next::report);
            next.arrive(7, session, 0, 4_200, 5_000);
            assertEquals(reader, next.startedAttempt().engine());
            assertEquals(
                    previous.policy().cachedPrefixes(),
                    previous.policy().cachedPrefixes().stream()
                            .filter(h -> h.engine() == reader)
                            .toList());
        }
    }

    @Test
    void cachedPrefixesOfUnlistedEnginesAndExpiredOnesAreIgnored() {
        PolicyHarness gateway = smallDeployment();
        gateway.report(new RoutingEvent.PrefixCached(true, 5, 99, 4_000, gateway.nowMs));
        gateway.report(new RoutingEvent.PrefixCached(true, 5, 2, 4_000, gateway.nowMs - 60_000));
        assertTrue(gateway.policy().cachedPrefixes().stream().noneMatch(h -> h.engine() == 99));
        gateway.arrive(1, 5, 0, 4_000, 5_000);
        assertTrue(gateway.startedAttempt().engine() < 10);
    }

    // ---- Regular path ----

    /** Where many gateways share readers, the paces observed by the others affect this gateway's selection too. */
    @Test
    void readersThatPeersReportAsSlowAreAvoided() {
        PolicyHarness gateway = smallDeployment();
        gateway.gatewayCount = 100;
        for (int i = 0; i < 5; i++) {
            gateway.report(new RoutingEvent.PeerRead(1, 3_000, 1_000));
            gateway.report(new RoutingEvent.PeerRead(2, 3_000, 1_000));
            gateway.report(new RoutingEvent.PeerRead(3, 60, 1_000));
            gateway.report(new RoutingEvent.PeerRead(11, 1, 1_000)); // reads at a writer are ignored
        }
        for (long id = 1; id <= 12; id++) {
            gateway.arrive(id, 1_000 + id, 0, 1_000, 5_000);
            assertEquals(3, gateway.startedAttempt().engine(), "request " + id);
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ);
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
        }
    }

    @Test
    void promptIsSentToAReaderAndThenToAWriter() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1);
        assertTrue(gateway.startedAttempt().engine() < 10);
        assertEquals(6_000, gateway.startedAttempt().deadlineMs());
        gateway.endAttempt(1, 0, AttemptOutcome.PROMPT_READ);
        assertTrue(gateway.startedAttempt().engine() > 10);
        gateway.reportFirstToken(1, 1);
        assertTrue(gateway.endAttempt(1, 1, AttemptOutcome.COMPLETED).isEmpty());
        assertEquals(0, gateway.finalAnswers(1));
    }

    @Test
    void sessionReturnsToItsReader() {
        PolicyHarness gateway = smallDeployment();
        for (int session = 1; session <= 6; session++) {
            gateway.arrive(session, session, 0, 1_000, 5_000);
            long reader = gateway.startedAttempt().engine();
            gateway.serve(session);
            gateway.arrive(100 + session, session, 0, 1_500, 5_000);
            assertEquals(reader, gateway.startedAttempt().engine());
            gateway.serve(100 + session);
        }
    }

    @Test
    void gatewaysAssignAPrefixToTheSameReaderAndSpreadPrefixes() {
        Set<Long> readers = java.util.stream.LongStream.rangeClosed(1, 20)
                .mapToObj(prefix -> {
                    PolicyHarness one = smallDeployment();
                    PolicyHarness two = smallDeployment();
                    one.arrive(1, 5, prefix, 1_000, 5_000);
                    two.arrive(9, 6, prefix, 1_200, 5_000);
                    assertEquals(
                            one.startedAttempt().engine(), two.startedAttempt().engine());
                    return one.startedAttempt().engine();
                })
                .collect(Collectors.toSet());
        assertEquals(Set.of(1L, 2L, 3L), readers);
    }

    @Test
    void clientWithoutCreditIsSentToAnotherReader() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1, 7, 0, 30_000, 60_000);
        long reader = gateway.startedAttempt().engine();
        gateway.serve(1);
        gateway.arrive(2, 7, 0, 30_000, 60_000);
        assertEquals(reader, gateway.startedAttempt().engine(), "credit is left");
        gateway.serve(2);
        gateway.arrive(3, 7, 0, 30_000, 60_000);
        assertNotEquals(reader, gateway.startedAttempt().engine(), "60,000 tokens and the outputs exceed the quantum");
    }

    private static Endpoint endpointInZone(int zone, long engine, int kind) {
        return new Endpoint(engine, EndpointState.READY, 0, zone, zone, 1, kind);
    }

    /** A reader and a writer in each of three zones; the gateway is in zone 0. */
    private static PolicyHarness threeZones() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.gatewayCount = 3;
        return gateway.start(
                endpointInZone(0, 1, 0),
                endpointInZone(1, 2, 0),
                endpointInZone(2, 3, 0),
                endpointInZone(0, 11, 1),
                endpointInZone(1, 12, 1),
                endpointInZone(2, 13, 1));
    }

    @Test
    void requestsStayInTheGatewaysZoneWhileItHasCapacity() {
        PolicyHarness gateway = threeZones();
        for (int id = 1; id <= 20; id++) {
            gateway.arrive(id, id, 100 + id, 1_000, 5_000);
            assertEquals(1, gateway.startedAttempt().engine());
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ);
            assertEquals(11, gateway.startedAttempt().engine());
            gateway.reportFirstToken(id, 1);
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
        }
    }

    @Test
    void promptsAreReadInZonesWhoseWritersHaveMoreCapacity() {
        PolicyHarness gateway = threeZones();
        Set<Long> readers = new java.util.TreeSet<>();
        for (int id = 1; id <= 40; id++) {
            gateway.arrive(id, id, 100 + id, 2_000, 5_000);
            long reader = gateway.startedAttempt().engine();
            readers.add(reader);
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ);
            assertEquals(reader + 10, gateway.startedAttempt().engine(), "the writer is in the reader's zone");
            gateway.reportFirstToken(id, 1);
        }
        assertEquals(Set.of(1L, 2L, 3L), readers);
    }

    @Test
    void slowReaderIsReplacedByOneInAnotherZone() {
        PolicyHarness gateway = threeZones();
        for (int id = 1; id <= 12; id++) {
            gateway.arrive(id, id, 100 + id, 1_000, 5_000);
            long reader = gateway.startedAttempt().engine();
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ, reader == 1 ? 300 : 40, 0, false);
            gateway.reportFirstToken(id, 1);
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
            // The other readers have samples from the time when the zone's own reader was draining.
            if (id == 1)
                gateway.updateEndpoints(
                        EndpointUpdateKind.DELTA, new Endpoint(1, EndpointState.DRAINING, 0, 0, 0, 1, 0));
            if (id == 6) gateway.updateEndpoints(EndpointUpdateKind.DELTA, endpointInZone(0, 1, 0));
        }
        assertNotEquals(
                1,
                gateway.startedAttempts()
                        .get(gateway.startedAttempts().size() - 2)
                        .engine());
    }

    @Test
    void retriesUseUntriedEnginesFirst() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1);
        Set<Long> tried =
                new java.util.TreeSet<>(Set.of(gateway.startedAttempt().engine()));
        for (int attempt = 0; attempt < 2; attempt++) {
            gateway.endAttempt(1, attempt, AttemptOutcome.RESET);
            tried.add(gateway.startedAttempt().engine());
        }
        assertEquals(Set.of(1L, 2L, 3L), tried);
    }

    @Test
    void cachedPrefixExpires() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1, 7, 0, 1_000, 60_000);
        long assigned = gateway.startedAttempt().engine();
        gateway.endAttempt(1, 0, AttemptOutcome.ERROR);
        long other = gateway.startedAttempt().engine();
        gateway.endAttempt(1, 1, AttemptOutcome.PROMPT_READ);
        gateway.reportFirstToken(1, 2);
        gateway.endAttempt(1, 2, AttemptOutcome.COMPLETED);
        gateway.nowMs += 10_000;
        gateway.arrive(2, 7, 0, 1_000, 60_000);
        assertEquals(other, gateway.startedAttempt().engine(), "the entry has not expired");
        gateway.serve(2);
        gateway.nowMs += 25_000;
        gateway.arrive(3, 7, 0, 1_000, 60_000);
        assertEquals(assigned, gateway.startedAttempt().engine(), "the entry has expired");
    }

    @Test
    void writerWithLowestProjectedMemoryIsSelected() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1);
        gateway.endAttempt(1, 0, AttemptOutcome.PROMPT_READ);
        long first = gateway.startedAttempt().engine();
        gateway.arrive(2);
        gateway.endAttempt(2, 0, AttemptOutcome.PROMPT_READ);
        assertNotEquals(first, gateway.startedAttempt().engine());
    }

    @Test
    void writerInTheReadersCellIsPreferred() {
        PolicyHarness gateway = new PolicyHarness()
                .start(
                        new Endpoint(1, EndpointState.READY, 0, 0, 4, 1, 0),
                        new Endpoint(2, EndpointState.DRAINING, 0, 0, 3, 1, 0),
                        new Endpoint(3, EndpointState.READY, 0, 0, 3, 1, 0),
                        new Endpoint(11, EndpointState.READY, 0, 0, 3, 1, 1),
                        new Endpoint(12, EndpointState.READY, 0, 0, 4, 1, 1));
        for (int id = 1; id <= 20; id++) {
            gateway.arrive(id);
            long reader = gateway.startedAttempt().engine();
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ);
            assertEquals(reader == 1 ? 12 : 11, gateway.startedAttempt().engine());
            gateway.reportFirstToken(id, 1);
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
        }
    }

    /** With 150 gateways that had one stream each, all selected the writer with the lowest ID in the reader's cell. */
    @Test
    void manyGatewaysSpreadReadsAndWritesOverAllEngines() {
        java.util.Map<Long, Integer> attemptsByEngine = new java.util.TreeMap<>();
        for (int seed = 1; seed <= 300; seed++) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.seed = seed;
            gateway.gatewayCount = 300;
            gateway.start(
                    reader(1),
                    reader(2),
                    reader(3),
                    new Endpoint(4, EndpointState.READY, 0, 0, 1, 1, 0),
                    writer(11),
                    new Endpoint(12, EndpointState.READY, 0, 0, 1, 1, 1),
                    new Endpoint(13, EndpointState.READY, 0, 0, 1, 1, 1),
                    new Endpoint(14, EndpointState.READY, 0, 0, 1, 1, 1));
            gateway.arrive(seed, 1_000 + seed, 0, 1_000, 5_000);
            gateway.serve(seed);
            gateway.startedAttempts().forEach(s -> attemptsByEngine.merge(s.engine(), 1, Integer::sum));
        }
        assertEquals(8, attemptsByEngine.size());
        assertTrue(attemptsByEngine.values().stream().allMatch(n -> n > 45 && n < 105), "75 each: " + attemptsByEngine);
    }

    /** A popular prefix that was assigned to one reader overloaded this reader with the work of hundreds of gateways. */
    @Test
    void popularPrefixGetsMoreReadersAndASessionKeepsItsReader() {
        java.util.Map<Long, Set<Long>> readers = new java.util.TreeMap<>();
        for (int seed = 1; seed <= 50; seed++) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.seed = seed;
            gateway.gatewayCount = 50;
            gateway.start(java.util.stream.LongStream.rangeClosed(1, 10)
                    .mapToObj(i -> i < 10 ? reader(i) : writer(i))
                    .toArray(Endpoint[]::new));
            for (int id = 1; id <= 60; id++, gateway.nowMs += 1_000) {
                gateway.arrive(id, id % 2 == 0 ? 1_000 + id : 0, id % 2 == 0 ? 77 : 1_000L * seed + id, 1_000, 5_000);
                if (id == 58) {
                    readers.computeIfAbsent(58L + seed % 5, k -> new java.util.TreeSet<>())
                            .add(gateway.startedAttempt().engine());
                }
                if (id % 2 == 0)
                    readers.computeIfAbsent(0L, k -> new java.util.TreeSet<>())
                            .add(gateway.startedAttempt().engine());
                gateway.serve(id);
            }
        }
        assertTrue(readers.get(0L).size() >= 5, "readers of half the arrivals: " + readers.get(0L));
        assertTrue(readers.values().stream().skip(1).allMatch(s -> s.size() <= 3), "one session: " + readers);
    }

    @Test
    void newReaderIsUsedWhileOthersHaveCredit() {
        PolicyHarness gateway = smallDeployment();
        for (int id = 1; id <= 10; id++) {
            gateway.arrive(id, id, 0, 1_000, 5_000);
            gateway.serve(id);
        }
        gateway.updateEndpoints(EndpointUpdateKind.DELTA, reader(4));
        for (int id = 11; id <= 60; id++) {
            gateway.arrive(id, id, 0, 1_000, 5_000);
            gateway.serve(id);
        }
        assertTrue(
                gateway.startedAttempts().stream().filter(s -> s.engine() == 4).count() >= 5);
    }

    // ---- Every request ends ----

    @Test
    void requestWithoutTimeBudgetIsRejectedAtOnce() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1, 0, 0, 1_000, 0);
        assertEquals(1, gateway.finalAnswers(1));
        gateway.arrive(2, 0, 0, 1_000, Double.NaN);
        assertEquals(1, gateway.finalAnswers(2));
        assertTrue(gateway.startedAttempts().isEmpty());
    }

    @Test
    void unansweredRequestEndsOnceBeforeItsDeadline() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1);
        gateway.advanceTo(6_000);
        assertEquals(1, gateway.finalAnswers(1));
        gateway.endAttempt(1, 0, AttemptOutcome.TIMEOUT);
        gateway.report(new RoutingEvent.RequestAbandoned(1));
        assertEquals(1, gateway.finalAnswers(1));
    }

    @Test
    void requestWithoutEnginesEndsBeforeItsDeadline() {
        PolicyHarness gateway = new PolicyHarness().start();
        gateway.arrive(1);
        gateway.advanceTo(6_000);
        assertEquals(1, gateway.finalAnswers(1));
    }

    @Test
    void requestEndsAndReleasesItsStateWhenAllWritersAreRemoved() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1);
        gateway.updateEndpoints(
                EndpointUpdateKind.DELTA,
                new Endpoint(11, EndpointState.REMOVED, 0, 0, 0, 1, 1),
                new Endpoint(12, EndpointState.REMOVED, 0, 0, 0, 1, 1));
        gateway.endAttempt(1, 0, AttemptOutcome.PROMPT_READ);
        gateway.advanceTo(gateway.nowMs + 300);
        assertEquals(1, gateway.finalAnswers(1));
        assertEquals(1, gateway.actionsOf(ReleaseState.class).size());
        assertEquals(1, gateway.startedAttempts().size());
    }

    @Test
    void failedAttemptsAreRetriedAtTheOnlyReaderAndWriter() {
        PolicyHarness gateway = new PolicyHarness().start(reader(1), writer(11));
        gateway.arrive(1);
        gateway.endAttempt(1, 0, AttemptOutcome.ERROR);
        assertEquals(1, gateway.startedAttempt().engine());
        gateway.endAttempt(1, 1, AttemptOutcome.PROMPT_READ);
        gateway.endAttempt(1, 2, AttemptOutcome.OVERLOADED);
        assertEquals(11, gateway.startedAttempt().engine());
        gateway.reportFirstToken(1, 3);
        gateway.endAttempt(1, 3, AttemptOutcome.COMPLETED);
        assertEquals(0, gateway.finalAnswers(1));
    }

    @Test
    void requestEndsAtItsAttemptLimit() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1);
        for (int i = 0; i < 5; i++) {
            gateway.endAttempt(1, i, AttemptOutcome.UNREACHABLE);
        }
        assertEquals(5, gateway.startedAttempts().size());
        assertEquals(1, gateway.finalAnswers(1));
    }

    @Test
    void lateDuplicateAndUnknownEventsAreIgnored() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1);
        gateway.endAttempt(1, 0, AttemptOutcome.PROMPT_READ);
        assertTrue(gateway.endAttempt(1, 0, AttemptOutcome.PROMPT_READ).isEmpty());
        assertTrue(gateway.endAttempt(1, 4, AttemptOutcome.PROMPT_READ).isEmpty());
        assertTrue(gateway.endAttempt(8, 0, AttemptOutcome.PROMPT_READ).isEmpty());
        assertTrue(gateway.reportFirstToken(8, 0).isEmpty());
        assertTrue(gateway.report(new RoutingEvent.RequestAbandoned(8)).isEmpty());
        assertTrue(gateway.report(new RoutingEvent.TimerFired(8 << 12)).isEmpty());
        gateway.reportFirstToken(1, 1);
        gateway.reportFirstToken(1, 1);
        gateway.endAttempt(1, 1, AttemptOutcome.COMPLETED);
        assertTrue(gateway.endAttempt(1, 1, AttemptOutcome.COMPLETED).isEmpty());
        assertEquals(2, gateway.startedAttempts().size());
    }

    @Test
    void implausibleValuesDoNotAffectLaterRequests() {
        PolicyHarness gateway = smallDeployment();
        double[] implausible = {Double.NaN, -5, 0, Double.POSITIVE_INFINITY, 1e30};
        long id = 1;
        for (double value : implausible) {
            gateway.report(new RequestArrived(id, 0, 0, 3, value, 4, value, 5_000, value, value, false));
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ, value, value, false);
            gateway.report(new RoutingEvent.FirstToken(id, 1, 0, value));
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
            id++;
        }
        for (int i = 0; i < 20; i++) {
            gateway.arrive(id);
            assertNotNull(gateway.startedAttempt(), "request " + id);
            gateway.serve(id++);
        }
    }

    /** While engines answered with 500, each trial of an ejected writer could fail a non-idempotent request. */
    @Test
    void nonIdempotentWorkIsNotUsedForTrialsOfEjectedWriters() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.idempotency = Idempotency.NON_IDEMPOTENT;
        gateway.start(reader(1), writer(11), writer(12), writer(13));
        long failing = 0;
        for (int id = 1; id <= 60; id++) {
            gateway.nowMs += 100;
            gateway.arrive(id);
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ);
            long writer = gateway.startedAttempts()
                    .get(gateway.startedAttempts().size() - 1)
                    .engine();
            if (failing == 0) failing = writer;
            if (writer == failing) {
                gateway.endAttempt(id, 1, AttemptOutcome.ERROR);
            } else {
                gateway.reportFirstToken(id, 1);
                gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
            }
        }
        assertEquals(
                2,
                gateway.actionsOf(FailRequest.class).size(),
                "several trials fit in 6 s; the first failure has no peers yet");
        gateway.nowMs += 13_000;
        for (int id = 61; id <= 80; id++) {
            gateway.arrive(id);
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ);
            gateway.reportFirstToken(id, 1);
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
        }
        long ejected = failing;
        assertTrue(
                gateway.startedAttempts().stream().skip(120).anyMatch(s -> s.engine() == ejected),
                "there is no other work for trials");
    }

    /** Over a long time all sessions are new ones. */
    @Test
    void expiredTableEntriesAreEvicted() {
        PolicyHarness gateway = new PolicyHarness().start(reader(1), reader(2), writer(11));
        for (int id = 1; id <= 3_000; id++) {
            gateway.nowMs += 200;
            gateway.arrive(id, id, 100_000 + id, 500, 1_000);
            gateway.serve(id);
        }
        assertTrue(gateway.tableEntries() < 700, "entries: " + gateway.tableEntries());
    }

    // ---- No repeated effects ----

    @Test
    void nonIdempotentRequestThatMayHaveRunFailsWithoutARetry() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.idempotency = Idempotency.NON_IDEMPOTENT;
        gateway.start(reader(1), writer(11), writer(12));
        gateway.arrive(1);
        gateway.endAttempt(1, 0, AttemptOutcome.PROMPT_READ);
        gateway.endAttempt(1, 1, AttemptOutcome.OVERLOADED);
        assertNotNull(gateway.startedAttempt(), "a rejection at capacity proves that it was not executed");
        gateway.endAttempt(1, 2, AttemptOutcome.RESET);
        assertEquals(1, gateway.actionsOf(FailRequest.class).size(), "at once, as it may not be sent to any engine");
        assertEquals(1, gateway.actionsOf(ReleaseState.class).size(), "the state is not needed any more");
        gateway.advanceTo(7_000);
        assertEquals(3, gateway.startedAttempts().size());
        assertTrue(gateway.actionsOf(RejectRequest.class).isEmpty());
    }

    /** When some writers had failed, requests were cancelled after 0.8 s that others would have answered in time. */
    @Test
    void nonIdempotentWriteIsNotCancelledBeforeItsObjective() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.idempotency = Idempotency.NON_IDEMPOTENT;
        gateway.start(reader(1), writer(11), writer(12));
        gateway.arrive(1);
        gateway.endAttempt(1, 0, AttemptOutcome.PROMPT_READ);
        gateway.advanceTo(2_039);
        assertTrue(gateway.actionsOf(CancelAttempt.class).isEmpty());
        gateway.arrive(2);
        assertNotNull(gateway.startedAttempt(), "its age does not count as queueing");
        gateway.advanceTo(2_100);
        assertEquals(List.of(new CancelAttempt(1, 1)), gateway.actionsOf(CancelAttempt.class));
    }

    /** A second read of a non-idempotent request was sent before the first had ended. */
    @Test
    void nonIdempotentReadIsNotHedged() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.idempotency = Idempotency.NON_IDEMPOTENT;
        gateway.start(reader(1), reader(2), writer(11));
        gateway.arrive(1);
        gateway.advanceTo(4_000);
        assertEquals(1, gateway.startedAttempts().size(), "the first may still be executed");
        assertEquals(List.of(new CancelAttempt(1, 0)), gateway.actionsOf(CancelAttempt.class));
        gateway.endAttempt(1, 0, AttemptOutcome.CANCELLED);
        gateway.advanceTo(4_030);
        assertEquals(2, gateway.startedAttempts().size(), "a read that has ended had no effect");
        gateway.advanceTo(7_000);
        assertEquals(
                1, gateway.actionsOf(FailRequest.class).size(), "the second is in flight, so a retry may not be safe");
        assertTrue(gateway.actionsOf(RejectRequest.class).isEmpty());
    }

    @Test
    void keyedRequestIsRetriedOnlyInItsKeyScopeAndTtl() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.idempotency = Idempotency.IDEMPOTENCY_KEY;
        gateway.keyScope = IdempotencyScope.CELL;
        gateway.start(
                new Endpoint(1, EndpointState.READY, 0, 0, 1, 1, 0),
                new Endpoint(11, EndpointState.READY, 0, 0, 1, 1, 1),
                new Endpoint(12, EndpointState.READY, 0, 0, 1, 1, 1),
                new Endpoint(13, EndpointState.READY, 0, 0, 2, 1, 1));
        gateway.arrive(1);
        gateway.endAttempt(1, 0, AttemptOutcome.PROMPT_READ);
        gateway.endAttempt(1, 1, AttemptOutcome.RESET);
        gateway.endAttempt(1, 2, AttemptOutcome.RESET);
        assertFalse(gateway.startedAttempts().stream().anyMatch(s -> s.engine() == 13));
        gateway.nowMs += 2_500;
        gateway.endAttempt(1, 3, AttemptOutcome.RESET);
        assertNull(gateway.startedAttempt(), "the key's TTL has passed");
        gateway.advanceTo(7_000);
        assertEquals(1, gateway.actionsOf(FailRequest.class).size());
    }

    /** A read in flight may be executed: after its key's TTL nothing is sent until all attempts have been cancelled. */
    @ParameterizedTest
    @CsvSource({"300, 1, 1", "600, 2, 2", "9000, 3, 0"})
    void keyedReadIsHedgedOnlyWithinItsKeyTtl(double ttlMs, int attempts, int cancellations) {
        PolicyHarness gateway = new PolicyHarness();
        gateway.idempotency = Idempotency.IDEMPOTENCY_KEY;
        gateway.keyTtlMs = ttlMs;
        gateway.start(reader(1), reader(2), reader(3), writer(11));
        gateway.arrive(1);
        gateway.advanceTo(1_990);
        assertEquals(attempts, gateway.startedAttempts().size());
        assertEquals(cancellations, gateway.actionsOf(CancelAttempt.class).size());
        if (cancellations == 0) return;
        for (int i = 0; i < attempts; i++) gateway.endAttempt(1, i, AttemptOutcome.CANCELLED);
        assertEquals(
                attempts,
                gateway.startedAttempts().size(),
                "the first read's engine may not have received the cancellation");
        gateway.advanceTo(2_030);
        assertEquals(attempts + 1, gateway.startedAttempts().size(), "a read that has ended at a reader had no effect");
    }

    @Test
    void keyedReadIsHedgedOnlyInItsKeyScope() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.idempotency = Idempotency.IDEMPOTENCY_KEY;
        gateway.keyScope = IdempotencyScope.CELL;
        gateway.keyTtlMs = 9_000;
        gateway.start(
                new Endpoint(1, EndpointState.READY, 0, 0, 1, 1, 0),
                new Endpoint(2, EndpointState.READY, 0, 0, 2, 1, 0),
                writer(11));
        gateway.arrive(1);
        long first = gateway.startedAttempt().engine();
        gateway.advanceTo(4_000);
        assertTrue(gateway.startedAttempts().size() > 1);
        assertTrue(gateway.startedAttempts().stream().allMatch(s -> s.engine() == first));
    }

    /** A client's retry is safe only if all engines deduplicate it or no attempt is in flight. */
    @Test
    void keyedRequestInFlightWithLimitedKeyScopeFails() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.idempotency = Idempotency.IDEMPOTENCY_KEY;
        gateway.keyScope = IdempotencyScope.ZONE;
        gateway.cancel = false;
        gateway.start(reader(1), writer(11));
        gateway.arrive(1);
        gateway.advanceTo(7_000);
        assertEquals(1, gateway.actionsOf(FailRequest.class).size());
        assertTrue(gateway.actionsOf(RejectRequest.class).isEmpty());
    }

    /** Guards against a repeat in a second cell: the attempt that ran is forgotten when an earlier one is turned away. */
    @Test
    void keyedRequestStaysInTheCellOfWhatMayHaveRunAfterAnEarlierAttemptIsDeclined() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.idempotency = Idempotency.IDEMPOTENCY_KEY;
        gateway.keyScope = IdempotencyScope.CELL;
        gateway.keyTtlMs = 5_000;
        gateway.start(mixed(21, 1), mixed(22, 1), mixed(23, 1), mixed(31, 2), mixed(32, 2), mixed(33, 2));
        gateway.arrive(1);
        boolean firstCell = gateway.startedAttempt().engine() < 30;
        gateway.advanceTo(1_990);
        assertTrue(gateway.startedAttempts().size() > 1, "hedged");
        for (int i = 1; i < gateway.startedAttempts().size(); i++) gateway.endAttempt(1, i, AttemptOutcome.RESET);
        gateway.endAttempt(1, 0, AttemptOutcome.OVERLOADED);
        gateway.advanceTo(7_000);
        assertTrue(gateway.startedAttempts().stream().allMatch(s -> s.engine() < 30 == firstCell));
        assertTrue(gateway.actionsOf(RejectRequest.class).isEmpty(), "no refusal of what may have run");
    }

    private static Endpoint mixed(long engine, int cell) {
        return new Endpoint(engine, EndpointState.READY, 0, 0, cell, 1, 2);
    }

    /** Guards against a refusal of what may have run, once a client's repeat would no longer be dropped. */
    @ParameterizedTest
    @CsvSource({"9000, 1, 0", "500, 0, 1"})
    void keyedRequestIsRefusedAfterARunOnlyWithinItsKeyTtl(double ttlMs, int rejections, int failures) {
        PolicyHarness gateway = new PolicyHarness();
        gateway.idempotency = Idempotency.IDEMPOTENCY_KEY;
        gateway.keyTtlMs = ttlMs;
        gateway.cancel = false;
        gateway.hedging = false;
        gateway.start(mixed(21, 1));
        gateway.arrive(1);
        gateway.advanceTo(7_000);
        assertEquals(rejections, gateway.actionsOf(RejectRequest.class).size());
        assertEquals(failures, gateway.actionsOf(FailRequest.class).size());
    }

    @Test
    void concurrentAttemptsRequireHedging() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.hedging = false;
        gateway.cancel = false;
        gateway.start(reader(1), reader(2), writer(11));
        gateway.arrive(1);
        gateway.advanceTo(5_900);
        assertEquals(1, gateway.startedAttempts().size());
        assertTrue(gateway.actionsOf(CancelAttempt.class).isEmpty());
    }

    @Test
    void engineOfBothRolesReadsAndAnswersInOneAttempt() {
        PolicyHarness gateway = new PolicyHarness().start(endpoint(21, 2), endpoint(22, 2));
        gateway.arrive(1);
        assertTrue(gateway.startedAttempt().engine() > 20);
        gateway.reportFirstToken(1, 0);
        gateway.endAttempt(1, 0, AttemptOutcome.COMPLETED);
        assertEquals(1, gateway.startedAttempts().size());
    }

    @Test
    void nonIdempotentRequestIsNotRetriedAtEnginesOfBothRoles() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.idempotency = Idempotency.NON_IDEMPOTENT;
        gateway.start(endpoint(21, 2), endpoint(22, 2));
        gateway.arrive(1);
        gateway.endAttempt(1, 0, AttemptOutcome.ERROR);
        gateway.advanceTo(7_000);
        assertEquals(1, gateway.startedAttempts().size());
        assertEquals(1, gateway.actionsOf(FailRequest.class).size());
    }

    /** A long tool call was cancelled, and one whose connection was reset ended only at its deadline. */
    @Test
    void nonIdempotentWorkAtAnEngineOfBothRolesIsNotCancelledAndFailsOnReset() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.idempotency = Idempotency.NON_IDEMPOTENT;
        gateway.start(endpoint(21, 2), endpoint(22, 2));
        gateway.arrive(1);
        gateway.advanceTo(4_000);
        assertTrue(gateway.actionsOf(CancelAttempt.class).isEmpty());
        gateway.endAttempt(1, 0, AttemptOutcome.RESET);
        assertEquals(1, gateway.actionsOf(FailRequest.class).size());
        assertEquals(1, gateway.startedAttempts().size());
    }

    @Test
    void writersReadPromptsIfThereIsNoReader() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.writersCanRead = true;
        gateway.start(writer(11), writer(12));
        gateway.arrive(1);
        assertEquals(1, gateway.startedAttempts().size());
    }

    /** Sent at once, the next attempt may reach its engine before the cancellation reaches the previous one. */
    @Test
    void cancelledNonIdempotentReadIsRetriedAfterADelay() {
        for (Idempotency idempotency : List.of(Idempotency.NON_IDEMPOTENT, Idempotency.IDEMPOTENT)) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.idempotency = idempotency;
            gateway.start(reader(1), reader(2), writer(11));
            gateway.arrive(1);
            long first = gateway.startedAttempt().engine();
            double cancelledAtMs = gateway.nowMs;
            gateway.endAttempt(1, 0, AttemptOutcome.CANCELLED);
            assertEquals(idempotency == Idempotency.IDEMPOTENT, gateway.startedAttempt() != null);
            gateway.advanceTo(cancelledAtMs + 40);
            assertEquals(2, gateway.startedAttempts().size());
            assertNotEquals(first, gateway.startedAttempts().get(1).engine());
            assertEquals(0, gateway.finalAnswers(1));
        }
    }

    /** Many gateways with few requests each must not all spend a full retry budget at the same time. */
    @Test
    void hedgedReadsOfManyGatewaysStayWithinTheRetryBudget() {
        int hedgedReads = 0;
        for (int seed = 1; seed <= 100; seed++) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.seed = seed;
            gateway.gatewayCount = 100;
            gateway.start(reader(1), reader(2), reader(3), reader(4), writer(31));
            for (int id = 1; id <= 4; id++) {
                gateway.arrive(id, id, 0, 500, 30_000);
                gateway.advanceTo(gateway.nowMs + 700);
            }
            gateway.advanceTo(gateway.nowMs + 2_000);
            hedgedReads += gateway.startedAttempts().size()
                    - (int) gateway.startedAttempts().stream()
                            .map(StartAttempt::requestId)
                            .distinct()
                            .count();
        }
        assertTrue(
                hedgedReads > 0 && hedgedReads <= 100 + 0.2 * 400,
                "hedged reads for 400 requests of 100 gateways: " + hedgedReads);
    }

    // ---- Draining, slow start, releases of states ----

    @Test
    void drainingEngineGetsNoNewWork() {
        PolicyHarness gateway = smallDeployment();
        gateway.updateEndpoints(EndpointUpdateKind.DELTA, new Endpoint(1, EndpointState.DRAINING, 0, 0, 0, 1, 0));
        gateway.updateEndpoints(EndpointUpdateKind.SNAPSHOT, reader(1), reader(3), writer(11));
        gateway.updateEndpoints(EndpointUpdateKind.DELTA, new Endpoint(1, EndpointState.DRAINING, 0, 0, 0, 1, 0));
        for (int id = 1; id < 20; id++) {
            gateway.arrive(id, id, 0, 500, 5_000);
            gateway.serve(id);
        }
        assertEquals(
                Set.of(3L, 11L),
                gateway.startedAttempts().stream().map(StartAttempt::engine).collect(Collectors.toSet()));
    }

    @Test
    void engineInSlowStartGetsOnlyTheGatewaysShare() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.gatewayCount = 2;
        gateway.nowMs = 100_000;
        gateway.start(reader(1), reader(2), writer(11), new Endpoint(12, EndpointState.READY, 99_000, 0, 0, 1, 1));
        for (int id = 1; id <= 80; id++) {
            gateway.nowMs += 50;
            gateway.arrive(id, id, 0, 500, 5_000);
            gateway.serve(id);
        }
        long warmAttempts =
                gateway.startedAttempts().stream().filter(s -> s.engine() == 11).count();
        long coldAttempts =
                gateway.startedAttempts().stream().filter(s -> s.engine() == 12).count();
        assertTrue(
                coldAttempts >= 2 && coldAttempts <= 0.45 * warmAttempts + 1,
                coldAttempts + " cold against " + warmAttempts);
    }

    @Test
    void manyGatewaysDoNotOverloadANewReader() {
        int atOnce = 0;
        int inTenSeconds = 0;
        for (int seed = 1; seed <= 100; seed++) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.seed = seed;
            gateway.gatewayCount = 100;
            gateway.nowMs = 100_000;
            gateway.start(reader(21), new Endpoint(1, EndpointState.READY, 99_900, 0, 0, 1, 0), writer(31));
            for (int id = 1; id <= 10; id++, gateway.nowMs += 1_000) {
                gateway.arrive(id);
                boolean cold = gateway.startedAttempt() != null
                        && gateway.startedAttempt().engine() == 1;
                inTenSeconds += cold ? 1 : 0;
                atOnce += cold && id == 1 ? 1 : 0;
                if (gateway.startedAttempt() != null) gateway.serve(id);
            }
        }
        assertTrue(atOnce <= 3, "attempts at the new reader at its start: " + atOnce);
        assertTrue(inTenSeconds < 450, "attempts at the new reader, of 1,000 in all: " + inTenSeconds);
    }

    /** Attempts that warm engines rejected were counted in their rate, from which the slow start limit is computed. */
    @Test
    void rejectedAttemptsDoNotRaiseTheSlowStartLimit() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.nowMs = 100_000;
        gateway.start(reader(2), reader(3), new Endpoint(1, EndpointState.READY, 99_900, 0, 0, 1, 0), writer(31));
        int coldAttempts = 0;
        for (int id = 1; id <= 250; id++, gateway.nowMs += 20) {
            gateway.arrive(id);
            for (int attempt = 0; gateway.startedAttempt() != null; attempt++) {
                coldAttempts += gateway.startedAttempt().engine() == 1 ? 1 : 0;
                gateway.endAttempt(
                        id,
                        attempt,
                        gateway.startedAttempt().engine() == 1 ? AttemptOutcome.ERROR : AttemptOutcome.OVERLOADED);
            }
        }
        assertTrue(coldAttempts <= 3, "attempts at the cold reader, while warm ones reject all: " + coldAttempts);
    }

    /** If many engines are replaced at once, the new ones must relieve the few warm ones before these are overloaded. */
    @Test
    void slowStartLimitGrowsUntilTheEngineIsWarm() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.nowMs = 100_000;
        gateway.start(reader(2), reader(3), writer(31));
        int[] coldAttempts = new int[2];
        for (int id = 1; id <= 1_500; id++, gateway.nowMs += 20) {
            if (id == 1_001)
                gateway.updateEndpoints(
                        EndpointUpdateKind.DELTA, new Endpoint(1, EndpointState.READY, gateway.nowMs, 0, 0, 1, 0));
            gateway.arrive(id);
            if (gateway.startedAttempt().engine() == 1) coldAttempts[(id - 1) / 250 % 2]++;
            gateway.serve(id);
        }
        assertTrue(
                coldAttempts[1] >= 1.2 * coldAttempts[0],
                "in five seconds " + coldAttempts[0] + ", in the next " + coldAttempts[1]);
    }

    /** A slow pace during slow start is no sign of a fault; a separate limit applies to such engines. */
    @Test
    void engineInSlowStartIsNotEjectedAsSlow() {
        for (boolean cold : new boolean[] {true, false}) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.nowMs = 100_000;
            gateway.start(
                    reader(2),
                    reader(3),
                    reader(4),
                    new Endpoint(1, EndpointState.READY, cold ? 96_000 : 0, 0, 0, 1, 0),
                    writer(31));
            for (int id = 1; id <= 200; id++, gateway.nowMs += 20) {
                gateway.arrive(id);
                gateway.endAttempt(
                        id,
                        0,
                        AttemptOutcome.PROMPT_READ,
                        gateway.startedAttempt().engine() == 1 ? 900 : 40,
                        0,
                        false);
                gateway.reportFirstToken(id, 1);
                gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
            }
            boolean ejected = gateway.actionsOf(RoutingAction.LogMessage.class).stream()
                    .anyMatch(line -> line.text().startsWith("engine ejected engine=1 reason="));
            assertEquals(!cold, ejected);
        }
    }

    @Test
    void newGatewayLimitsAttemptsAtAnEngineInSlowStart() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.gatewayCount = 3;
        gateway.nowMs = 100_000;
        gateway.start(new Endpoint(1, EndpointState.READY, 99_900, 0, 0, 1, 0), writer(11));
        for (int id = 1; id <= 20; id++) {
            gateway.nowMs += 20;
            gateway.arrive(id);
        }
        assertTrue(gateway.startedAttempts().size() <= 1);
    }

    @Test
    void stateOfAReadThatEndsAfterItsRequestIsReleased() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1);
        gateway.report(new RoutingEvent.RequestAbandoned(1));
        gateway.endAttempt(1, 0, AttemptOutcome.PROMPT_READ);
        assertEquals(List.of(new ReleaseState(1)), gateway.lastActions);
    }

    @Test
    void stateIsReleasedAgainWhenAnAttemptWaitingForItEnds() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1);
        gateway.endAttempt(1, 0, AttemptOutcome.PROMPT_READ);
        gateway.advanceTo(6_000);
        assertEquals(1, gateway.finalAnswers(1));
        assertTrue(gateway.endAttempt(1, gateway.startedAttempts().size() - 1, AttemptOutcome.CANCELLED)
                .contains(new ReleaseState(1)));
    }

    // ---- Failures ----

    @Test
    void failingReaderIsEjectedAndGetsFewTrials() {
        PolicyHarness gateway = smallDeployment();
        long failing = -1;
        int attemptsAtFailing = 0;
        for (int id = 1; id <= 60; id++) {
            gateway.arrive(id, id, 0, 1_000, 60_000);
            int attempt = 0;
            failing = failing < 0 ? gateway.startedAttempt().engine() : failing;
            while (gateway.startedAttempt().engine() == failing) {
                attemptsAtFailing++;
                gateway.endAttempt(id, attempt++, AttemptOutcome.ERROR);
            }
            gateway.endAttempt(id, attempt, AttemptOutcome.PROMPT_READ);
            gateway.reportFirstToken(id, attempt + 1);
            gateway.endAttempt(id, attempt + 1, AttemptOutcome.COMPLETED);
            gateway.nowMs += 50;
        }
        assertTrue(
                attemptsAtFailing >= 2 && attemptsAtFailing <= 8, "sends to the failing reader: " + attemptsAtFailing);
    }

    @Test
    void slowdownOfAllEnginesEjectsNone() {
        PolicyHarness gateway = smallDeployment();
        for (int id = 1; id <= 100; id++) {
            gateway.arrive(id, id, 0, 1_000, 60_000);
            double elapsedMs = id < 50 ? 50 : 900;
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ, elapsedMs, 0, false);
            gateway.report(new RoutingEvent.FirstToken(id, 1, 0, elapsedMs));
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
            gateway.nowMs += 200;
        }
        assertTrue(gateway.actionsOf(RoutingAction.LogMessage.class).isEmpty());
    }

    @Test
    void queueingAtAFullWriterIsNoFailure() {
        PolicyHarness gateway =
                new PolicyHarness().start(reader(1), reader(2), writer(11), writer(12), writer(13), writer(14));
        for (int id = 1; id <= 40; id++) {
            gateway.arrive(id, id, 0, 1_000, 60_000);
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ);
            gateway.reportFirstToken(id, 1);
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
            gateway.nowMs += 50;
        }
        for (int id = 41; id <= 56; id++) {
            gateway.arrive(id, id, 0, 1_000, 60_000);
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ);
        }
        for (StartAttempt attempt : List.copyOf(gateway.startedAttempts())) {
            if (attempt.requestId() > 40 && attempt.engine() > 11) {
                gateway.reportFirstToken(attempt.requestId(), 1);
                gateway.endAttempt(attempt.requestId(), 1, AttemptOutcome.COMPLETED);
            }
        }
        gateway.advanceTo(gateway.nowMs + 600);
        assertTrue(gateway.actionsOf(RoutingAction.LogMessage.class).isEmpty(), "no answer for less than an objective");
    }

    /** Because an engine with a lost answer kept answering other requests, the lost one was never overdue. */
    @Test
    void readWithALostAnswerIsRetriedElsewhere() {
        PolicyHarness gateway = smallDeployment();
        for (int id = 1; id <= 20; id++, gateway.nowMs += 100) {
            gateway.arrive(id, id, 0, 1_000, 5_000);
            gateway.serve(id);
        }
        gateway.arrive(21, 21, 0, 1_000, 5_000);
        long firstReader = gateway.startedAttempt().engine();
        gateway.nowMs += 50;
        for (int id = 22; id <= 40; id++) {
            gateway.arrive(id, id, 0, 1_000, 5_000);
            gateway.serve(id);
        }
        // Later prompts at this reader were answered, so the attempt is not extended.
        gateway.advanceTo(gateway.nowMs + 450);
        List<StartAttempt> attempts = gateway.startedAttempts().stream()
                .filter(s -> s.requestId() == 21)
                .toList();
        assertEquals(2, attempts.size());
        assertNotEquals(firstReader, attempts.get(1).engine());
        // Its age does not count as queueing: another request for that reader is not rejected.
        gateway.nowMs += 3_000;
        gateway.arrive(41, 21, 0, 1_000, 5_000);
        assertTrue(gateway.startedAttempts().stream().anyMatch(s -> s.requestId() == 41));
    }

    /** A gateway that uses each writer once a minute can detect congestion only from the samples of all writers. */
    @Test
    void congestionOfAllWritersIsDetectedFromFewSamplesOfEach() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.gatewayCount = 100;
        gateway.start(java.util.stream.LongStream.rangeClosed(1, 60)
                .mapToObj(i -> i <= 20 ? reader(i) : writer(i))
                .toArray(Endpoint[]::new));
        for (int id = 1; id <= 12; id++, gateway.nowMs += 1_000) {
            gateway.arrive(id, id, 0, 1_000, 60_000);
            if (gateway.startedAttempt() == null) continue;
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ, 60, 0, false);
            gateway.report(new RoutingEvent.FirstToken(id, 1, 0, 2_000));
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
        }
        assertTrue(
                gateway.actionsOf(RejectRequest.class).size() >= 5,
                "rejected: " + gateway.actionsOf(RejectRequest.class).size());
    }

    /** A prefix that was assumed to be cached was not, and its healthy reader was considered unresponsive. */
    @Test
    void readOfAPrefixAssumedToBeCachedIsNotOverdueEarly() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.gatewayCount = 100;
        gateway.start(reader(1), reader(2), reader(3), writer(11), writer(12));
        for (int id = 1; id <= 13; id++, gateway.nowMs += 1_000) {
            double tokens = id == 13 ? 6_000 : 1_000;
            gateway.report(new RequestArrived(id, 0, 0, id, tokens, 77, tokens - 300, 5_000, 200, 0, false));
            if (id == 13) break;
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ, 75, 0, false);
            gateway.reportFirstToken(id, 1);
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
        }
        gateway.advanceTo(gateway.nowMs + 480);
        assertEquals(
                1,
                gateway.startedAttempts().stream()
                        .filter(s -> s.requestId() == 13)
                        .count());
    }

    /** At low load, half of the sessions' next prompts were not sent to the reader that had cached their history. */
    @Test
    void allGatewaysSendASessionWithHistoryToTheSameReader() {
        Set<Long> readers = new java.util.TreeSet<>();
        for (int seed = 1; seed <= 40; seed++) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.seed = seed;
            gateway.gatewayCount = 40;
            gateway.start(java.util.stream.LongStream.rangeClosed(1, 10)
                    .mapToObj(i -> i < 10 ? reader(i) : writer(i))
                    .toArray(Endpoint[]::new));
            for (int id = 1; id <= 20; id++, gateway.nowMs += id < 20 ? 1_000 : 50) {
                long session = id == 20 ? 5 : 1_000L * seed + id;
                gateway.report(new RequestArrived(
                        id, 0, 0, session, 5_000, 1 + id % (1 + seed % 4), 1_000, 5_000, 200, 0, false));
                if (id == 20) readers.add(gateway.startedAttempt().engine());
                if (id != 19) gateway.serve(id);
            }
        }
        assertEquals(1, readers.size(), "while every gateway has a read in flight elsewhere: " + readers);
    }

    /** All readers were congested while the writers were idle, and hedged reads added to the congestion. */
    @Test
    void congestionOfAllReadersCausesRejectionsAndNoHedging() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.gatewayCount = 100;
        gateway.start(java.util.stream.LongStream.rangeClosed(1, 60)
                .mapToObj(i -> i <= 40 ? reader(i) : writer(i))
                .toArray(Endpoint[]::new));
        for (int id = 1; id <= 30; id++, gateway.nowMs += 1_000) {
            gateway.arrive(id, id, 0, 1_000, 60_000);
            if (gateway.startedAttempt() == null) continue;
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ, id < 10 ? 60 : 2_000, 0, false);
            gateway.reportFirstToken(id, 1);
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
        }
        assertTrue(
                gateway.actionsOf(RejectRequest.class).size() >= 5,
                "rejected: " + gateway.actionsOf(RejectRequest.class).size());
        int before = gateway.startedAttempts().size();
        gateway.arrive(31, 31, 0, 1_000, 60_000);
        gateway.advanceTo(gateway.nowMs + 3_000);
        assertTrue(gateway.startedAttempts().size() <= before + 1, "no hedging while all readers are congested");
    }

    @Test
    void promptWithALostStateIsReadAgain() {
        PolicyHarness gateway = smallDeployment();
        gateway.arrive(1);
        gateway.endAttempt(1, 0, AttemptOutcome.PROMPT_READ);
        gateway.endAttempt(1, 1, AttemptOutcome.STATE_LOST);
        assertTrue(gateway.startedAttempt().engine() < 10);
    }

    @Test
    void overloadCausesRejections() {
        PolicyHarness gateway = smallDeployment();
        long id = 1;
        for (; id <= 40; id++) {
            gateway.arrive(id, id, 0, 1_000, 5_000);
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ, 900, 0, false);
            gateway.report(new RoutingEvent.FirstToken(id, 1, 0, 2_000));
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
            gateway.nowMs += 20;
        }
        assertTrue(gateway.actionsOf(RejectRequest.class).size() > 5);
    }

    /** If it were rejected, the part that was streamed before the interruption would be lost as well. */
    @Test
    void resumedStreamIsAdmittedUnderOverload() {
        PolicyHarness gateway = smallDeployment();
        for (long id = 1; id <= 12; id++, gateway.nowMs += 100) {
            gateway.arrive(id, id, 0, 1_000, 5_000);
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ, 10, 0, false);
            gateway.report(new RoutingEvent.FirstToken(id, 1, 0, 2_000));
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
        }
        gateway.arrive(13, 13, 0, 1_000, 5_000);
        assertNull(gateway.startedAttempt(), "congestion");
        gateway.report(new RequestArrived(14, 0, 0, 14, 1_000, 0, 0, 5_000, 200, 0, true));
        assertNotNull(gateway.startedAttempt());
    }

    /** Waits observed during congestion kept requests from being admitted for most of a minute after its end. */
    @Test
    void requestsAreAdmittedAgainSomeTimeAfterCongestion() {
        PolicyHarness gateway = smallDeployment();
        for (long id = 1; id <= 12; id++, gateway.nowMs += 100) {
            gateway.arrive(id, id, 0, 1_000, 5_000);
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ, 10, 0, false);
            gateway.report(new RoutingEvent.FirstToken(id, 1, 0, 2_000));
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
        }
        gateway.arrive(13, 13, 0, 1_000, 5_000);
        assertNull(gateway.startedAttempt(), "congestion");
        gateway.nowMs += 12_000;
        gateway.arrive(14, 14, 0, 1_000, 5_000);
        assertNotNull(gateway.startedAttempt(), "congestion was not observed for some time");
    }

    @Test
    void longPromptWithoutQueueingIsNoOverload() {
        PolicyHarness gateway = smallDeployment();
        for (int id = 1; id <= 30; id++) {
            gateway.arrive(id, id, 0, 1_000, 5_000);
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ, 60, 0, false);
            gateway.reportFirstToken(id, 1);
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
            gateway.nowMs += 100;
        }
        gateway.arrive(31, 0, 0, 25_000, 5_000);
        assertNotNull(gateway.startedAttempt(), "its own read alone takes most of its objective");
    }

    @Test
    void workOverItsTenantsQuotaIsRejectedFirst() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.tenants = List.of(new RoutingSettings.Tenant(1), new RoutingSettings.Tenant(100));
        gateway.overQuotaWeight = 0.1;
        gateway.start(reader(1), reader(2), writer(11), writer(12));
        for (int id = 1; id <= 30; id++) {
            gateway.report(new RequestArrived(id, 1, id % 2, 0, 1_000, 0, 0, 12_000, 200, 0, false));
            if (gateway.startedAttempt() == null) {
                assertEquals(0, id % 2, "only the tenant over its quota is rejected");
                continue;
            }
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ, 60, 0, false);
            gateway.report(new RoutingEvent.FirstToken(id, 1, 0, 1_000));
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
            gateway.nowMs += 20;
        }
        assertTrue(gateway.actionsOf(RejectRequest.class).size() >= 5);
    }

    @Test
    void rejectionStatesARetryDelayOnlyIfAllowed() {
        for (boolean allowed : new boolean[] {true, false}) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.retryAfter = allowed;
            gateway.start(reader(1));
            gateway.arrive(1, 0, 0, 1_000, 0);
            double retryAfterMs = gateway.actionsOf(RejectRequest.class).get(0).retryAfterMs();
            assertTrue(
                    allowed ? retryAfterMs >= 500 && retryAfterMs <= 1_000 : retryAfterMs == 0,
                    "retry after " + retryAfterMs);
        }
    }

    // ---- Subscriptions; bounded memory; retry delays ----

    @Test
    void failedSubscriptionIsRequestedAgain() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.mustSubscribe = true;
        gateway.start(reader(1), writer(11));
        assertEquals(1, gateway.actionsOf(SubscribeEndpoints.class).size());
        gateway.updateEndpoints(EndpointUpdateKind.FAILED);
        gateway.updateEndpoints(EndpointUpdateKind.FAILED);
        gateway.advanceTo(gateway.nowMs + 2_000);
        assertEquals(2, gateway.actionsOf(SubscribeEndpoints.class).size());
        gateway.arrive(1);
        assertNotNull(gateway.startedAttempt(), "the old list stays in use");
    }

    @Test
    void tablesStayBoundedAfterManyRequests() {
        PolicyHarness gateway = smallDeployment();
        for (int id = 1; id <= 50_000; id++) {
            gateway.arrive(id, id, id % 97, 1_000, 5_000);
            if (gateway.startedAttempt() != null && id % 5 == 0) {
                gateway.report(new RoutingEvent.RequestAbandoned(id));
                gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ);
            } else if (gateway.startedAttempt() != null) {
                gateway.serve(id);
            }
            gateway.allActions.clear();
            gateway.nowMs += 10;
        }
        gateway.nowMs += 60_000;
        for (int id = 1; id <= 50_000; id += 1_000) {
            assertTrue(gateway.endAttempt(id, 1, AttemptOutcome.RESET).isEmpty());
        }
        assertTrue(gateway.tableEntries() < 70_000, "entries " + gateway.tableEntries());
    }

    /** With equal delays, all clients that are rejected at the same time would also retry at the same time. */
    @Test
    void retryDelaysVaryWithinTheLimit() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.retryAfter = true;
        gateway.start(writer(11));
        for (int id = 1; id <= 50; id++) gateway.arrive(id);
        gateway.advanceTo(4_000);
        double[] retryAfterMs = gateway.actionsOf(RejectRequest.class).stream()
                .mapToDouble(RejectRequest::retryAfterMs)
                .sorted()
                .toArray();
        assertEquals(50, retryAfterMs.length);
        assertTrue(retryAfterMs[49] <= 1_000 && retryAfterMs[0] >= 500, retryAfterMs[0] + " to " + retryAfterMs[49]);
        assertTrue(retryAfterMs[45] - retryAfterMs[5] > 200, retryAfterMs[5] + " to " + retryAfterMs[45]);
    }

    /** One sample per reader and second did not show the congestion, and all requests were sent and missed the objective. */
    @Test
    void waitsOfTheRoleCountWhileEachReaderIsRarelyUsed() {
        // Few gateways have enough samples of each engine: rejecting by the waits of its role cost them more than it
        // saved.
        for (int gateways : new int[] {3, 14}) {
            PolicyHarness gateway = new PolicyHarness();
            gateway.gatewayCount = gateways;
            gateway.start(reader(1), reader(2), reader(3), reader(4), reader(5), writer(11), writer(12));
            for (int id = 1; id <= 80; id++, gateway.nowMs += 250) {
                gateway.arrive(id);
                if (gateway.startedAttempt() == null) continue;
                gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ, id <= 40 ? 40 : 900, 0, false);
                gateway.reportFirstToken(id, 1);
                gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
            }
            int rejections = gateway.actionsOf(RejectRequest.class).size();
            assertTrue(
                    gateways > 4 ? rejections >= 10 : rejections == 0, rejections + " rejected by one of " + gateways);
            assertTrue(gateway.actionsOf(RejectRequest.class).stream().allMatch(r -> r.requestId() > 40));
        }
    }

    /** Guards against an exception, and a request without an answer, for an index below 0. */
    @Test
    void aRequestWithAnIndexBelowZeroIsRejected() {
        PolicyHarness gateway = new PolicyHarness();
        gateway.tenants = List.of(new RoutingSettings.Tenant(10));
        gateway.start(reader(1), writer(2));
        for (int[] classAndTenant : new int[][] {{-1, 0}, {0, -1}, {Integer.MIN_VALUE, Integer.MIN_VALUE}, {99, 0}}) {
            List<RoutingAction> actions = gateway.report(new RoutingEvent.RequestArrived(
                    7, classAndTenant[0], classAndTenant[1], 0, 1_000, 0, 0, 5_000, 200, 0, false));
            assertEquals(List.of(new RejectRequest(7, 0)), actions);
        }
        assertEquals(
                1,
                gateway.arrive(8).stream()
                        .filter(RoutingAction.StartAttempt.class::isInstance)
                        .count());
    }
}
