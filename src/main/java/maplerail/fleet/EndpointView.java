package maplerail.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.RoutingEvent.EndpointUpdate;

/**
 * The endpoint list as a gateway's routing policy is to see it: that of service discovery, in which engines that the tier
 * has ejected ({@link OutlierConsensus}) are draining. What discovery says of an engine counts in any case.
 */
public final class EndpointView {
    private final Map<Long, Endpoint> listed = new TreeMap<>();
    private final Set<Long> ejected = new TreeSet<>();
    private long version;

    /** Applies an update of service discovery and returns it as the policy is to see it. */
    public EndpointUpdate apply(EndpointUpdate update) {
        if (update.kind() == EndpointUpdateKind.FAILED) return update;
        if (update.kind() != EndpointUpdateKind.DELTA) listed.clear();
        version = update.version();
        for (Endpoint endpoint : update.endpoints()) {
            if (endpoint.state() == EndpointState.REMOVED) listed.remove(endpoint.engine());
            else listed.put(endpoint.engine(), endpoint);
        }
        ejected.retainAll(listed.keySet());
        return new EndpointUpdate(update.kind(), version, visible(update.endpoints()));
    }

    /** Sets the engines that are ejected from now on; an update for the policy if that changes anything for it. */
    public Optional<EndpointUpdate> setEjected(Set<Long> engines) {
        List<Endpoint> changed = new ArrayList<>();
        for (Endpoint endpoint : listed.values()) {
            boolean was = ejected.contains(endpoint.engine());
            if (was == engines.contains(endpoint.engine())) continue;
            if (was) ejected.remove(endpoint.engine());
            else ejected.add(endpoint.engine());
            if (isReady(endpoint)) changed.add(endpoint);
        }
        if (changed.isEmpty()) return Optional.empty();
        return Optional.of(new EndpointUpdate(EndpointUpdateKind.DELTA, version, visible(changed)));
    }

    private List<Endpoint> visible(List<Endpoint> endpoints) {
        return endpoints.stream().map(this::visible).toList();
    }

    private Endpoint visible(Endpoint endpoint) {
        boolean hidden = isReady(endpoint) && ejected.contains(endpoint.engine());
        return hidden ? endpoint.withState(EndpointState.DRAINING) : endpoint;
    }

    private static boolean isReady(Endpoint endpoint) {
        return endpoint.state() == EndpointState.READY;
    }

    /** The engines that discovery lists, with the index of their kind. */
    public Map<Long, Integer> kindsByEngine() {
        Map<Long, Integer> kinds = new TreeMap<>();
        listed.forEach((engine, endpoint) -> kinds.put(engine, endpoint.kind()));
        return kinds;
    }

    /** The number of engines that discovery has ready and the policy is to leave alone. */
    public int ejectedEngines() {
        return (int)
                ejected.stream().filter(engine -> isReady(listed.get(engine))).count();
    }
}
