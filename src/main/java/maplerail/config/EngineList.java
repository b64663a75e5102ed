package maplerail.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;

/**
 * A list of engines, or the changes to one, as discovery words it: what to tell the module, where they are, and by what names
 * discovery knows them.
 */
public record EngineList(
        long version,
        boolean whole,
        List<Endpoint> members,
        Map<Long, InetSocketAddress> addresses,
        Map<Long, String> hosts) {
    private static final int UNKNOWN = 255; // a kind or zone that the settings do not name

    /** The same where engines have no names but their addresses. */
    public EngineList(long version, boolean whole, List<Endpoint> members, Map<Long, InetSocketAddress> addresses) {
        this(version, whole, members, addresses, Map.of());
    }

    /** Reads discovery's JSON. An entry that cannot be read is passed over, as one must not hide the others. */
    public static EngineList read(Tree root, Names names) {
        List<Endpoint> members = new ArrayList<>();
        Map<Long, InetSocketAddress> addresses = new LinkedHashMap<>();
        Map<Long, String> hosts = new LinkedHashMap<>();
        for (Tree host : root.need("hosts").list()) {
            String name = host.at("host").text("");
            if (name.isEmpty()) continue;
            long id = EngineIds.of(name);
            InetSocketAddress address = Address.parse(host.at("dial").text(null));
            EndpointState state = state(host.at("health").text(""));
            if (state == EndpointState.READY && address == null) continue;
            if (address != null) addresses.put(id, address);
            hosts.put(id, name);
            members.add(new Endpoint(
                    id,
                    state,
                    host.at("born_ms").number(0),
                    place(names.zones(), host.at("site")),
                    (int) host.at("block").number(0),
                    host.at("share").number(1),
                    place(names.kinds(), host.at("class"))));
        }
        return new EngineList(
                (long) root.need("seq").number(),
                root.at("whole").flag(),
                List.copyOf(members),
                Map.copyOf(addresses),
                Map.copyOf(hosts));
    }

    /** A health that is not known gets nothing new: safer than work for an engine that may want none. */
    private static EndpointState state(String health) {
        return switch (health) {
            case "in_service" -> EndpointState.READY;
            case "terminated" -> EndpointState.REMOVED;
            default -> EndpointState.DRAINING;
        };
    }

    private static int place(List<String> among, Tree name) {
        int at = among.indexOf(name.text(""));
        return at >= 0 ? at : UNKNOWN;
    }
}
