package maplerail.core;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.EngineRole;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingSettings;

/** Which engines the list has named, what they do, and which of them want new work. */
final class Fleet {
    private final List<RoutingSettings.EngineKind> kinds;
    private final Map<Long, EngineRole> roles = new HashMap<>();
    private final Set<Long> ready = new HashSet<>();

    Fleet(List<RoutingSettings.EngineKind> kinds) {
        this.kinds = kinds;
    }

    void hear(RoutingEvent.EndpointUpdate news) {
        if (news.kind() == EndpointUpdateKind.FAILED) return;
        if (news.kind() != EndpointUpdateKind.DELTA) {
            ready.clear();
            roles.clear();
        }
        for (Endpoint member : news.endpoints()) {
            if (member.kind() < kinds.size())
                roles.put(member.engine(), kinds.get(member.kind()).role());
            if (member.state() == EndpointState.READY) ready.add(member.engine());
            else ready.remove(member.engine());
            // Guards against a table that grows with every engine that ever was.
            if (member.state() == EndpointState.REMOVED) roles.remove(member.engine());
        }
    }

    boolean ready(long engine) {
        return ready.contains(engine);
    }

    Set<Long> allReady() {
        return Collections.unmodifiableSet(ready);
    }

    /** Engines of which anything is remembered. */
    int size() {
        return roles.size();
    }

    Set<Long> readers() {
        Set<Long> readers = new HashSet<>();
        roles.forEach((engine, role) -> {
            if (role == EngineRole.READER) readers.add(engine);
        });
        return readers;
    }

    boolean reader(long engine) {
        return roles.get(engine) == EngineRole.READER;
    }
}
