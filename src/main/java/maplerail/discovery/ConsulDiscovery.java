package maplerail.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import maplerail.config.Address;
import maplerail.config.EngineIds;
import maplerail.config.EngineList;
import maplerail.config.Tree;
import maplerail.net.Pool;
import maplerail.net.XnioLoop;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;

/** Watches services in Consul: its catalogue says which there are, its health API which of their servers may be called. */
public final class ConsulDiscovery {
    private static final Set<String> HEALTHY = Set.of("passing", "warning");

    private final Pool pool;
    private final XnioLoop loop;
    private final Set<String> wantedServices;
    private final BiConsumer<String, EngineList> onList;
    private final SplittableRandom random;
    private final Set<String> watchedServices = new HashSet<>();
    private final List<BlockingQuery> queries = new ArrayList<>();
    private InetSocketAddress address;
    private long version;

    /**
     * Creates a watch that has not started.
     *
     * @param services the names of the services to watch
     * @param onList receives the complete list of a service each time that it changes
     */
    public ConsulDiscovery(
            Pool pool,
            XnioLoop loop,
            InetSocketAddress address,
            Set<String> services,
            SplittableRandom random,
            BiConsumer<String, EngineList> onList) {
        this.pool = pool;
        this.loop = loop;
        this.address = address;
        this.wantedServices = Set.copyOf(services);
        this.random = random;
        this.onList = onList;
    }

    /** Watches the catalogue, and each wanted service from when it is first in there. */
    public void start() {
        query("/v1/catalog/services", catalogue -> {
            for (String service : catalogue.keys()) {
                if (wantedServices.contains(service) && watchedServices.add(service)) watch(service);
            }
        });
    }

    /** Asks another agent from now on; what is known stays known until it answers. */
    public void redirect(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) return;
        address = newAddress;
        queries.forEach(query -> query.redirect(newAddress));
    }

    private void query(String path, Consumer<Tree> onAnswer) {
        BlockingQuery query = new BlockingQuery(pool, loop, address, path, random.split(), onAnswer);
        queries.add(query);
        query.poll();
    }

    private void watch(String service) {
        query("/v1/health/service/" + service, answer -> {
            version++;
            onList.accept(service, read(answer, version));
        });
    }

    /** The servers in an answer of the health API; those without a valid address are left out. */
    static EngineList read(Tree answer, long version) {
        List<Endpoint> endpoints = new ArrayList<>();
        Map<Long, InetSocketAddress> addresses = new HashMap<>();
        for (Tree entry : answer.list()) {
            Tree service = entry.at("Service");
            String host = service.at("Address").text("");
            if (host.isEmpty()) host = entry.at("Node").at("Address").text("");
            InetSocketAddress server =
                    Address.parse(host + ":" + (long) service.at("Port").number(0));
            if (server == null || server.getPort() == 0) continue;
            String node = entry.at("Node").at("Node").text("");
            long id = EngineIds.of(node + "/" + service.at("ID").text(host));
            addresses.put(id, server);
            endpoints.add(new Endpoint(id, state(entry.at("Checks").list()), 0, 0, 0, 1, 0));
        }
        return new EngineList(version, true, List.copyOf(endpoints), Map.copyOf(addresses));
    }

    /** A server with a critical check, or one that is not known, gets nothing new. */
    private static EndpointState state(List<Tree> checks) {
        boolean healthy = checks.stream()
                .allMatch(check -> HEALTHY.contains(check.at("Status").text("")));
        return healthy ? EndpointState.READY : EndpointState.DRAINING;
    }
}
