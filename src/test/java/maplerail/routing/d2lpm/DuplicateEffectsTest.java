package maplerail.routing.d2lpm;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.Idempotency;
import maplerail.routing.IdempotencyScope;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingAction.RejectRequest;
import maplerail.routing.RoutingAction.StartAttempt;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Random engines, outcomes and orders of events against the contract's rule on duplicate effects. */
class DuplicateEffectsTest {
    private static final int DAYS = 1_500;
    private static final int STEPS = 14;
    private static final int ENGINES = 9;
    private static final int READER = 0;
    private static final AttemptOutcome[] OUTCOMES = {
        AttemptOutcome.PROMPT_READ,
        AttemptOutcome.OVERLOADED,
        AttemptOutcome.RESET,
        AttemptOutcome.ERROR,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.STATE_LOST,
        AttemptOutcome.CANCELLED
    };

    private record Attempt(Endpoint endpoint, double sentMs) {}

    private final List<Attempt> attempts = new ArrayList<>();
    private final List<AttemptOutcome> outcomes = new ArrayList<>(); // null while in flight
    private Endpoint[] engines;
    private PolicyHarness gateway;
    private int checkedActions;

    /** Guards against every order of events in which an attempt that may have run is forgotten. */
    @ParameterizedTest
    @EnumSource
    void noAttemptOrRefusalFollowsThatCouldRepeatAnEffect(Idempotency idempotency) {
        for (int seed = 1; seed <= DAYS; seed++) playDay(idempotency, seed);
    }

    private void playDay(Idempotency idempotency, int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        gateway = new PolicyHarness();
        gateway.seed = seed;
        gateway.idempotency = idempotency;
        gateway.keyScope = IdempotencyScope.values()[random.nextInt(3)];
        gateway.keyTtlMs = 300 + random.nextInt(6_000);
        gateway.cancel = random.nextBoolean();
        gateway.writersCanRead = random.nextBoolean();
        boolean mixedOnly = random.nextBoolean();
        engines = new Endpoint[ENGINES];
        for (int i = 0; i < ENGINES; i++) {
            int cell = random.nextInt(4); // of two zones
            int kind = mixedOnly ? 2 : random.nextInt(3);
            engines[i] = new Endpoint(i + 1, EndpointState.READY, 0, cell / 2, cell, 1, kind);
        }
        attempts.clear();
        outcomes.clear();
        checkedActions = 0;
        gateway.start(engines);
        gateway.arrive(1);
        check(seed);
        for (int step = 0; step < STEPS; step++) {
            List<Integer> inFlight = new ArrayList<>();
            for (int i = 0; i < attempts.size(); i++) if (outcomes.get(i) == null) inFlight.add(i);
            if (inFlight.isEmpty() || random.nextInt(3) == 0) advance(random.nextInt(900), seed);
            else end(inFlight.get(random.nextInt(inFlight.size())), random, seed);
        }
        advance(9_000, seed);
    }

    private void end(int attempt, SplittableRandom random, int seed) {
        AttemptOutcome outcome = OUTCOMES[random.nextInt(OUTCOMES.length)];
        boolean reads = attempts.get(attempt).endpoint.kind() == READER;
        if (outcome == AttemptOutcome.PROMPT_READ && !reads) outcome = AttemptOutcome.RESET;
        outcomes.set(attempt, outcome);
        gateway.endAttempt(1, attempt, outcome);
        check(seed);
    }

    private void advance(int byMs, int seed) {
        double untilMs = gateway.nowMs + byMs;
        while (gateway.nowMs < untilMs) {
            gateway.advanceTo(Math.min(untilMs, gateway.nowMs + 5));
            check(seed);
        }
    }

    /** Checks the actions since the last check against what is known of all attempts before them. */
    private void check(int seed) {
        List<RoutingAction> decisions = gateway.allActions.stream()
                .filter(a -> a instanceof StartAttempt || a instanceof RejectRequest)
                .toList();
        for (RoutingAction action : decisions.subList(checkedActions, decisions.size())) {
            if (action instanceof StartAttempt start) {
                Endpoint engine = engines[(int) start.engine() - 1];
                assertThat(mayBeSentTo(engine))
                        .as("day %d: attempt at %s after %s", seed, engine, outcomes)
                        .isTrue();
                attempts.add(new Attempt(engine, gateway.nowMs));
                outcomes.add(null);
            } else {
                assertThat(mayBeRefused())
                        .as("day %d: refusal after %s", seed, outcomes)
                        .isTrue();
            }
        }
        checkedActions = decisions.size();
    }

    /** True if an attempt may have run: one at a reader has no effect. */
    private boolean mayHaveRun(int attempt) {
        AttemptOutcome outcome = outcomes.get(attempt);
        return attempts.get(attempt).endpoint.kind() != READER && (outcome == null || !outcome.provesNoEffect());
    }

    private boolean mayBeSentTo(Endpoint engine) {
        for (int i = 0; i < attempts.size(); i++) {
            boolean counts = mayHaveRun(i) || outcomes.get(i) == null;
            Attempt attempt = attempts.get(i);
            boolean known = gateway.nowMs <= attempt.sentMs + gateway.keyTtlMs
                    && gateway.keyScope.includes(attempt.endpoint, engine);
            if (counts && gateway.idempotency == Idempotency.NON_IDEMPOTENT) return false;
            if (counts && gateway.idempotency == Idempotency.IDEMPOTENCY_KEY && !known) return false;
        }
        return true;
    }

    private boolean mayBeRefused() {
        for (int i = 0; i < attempts.size(); i++) {
            boolean expired = gateway.nowMs > attempts.get(i).sentMs + gateway.keyTtlMs + 5; // a step of the clock
            if (!mayHaveRun(i) || gateway.idempotency == Idempotency.IDEMPOTENT) continue;
            if (gateway.idempotency == Idempotency.NON_IDEMPOTENT) return false;
            if (gateway.keyScope != IdempotencyScope.ALL || expired) return false;
        }
        return true;
    }
}
