package maplerail.core;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import maplerail.routing.Endpoint;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingPolicy;

/**
 * Logs what a policy is told and what it decides, a line each, so that what many gateways do together can be counted from
 * their logs. It changes nothing, and is created only where its logger is on.
 */
public final class DecisionLog implements RoutingPolicy {
    private static final int NANOS_PER_MICRO = 1_000;

    private final RoutingPolicy policy;
    private final Consumer<String> log;

    /** Creates a log of a policy's decisions. */
    public DecisionLog(RoutingPolicy policy, Consumer<String> log) {
        this.policy = policy;
        this.log = log;
    }

    @Override
    public List<RoutingAction> step(double nowMs, List<? extends RoutingEvent> events) {
        EventLines eventLines = new EventLines(nowMs);
        events.forEach(event -> event.accept(eventLines));
        long startedNanos = System.nanoTime();
        List<RoutingAction> actions = policy.step(nowMs, events);
        long tookMicros = (System.nanoTime() - startedNanos) / NANOS_PER_MICRO;
        ActionLines actionLines = new ActionLines(nowMs, tookMicros);
        actions.forEach(action -> action.accept(actionLines));
        return actions;
    }

    @Override
    public int ejectedEngines() {
        return policy.ejectedEngines();
    }

    @Override
    public List<RoutingEvent.PrefixCached> cachedPrefixes() {
        return policy.cachedPrefixes();
    }

    private void line(double nowMs, String format, Object... values) {
        log.accept(String.format(Locale.ROOT, "%.0f ", nowMs) + String.format(Locale.ROOT, format, values));
    }

    private final class EventLines implements RoutingEvent.Handler {
        private final double nowMs;

        EventLines(double nowMs) {
            this.nowMs = nowMs;
        }

        @Override
        public void onRequestArrived(RoutingEvent.RequestArrived e) {
            line(
                    nowMs,
                    "arrived request=%d class=%d tenant=%d session=%x prompt_tokens=%.0f prefix=%x prefix_tokens=%.0f"
                            + " budget_ms=%.0f resumed=%b",
                    e.requestId(),
                    e.requestClass(),
                    e.tenant(),
                    e.session(),
                    e.promptTokens(),
                    e.prefix(),
                    e.prefixTokens(),
                    e.budgetMs(),
                    e.resumed());
        }

        @Override
        public void onFirstToken(RoutingEvent.FirstToken e) {
            line(
                    nowMs,
                    "first_token request=%d attempt=%d engine=%x elapsed_ms=%.0f",
                    e.requestId(),
                    e.attempt(),
                    e.engine(),
                    e.elapsedMs());
        }

        @Override
        public void onAttemptEnded(RoutingEvent.AttemptEnded e) {
            line(
                    nowMs,
                    "attempt_ended request=%d attempt=%d engine=%x outcome=%s elapsed_ms=%.0f cached_tokens=%.0f",
                    e.requestId(),
                    e.attempt(),
                    e.engine(),
                    e.outcome(),
                    e.elapsedMs(),
                    e.cachedTokens());
        }

        @Override
        public void onRequestAbandoned(RoutingEvent.RequestAbandoned e) {
            line(nowMs, "abandoned request=%d", e.requestId());
        }

        @Override
        public void onEndpointUpdate(RoutingEvent.EndpointUpdate e) {
            int count = e.endpoints().size();
            line(nowMs, "endpoints kind=%s version=%d count=%d", e.kind(), e.version(), count);
            e.endpoints().forEach(this::endpoint);
        }

        private void endpoint(Endpoint e) {
            line(
                    nowMs,
                    "endpoint engine=%x state=%s kind=%d zone=%d cell=%d started_ms=%.0f capacity_scale=%.2f",
                    e.engine(),
                    e.state(),
                    e.kind(),
                    e.zone(),
                    e.cell(),
                    e.startedMs(),
                    e.capacityScale());
        }
    }

    private final class ActionLines implements RoutingAction.Handler {
        private final double nowMs;
        private final long tookMicros;

        ActionLines(double nowMs, long tookMicros) {
            this.nowMs = nowMs;
            this.tookMicros = tookMicros;
        }

        @Override
        public void onStartAttempt(RoutingAction.StartAttempt a) {
            line(nowMs, "start_attempt request=%d engine=%x took_us=%d", a.requestId(), a.engine(), tookMicros);
        }

        @Override
        public void onCancelAttempt(RoutingAction.CancelAttempt a) {
            line(nowMs, "cancel_attempt request=%d attempt=%d", a.requestId(), a.attempt());
        }

        @Override
        public void onReleaseState(RoutingAction.ReleaseState a) {
            line(nowMs, "release_state request=%d", a.requestId());
        }

        @Override
        public void onReservePlace(RoutingAction.ReservePlace a) {
            line(nowMs, "reserve_place request=%d engine=%x", a.requestId(), a.engine());
        }

        @Override
        public void onRejectRequest(RoutingAction.RejectRequest a) {
            line(nowMs, "reject request=%d retry_after_ms=%.0f", a.requestId(), a.retryAfterMs());
        }

        @Override
        public void onFailRequest(RoutingAction.FailRequest a) {
            line(nowMs, "fail request=%d", a.requestId());
        }
    }
}
