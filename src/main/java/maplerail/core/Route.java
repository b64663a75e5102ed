package maplerail.core;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingPolicy;

/** Third stage: tells the module each event in order and hands on each action, one after the other; then all is settled. */
final class Route {
    private final RoutingPolicy router;
    private final Loop loop;
    private final Consumer<RoutingAction> perform;
    private final ArrayDeque<RoutingEvent> waiting = new ArrayDeque<>();
    private final Runnable settled;
    private final Consumer<String> log;
    private boolean stepping;

    Route(RoutingPolicy router, Loop loop, Consumer<RoutingAction> perform, Runnable settled, Consumer<String> log) {
        this.router = router;
        this.loop = loop;
        this.perform = perform;
        this.settled = settled;
        this.log = log;
    }

    /** Guards against a fault of the module: it costs this event; the deadline's guard answers its request. */
    private List<RoutingAction> decide(RoutingEvent event) {
        try {
            return router.step(loop.nowMs(), List.of(event));
        } catch (RuntimeException e) {
            log.accept("the module failed on " + event.getClass().getSimpleName() + ": " + e);
            return List.of();
        }
    }

    int avoided() {
        return router.ejectedEngines();
    }

    List<RoutingEvent.PrefixCached> learned() {
        return router.cachedPrefixes();
    }

    /** An event that an action brings about waits until the actions before it are done. */
    void tell(RoutingEvent event) {
        waiting.add(event);
        if (stepping) return;
        stepping = true;
        try {
            for (RoutingEvent next = waiting.poll(); next != null; next = waiting.poll()) {
                decide(next).forEach(perform);
            }
            settled.run();
        } finally {
            stepping = false;
        }
    }
}
