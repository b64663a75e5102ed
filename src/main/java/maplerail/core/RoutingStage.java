package maplerail.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingPolicy;

/** Third stage: reports each event to the policy, in order, and has its actions carried out, one after the other. */
final class RoutingStage {
    private final RoutingPolicy policy;
    private final EventLoop loop;
    private final RoutingAction.Handler actions;
    private final Runnable onSettled;
    private final Consumer<String> log;
    private final Deque<RoutingEvent> pending = new ArrayDeque<>();
    private boolean running;

    /**
     * Creates the stage.
     *
     * @param actions carries the policy's actions out
     * @param onSettled is run whenever all events have been handled
     */
    RoutingStage(
            RoutingPolicy policy,
            EventLoop loop,
            RoutingAction.Handler actions,
            Runnable onSettled,
            Consumer<String> log) {
        this.policy = policy;
        this.loop = loop;
        this.actions = actions;
        this.onSettled = onSettled;
        this.log = log;
    }

    RoutingPolicy policy() {
        return policy;
    }

    /** Reports an event. One that is caused by an action waits until the actions before it are done. */
    void report(RoutingEvent event) {
        pending.add(event);
        if (running) return;
        running = true;
        try {
            for (RoutingEvent next = pending.poll(); next != null; next = pending.poll()) {
                decide(next).forEach(action -> action.accept(actions));
            }
            onSettled.run();
        } finally {
            running = false;
        }
    }

    /** A failure of the policy costs this event only: the request concerned is answered by its deadline timer. */
    private List<RoutingAction> decide(RoutingEvent event) {
        try {
            return policy.step(loop.nowMs(), List.of(event));
        } catch (RuntimeException e) {
            log.accept("routing policy failed event=" + event.getClass().getSimpleName() + " error=" + e);
            return List.of();
        }
    }
}
