package maplerail.core;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.EngineRole;
import maplerail.routing.RoutingEvent.EndpointUpdate;
import maplerail.routing.RoutingSettings.EngineKind;

/** The engines in the endpoint list: their roles, and which of them accept new work. */
final class EngineDirectory {
    private final List<EngineKind> kinds;
    private final Map<Long, EngineRole> roles = new HashMap<>();
    private final Set<Long> ready = new HashSet<>();

    EngineDirectory(List<EngineKind> kinds) {
        this.kinds = kinds;
    }

    void apply(EndpointUpdate update) {
        if (update.kind() == EndpointUpdateKind.FAILED) return;
        if (update.kind() != EndpointUpdateKind.DELTA) {
            ready.clear();
            roles.clear();
        }
        update.endpoints().forEach(this::apply);
    }

    private void apply(Endpoint endpoint) {
        long engine = endpoint.engine();
        if (endpoint.kind() < kinds.size())
            roles.put(engine, kinds.get(endpoint.kind()).role());
        if (endpoint.state() == EndpointState.READY) ready.add(engine);
        else ready.remove(engine);
        if (endpoint.state() == EndpointState.REMOVED) roles.remove(engine);
    }

    boolean isReady(long engine) {
        return ready.contains(engine);
    }

    /** An unmodifiable live view of the ready engines. */
    Set<Long> readyEngines() {
        return Collections.unmodifiableSet(ready);
    }

    boolean isReader(long engine) {
        return roles.get(engine) == EngineRole.READER;
    }

    Set<Long> readers() {
        return roles.keySet().stream().filter(this::isReader).collect(Collectors.toSet());
    }

    /** The number of engines in the endpoint list. */
    int size() {
        return roles.size();
    }
}
