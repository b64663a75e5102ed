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
 * The endpoint list as a gateway's routing policy sees it: the list of service discovery, in which ready engines that
 * the tier has ejected ({@link OutlierConsensus}) are shown as draining. An engine that discovery reports as draining
 * or removed keeps that state.
 */
public final class EndpointView {
    private final Map<Long, Endpoint> listed = new TreeMap<>();
    private final Set<Long> ejected = new TreeSet<>();
    private long version;

    /** Applies an update from service discovery and returns the update for the policy. */
    public EndpointUpdate apply(EndpointUpdate update) {
        if (update.kind() == EndpointUpdateKind.FAILED) return update;
        if (update.kind() != EndpointUpdateKind.DELTA) listed.clear();
        version = update.version();
        for (Endpoint endpoint : update.endpoints()) {
            if (endpoint.state() == EndpointState.REMOVED) listed.remove(endpoint.engine());
            else listed.put(endpoint.engine(), endpoint);
        }
        ejected.retainAll(listed.keySet());
        return new EndpointUpdate(update.kind(), version, withEjections(update.endpoints()));
    }

    /** Sets the ejected engines and returns an update for the policy, or empty if nothing changes for it. */
    public Optional<EndpointUpdate> setEjected(Set<Long> engines) {
        List<Endpoint> changed = new ArrayList<>();
        for (Endpoint endpoint : listed.values()) {
            boolean wasEjected = ejected.contains(endpoint.engine());
            if (wasEjected == engines.contains(endpoint.engine())) continue;
            if (wasEjected) ejected.remove(endpoint.engine());
            else ejected.add(endpoint.engine());
            if (isReady(endpoint)) changed.add(endpoint);
        }
        if (changed.isEmpty()) return Optional.empty();
        return Optional.of(new EndpointUpdate(EndpointUpdateKind.DELTA, version, withEjections(changed)));
    }

    private List<Endpoint> withEjections(List<Endpoint> endpoints) {
        return endpoints.stream().map(this::withEjections).toList();
    }

    private Endpoint withEjections(Endpoint endpoint) {
        boolean shownAsDraining = isReady(endpoint) && ejected.contains(endpoint.engine());
        return shownAsDraining ? endpoint.withState(EndpointState.DRAINING) : endpoint;
    }

    private static boolean isReady(Endpoint endpoint) {
        return endpoint.state() == EndpointState.READY;
    }

    /** Returns the engines that discovery lists, each with the index of its kind. */
    public Map<Long, Integer> kindsByEngine() {
        Map<Long, Integer> kinds = new TreeMap<>();
        listed.forEach((engine, endpoint) -> kinds.put(engine, endpoint.kind()));
        return kinds;
    }

    /** Returns the number of engines that are ready according to discovery but ejected. */
    public int ejectedEngines() {
        return (int)
                ejected.stream().filter(engine -> isReady(listed.get(engine))).count();
    }
}
