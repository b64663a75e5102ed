package maplerail.routing.d2lpm;

import java.util.ArrayList;
import java.util.List;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.EngineRole;
import maplerail.routing.Idempotency;
import maplerail.routing.IdempotencyScope;
import maplerail.routing.LoadReport;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingAction.StartAttempt;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingEvent.EndpointUpdate;
import maplerail.routing.RoutingEvent.RequestArrived;
import maplerail.routing.RoutingSettings;
import maplerail.routing.RoutingSettings.EngineKind;
import maplerail.routing.RoutingSettings.Limits;
import maplerail.routing.RoutingSettings.RequestClass;
import maplerail.routing.RoutingSettings.Rules;
import maplerail.routing.RoutingSettings.Tenant;

/** A gateway under test: a policy, a clock that the test moves, and what the policy asked for. */
final class PolicyHarness {
    /** Settings that a test changes before it starts the policy. */
    Idempotency idempotency = Idempotency.IDEMPOTENT;

    IdempotencyScope keyScope = IdempotencyScope.ALL;
    double keyTtlMs = 2_000;
    boolean cancel = true;
    boolean hedging = true;
    boolean subscribes;
    boolean writersRead;
    boolean placesAhead;
    boolean retryAfter;
    double overQuotaWeight = 1;
    long seed = 1;
    int gatewayCount = 1;
    List<EngineKind> kinds = List.of(
            new EngineKind(EngineRole.READER, 200_000),
            new EngineKind(EngineRole.WRITER, 150_000),
            new EngineKind(EngineRole.BOTH, 1e5));
    List<Tenant> tenants = List.of();
    Rules rules = new Rules(8, 300, 0.3, 2.5, 3_000, 10_000, 10_000);

    double nowMs = 1_000;
    final List<RoutingAction> allActions = new ArrayList<>();
    List<RoutingAction> lastActions = List.of();
    private D2lpmPolicy policy;

    PolicyHarness start(Endpoint... members) {
        RequestClass cheap = new RequestClass(1_000, 0.04, 5_000, 60, 1, 0.1, idempotency, keyScope, keyTtlMs);
        RequestClass dear = new RequestClass(2_500, 0.04, 12_000, 80, 3, 0.3, idempotency, keyScope, keyTtlMs);
        policy = new D2lpmPolicy(new RoutingSettings(
                seed,
                gatewayCount,
                0,
                2,
                subscribes,
                overQuotaWeight,
                List.of(cheap, dear),
                tenants,
                kinds,
                new Limits(5, cancel, hedging, retryAfter, 1_000, writersRead, placesAhead),
                rules));
        list(EndpointUpdateKind.REMEMBERED, members);
        return this;
    }

    static Endpoint member(long engine, int kind) {
        return new Endpoint(engine, EndpointState.READY, 0, 0, 0, 1, kind);
    }

    static Endpoint reader(long engine) {
        return member(engine, 0);
    }

    static Endpoint writer(long engine) {
        return member(engine, 1);
    }

    void list(EndpointUpdateKind kind, Endpoint... members) {
        on(new EndpointUpdate(kind, 1, List.of(members)));
    }

    List<RoutingAction> on(RoutingEvent event) {
        lastActions = policy.step(nowMs, List.of(event));
        allActions.addAll(lastActions);
        return lastActions;
    }

    List<RoutingAction> arrive(long id) {
        return arrive(id, 0, 0, 1_000, 5_000);
    }

    List<RoutingAction> arrive(long id, long session, long prefix, double tokens, double budget) {
        return on(new RequestArrived(
                id, 0, 0, session, tokens, prefix, prefix == 0 ? 0 : tokens / 2, budget, 200, 0, false));
    }

    List<RoutingAction> end(long id, int attempt, AttemptOutcome outcome) {
        return end(id, attempt, outcome, 40, 0, outcome == AttemptOutcome.COMPLETED);
    }

    List<RoutingAction> end(long id, int attempt, AttemptOutcome outcome, double spent, double kept, boolean closed) {
        return on(new RoutingEvent.AttemptEnded(
                id, attempt, 0, outcome, spent, kept, closed, new LoadReport(Double.NaN)));
    }

    List<RoutingAction> first(long id, int attempt) {
        return on(new RoutingEvent.FirstToken(id, attempt, 0, 30));
    }

    /** Moves the clock, firing the timers that come due on the way. */
    void until(double time) {
        while (true) {
            double from = nowMs;
            RoutingAction.SetTimer due = allActions.stream()
                    .filter(a -> a instanceof RoutingAction.SetTimer)
                    .map(a -> (RoutingAction.SetTimer) a)
                    .filter(t -> t.atMs() <= time)
                    .min(java.util.Comparator.comparingDouble(RoutingAction.SetTimer::atMs))
                    .orElse(null);
            if (due == null) {
                break;
            }
            allActions.remove(due);
            nowMs = Math.max(from, due.atMs());
            on(new RoutingEvent.TimerFired(due.token()));
        }
        nowMs = time;
    }

    StartAttempt sent() {
        return lastActions.stream()
                .filter(a -> a instanceof StartAttempt)
                .map(a -> (StartAttempt) a)
                .findFirst()
                .orElse(null);
    }

    List<StartAttempt> sends() {
        return of(StartAttempt.class);
    }

    <T extends RoutingAction> List<T> of(Class<T> type) {
        return allActions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Final answers that the module gave to a request. */
    long answers(long id) {
        return allActions.stream()
                .filter(a -> a instanceof RoutingAction.RejectRequest r && r.requestId() == id
                        || a instanceof RoutingAction.FailRequest f && f.requestId() == id)
                .count();
    }

    /** Plays a request to its end at whatever engines the module picks. */
    void serve(long id) {
        end(id, 0, AttemptOutcome.PROMPT_READ);
        first(id, 1);
        end(id, 1, AttemptOutcome.COMPLETED);
    }

    D2lpmPolicy policy() {
        return policy;
    }

    /** Entries in the module's tables. */
    int tableSizes() {
        return policy.tableSizes();
    }
}
