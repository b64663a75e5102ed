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
     * Reports what has happened and returns what is to be done.
     *
     * @param nowMs the time at which the events are reported, in milliseconds; never less than in an earlier call
     * @param events the events in the order in which they happened
     * @return the actions, to be carried out in this order
     */
    List<RoutingAction> step(double nowMs, List<? extends RoutingEvent> events);

    /** The number of listed engines that get no new work for now because of recent failures or slowness. */
    default int ejectedEngines() {
        return 0;
    }

    /** The prompt prefixes that are assumed to be cached at engines, for a policy that takes over from this one. */
    default List<RoutingEvent.PrefixCached> cachedPrefixes() {
        return List.of();
    }
}
