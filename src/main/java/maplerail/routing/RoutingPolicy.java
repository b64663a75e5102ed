package maplerail.routing;

import java.util.List;

/**
 * Decides which engine serves a request, whether it is retried and whether it is rejected.
 *
 * <p>A policy belongs to one gateway and is called from one thread only. It is deterministic: the same settings and
 * the same calls yield the same actions. {@link maplerail.routing.d2lpm.D2lpmPolicy} is the implementation.
 */
public interface RoutingPolicy {

    /**
     * Processes events and returns the resulting actions.
     *
     * @param nowMs the time at which the events are reported, in milliseconds; never less than in an earlier call
     * @param events the events in the order in which they occurred
     * @return the actions, in the order in which the gateway has to execute them
     */
    List<RoutingAction> step(double nowMs, List<? extends RoutingEvent> events);

    /** Returns the number of listed engines that are ejected because of recent failures or slowness. */
    default int ejectedEngines() {
        return 0;
    }

    /** Returns the prompt prefixes that are assumed to be cached at engines, for the policy that replaces this one. */
    default List<RoutingEvent.PrefixCached> cachedPrefixes() {
        return List.of();
    }
}
