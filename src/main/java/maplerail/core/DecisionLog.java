package maplerail.core;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import maplerail.routing.Endpoint;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingPolicy;

/**
 * Logs the events and actions of a routing policy, one line each, so that the combined behaviour of many gateways can
 * be analysed from their logs. It does not alter decisions, and is created only if its logger is enabled.
 */
public final class DecisionLog implements RoutingPolicy {
    private static final int NANOS_PER_MICRO = 1_000;

    private final RoutingPolicy policy;
    private final Consumer<String> log;

    /** Creates a policy that delegates to another one and logs its decisions. */
    public DecisionLog(RoutingPolicy policy, Consumer<String> log) {
        this.policy = policy;
        this.log = log;
    }

    @Override
    public List<RoutingAction> step(double nowMs, List<? extends RoutingEvent> events) {
        EventLogger eventLines = new EventLogger(nowMs);
        events.forEach(event -> event.accept(eventLines));
        long startedNanos = System.nanoTime();
        List<RoutingAction> actions = policy.step(nowMs, events);
        long tookMicros = (System.nanoTime() - startedNanos) / NANOS_PER_MICRO;
        ActionLogger actionLines = new ActionLogger(nowMs, tookMicros);
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

    private void writeLine(double nowMs, String format, Object... values) {
        log.accept(String.format(Locale.ROOT, "%.0f ", nowMs) + String.format(Locale.ROOT, format, values));
    }

    private final class EventLogger implements RoutingEvent.Handler {
        private final double nowMs;

        EventLogger(double nowMs) {
            this.nowMs = nowMs;
        }

        @Override
        public void onRequestArrived(RoutingEvent.RequestArrived e) {
            writeLine(
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
            writeLine(
                    nowMs,
                    "first_token request=%d attempt=%d engine=%x elapsed_ms=%.0f",
                    e.requestId(),
                    e.attempt(),
                    e.engine(),
                    e.elapsedMs());
        }

        @Override
        public void onAttemptEnded(RoutingEvent.AttemptEnded e) {
            writeLine(
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
            writeLine(nowMs, "abandoned request=%d", e.requestId());
        }

        @Override
        public void onEndpointUpdate(RoutingEvent.EndpointUpdate e) {
            int count = e.endpoints().size();
            writeLine(nowMs, "endpoints kind=%s version=%d count=%d", e.kind(), e.version(), count);
            e.endpoints().forEach(this::writeEndpoint);
        }

        private void writeEndpoint(Endpoint e) {
            writeLine(
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

    private final class ActionLogger implements RoutingAction.Handler {
        private final double nowMs;
        private final long tookMicros;

        ActionLogger(double nowMs, long tookMicros) {
            this.nowMs = nowMs;
            this.tookMicros = tookMicros;
        }

        @Override
        public void onStartAttempt(RoutingAction.StartAttempt a) {
            writeLine(nowMs, "start_attempt request=%d engine=%x took_us=%d", a.requestId(), a.engine(), tookMicros);
        }

        @Override
        public void onCancelAttempt(RoutingAction.CancelAttempt a) {
            writeLine(nowMs, "cancel_attempt request=%d attempt=%d", a.requestId(), a.attempt());
        }

        @Override
        public void onReleaseState(RoutingAction.ReleaseState a) {
            writeLine(nowMs, "release_state request=%d", a.requestId());
        }

        @Override
        public void onReservePlace(RoutingAction.ReservePlace a) {
            writeLine(nowMs, "reserve_place request=%d engine=%x", a.requestId(), a.engine());
        }

        @Override
        public void onRejectRequest(RoutingAction.RejectRequest a) {
            writeLine(nowMs, "reject request=%d retry_after_ms=%.0f", a.requestId(), a.retryAfterMs());
        }

        @Override
        public void onFailRequest(RoutingAction.FailRequest a) {
            writeLine(nowMs, "fail request=%d", a.requestId());
        }
    }
}
