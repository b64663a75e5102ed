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

/** A gateway under test: a policy, a clock that the test advances, and the actions that the policy requested. */
final class PolicyHarness {
    /** Settings that a test can change before it starts the policy. */
    Idempotency idempotency = Idempotency.IDEMPOTENT;

    IdempotencyScope keyScope = IdempotencyScope.ALL;
    double keyTtlMs = 2_000;
    boolean cancel = true;
    boolean hedging = true;
    boolean mustSubscribe;
    boolean writersCanRead;
    boolean placeReservations;
    boolean retryAfter;
    double overQuotaWeight = 1;
    long seed = 1;
    int gatewayCount = 1;
    List<EngineKind> engineKinds = List.of(
            new EngineKind(EngineRole.READER, 200_000),
            new EngineKind(EngineRole.WRITER, 150_000),
            new EngineKind(EngineRole.BOTH, 1e5));
    List<Tenant> tenants = List.of();
    Rules rules = new Rules(8, 300, 0.3, 2.5, 3_000, 10_000, 10_000);

    double nowMs = 1_000;
    final List<RoutingAction> allActions = new ArrayList<>();
    List<RoutingAction> lastActions = List.of();
    private D2lpmPolicy policy;

    PolicyHarness start(Endpoint... endpoints) {
        RequestClass lowPriority = new RequestClass(1_000, 0.04, 5_000, 60, 1, 0.1, idempotency, keyScope, keyTtlMs);
        RequestClass highPriority = new RequestClass(2_500, 0.04, 12_000, 80, 3, 0.3, idempotency, keyScope, keyTtlMs);
        policy = new D2lpmPolicy(new RoutingSettings(
                seed,
                gatewayCount,
                0,
                2,
                mustSubscribe,
                overQuotaWeight,
                List.of(lowPriority, highPriority),
                tenants,
                engineKinds,
                new Limits(5, cancel, hedging, retryAfter, 1_000, writersCanRead, placeReservations),
                rules));
        updateEndpoints(EndpointUpdateKind.REMEMBERED, endpoints);
        return this;
    }

    static Endpoint endpoint(long engine, int kind) {
        return new Endpoint(engine, EndpointState.READY, 0, 0, 0, 1, kind);
    }

    static Endpoint reader(long engine) {
        return endpoint(engine, 0);
    }

    static Endpoint writer(long engine) {
        return endpoint(engine, 1);
    }

    void updateEndpoints(EndpointUpdateKind kind, Endpoint... endpoints) {
        report(new EndpointUpdate(kind, 1, List.of(endpoints)));
    }

    List<RoutingAction> report(RoutingEvent event) {
        lastActions = policy.step(nowMs, List.of(event));
        allActions.addAll(lastActions);
        return lastActions;
    }

    List<RoutingAction> arrive(long id) {
        return arrive(id, 0, 0, 1_000, 5_000);
    }

    List<RoutingAction> arrive(long id, long session, long prefix, double tokens, double budgetMs) {
        return report(new RequestArrived(
                id, 0, 0, session, tokens, prefix, prefix == 0 ? 0 : tokens / 2, budgetMs, 200, 0, false));
    }

    List<RoutingAction> endAttempt(long id, int attempt, AttemptOutcome outcome) {
        return endAttempt(id, attempt, outcome, 40, 0, outcome == AttemptOutcome.COMPLETED);
    }

    List<RoutingAction> endAttempt(
            long id,
            int attempt,
            AttemptOutcome outcome,
            double elapsedMs,
            double cachedTokens,
            boolean requestClosed) {
        return report(new RoutingEvent.AttemptEnded(
                id, attempt, 0, outcome, elapsedMs, cachedTokens, requestClosed, new LoadReport(Double.NaN)));
    }

    List<RoutingAction> reportFirstToken(long id, int attempt) {
        return report(new RoutingEvent.FirstToken(id, attempt, 0, 30));
    }

    /** Advances the clock and fires the timers that become due. */
    void advanceTo(double toMs) {
        while (true) {
            double fromMs = nowMs;
            RoutingAction.SetTimer due = allActions.stream()
                    .filter(a -> a instanceof RoutingAction.SetTimer)
                    .map(a -> (RoutingAction.SetTimer) a)
                    .filter(t -> t.atMs() <= toMs)
                    .min(java.util.Comparator.comparingDouble(RoutingAction.SetTimer::atMs))
                    .orElse(null);
            if (due == null) {
                break;
            }
            allActions.remove(due);
            nowMs = Math.max(fromMs, due.atMs());
            report(new RoutingEvent.TimerFired(due.token()));
        }
        nowMs = toMs;
    }

    StartAttempt startedAttempt() {
        return lastActions.stream()
                .filter(a -> a instanceof StartAttempt)
                .map(a -> (StartAttempt) a)
                .findFirst()
                .orElse(null);
    }

    List<StartAttempt> startedAttempts() {
        return actionsOf(StartAttempt.class);
    }

    <T extends RoutingAction> List<T> actionsOf(Class<T> type) {
        return allActions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** The number of rejections and failures of a request. */
    long finalAnswers(long id) {
        return allActions.stream()
                .filter(a -> a instanceof RoutingAction.RejectRequest r && r.requestId() == id
                        || a instanceof RoutingAction.FailRequest f && f.requestId() == id)
                .count();
    }

    /** Completes a request at the engines that the policy selects. */
    void serve(long id) {
        endAttempt(id, 0, AttemptOutcome.PROMPT_READ);
        reportFirstToken(id, 1);
        endAttempt(id, 1, AttemptOutcome.COMPLETED);
    }

    D2lpmPolicy policy() {
        return policy;
    }

    /** The number of entries in the policy's tables. */
    int tableEntries() {
        return policy.tableEntries();
    }
}
