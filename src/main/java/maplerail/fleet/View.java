package maplerail.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.RoutingEvent.EndpointUpdate;

/**
 * The list of engines as a gateway's module is to see it: discovery's, in which engines that the tier holds
 * ({@link Outliers}) are draining. What discovery says of an engine counts whatever the tier does: held or not, one that
 * drains or is gone is told as that.
 */
public final class View {
    private final Map<Long, Endpoint> listed = new TreeMap<>();
    private final Set<Long> held = new TreeSet<>();
    private long version;

    /** Discovery's news, as the module is to hear them. */
    public EndpointUpdate hear(EndpointUpdate news) {
        if (news.kind() == EndpointUpdateKind.FAILED) return news;
        if (news.kind() != EndpointUpdateKind.DELTA) listed.clear();
        version = news.version();
        for (Endpoint member : news.endpoints()) {
            if (member.state() == EndpointState.REMOVED) listed.remove(member.engine());
            else listed.put(member.engine(), member);
        }
        held.retainAll(listed.keySet());
        return new EndpointUpdate(
                news.kind(), version, news.endpoints().stream().map(this::seen).toList());
    }

    /** The engines that are held from now on: news for the module, or null where nothing changes. */
    public EndpointUpdate hold(Set<Long> now) {
        List<Long> changed = new ArrayList<>();
        for (long engine : listed.keySet()) {
            boolean was = held.contains(engine);
            if (was == now.contains(engine)) continue;
            if (was) held.remove(engine);
            else held.add(engine);
            if (listed.get(engine).state() == EndpointState.READY) changed.add(engine);
        }
        if (changed.isEmpty()) return null;
        return new EndpointUpdate(
                EndpointUpdateKind.DELTA,
                version,
                changed.stream().map(listed::get).map(this::seen).toList());
    }

    private Endpoint seen(Endpoint real) {
        if (real.state() != EndpointState.READY || !held.contains(real.engine())) return real;
        return new Endpoint(
                real.engine(),
                EndpointState.DRAINING,
                real.startedMs(),
                real.zone(),
                real.cell(),
                real.capacityScale(),
                real.kind());
    }

    /** The engines that discovery names, by their kinds. */
    public Map<Long, Integer> kinds() {
        Map<Long, Integer> out = new TreeMap<>();
        listed.forEach((engine, member) -> out.put(engine, member.kind()));
        return out;
    }

    /** Engines that discovery wants to be used and the module is told to leave alone. */
    public int held() {
        return (int) held.stream()
                .filter(e -> listed.get(e).state() == EndpointState.READY)
                .count();
    }
}
