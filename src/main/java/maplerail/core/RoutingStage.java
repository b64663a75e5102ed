package maplerail.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingPolicy;

/** Third stage: reports events to the policy in order, and executes the resulting actions one after the other. */
final class RoutingStage {
    private final RoutingPolicy policy;
    private final EventLoop loop;
    private final RoutingAction.Handler actions;
    private final Runnable onEventsHandled;
    private final Consumer<String> log;
    private final Deque<RoutingEvent> pending = new ArrayDeque<>();
    private boolean running;

    /**
     * Creates the stage.
     *
     * @param actions executes the policy's actions
     * @param onEventsHandled runs whenever all events have been handled
     */
    RoutingStage(
            RoutingPolicy policy,
            EventLoop loop,
            RoutingAction.Handler actions,
            Runnable onEventsHandled,
            Consumer<String> log) {
        this.policy = policy;
        this.loop = loop;
        this.actions = actions;
        this.onEventsHandled = onEventsHandled;
        this.log = log;
    }

    RoutingPolicy policy() {
        return policy;
    }

    /** Reports an event. One that is caused by an action is queued until all actions of the current event have run. */
    void report(RoutingEvent event) {
        pending.add(event);
        if (running) return;
        running = true;
        try {
            for (RoutingEvent next = pending.poll(); next != null; next = pending.poll()) {
                decide(next).forEach(action -> action.accept(actions));
            }
            onEventsHandled.run();
        } finally {
            running = false;
        }
    }

    /** An exception or error in the policy loses this event only: the deadline timer then fails the request concerned. */
    private List<RoutingAction> decide(RoutingEvent event) {
        try {
            return policy.step(loop.nowMs(), List.of(event));
        } catch (RuntimeException | Error e) {
            log.accept("routing policy failed event=" + event.getClass().getSimpleName() + " error=" + e);
            return List.of();
        }
    }
}
