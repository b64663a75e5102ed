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
import maplerail.net.ConnectionPool;
import maplerail.net.XnioEventLoop;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;

/**
 * Watches services in Consul: the catalogue lists the services, the health API their servers and whether they are
 * healthy.
 */
public final class ConsulDiscovery {
    private static final Set<String> HEALTHY = Set.of("passing", "warning");

    private final ConnectionPool pool;
    private final XnioEventLoop loop;
    private final Set<String> servicesToWatch;
    private final BiConsumer<String, EngineList> onList;
    private final SplittableRandom random;
    private final Set<String> watchedServices = new HashSet<>();
    private final List<BlockingQuery> queries = new ArrayList<>();
    private InetSocketAddress address;
    private long version;

    /**
     * Creates a watch, which {@link #start} starts.
     *
     * @param services the names of the services to watch
     * @param onList receives the complete list of a service whenever it changes
     */
    public ConsulDiscovery(
            ConnectionPool pool,
            XnioEventLoop loop,
            InetSocketAddress address,
            Set<String> services,
            SplittableRandom random,
            BiConsumer<String, EngineList> onList) {
        this.pool = pool;
        this.loop = loop;
        this.address = address;
        this.servicesToWatch = Set.copyOf(services);
        this.random = random;
        this.onList = onList;
    }

    /** Starts to watch the catalogue, and each requested service once it is in the catalogue. */
    public void start() {
        query("/v1/catalog/services", catalogue -> {
            for (String service : catalogue.keys()) {
                if (servicesToWatch.contains(service) && watchedServices.add(service)) watch(service);
            }
        });
    }

    /** Queries another agent from now on; the current lists stay in effect until it answers. */
    public void redirect(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) return;
        address = newAddress;
        queries.forEach(query -> query.redirect(newAddress));
    }

    private void query(String path, Consumer<Tree> onResult) {
        BlockingQuery query = new BlockingQuery(pool, loop, address, path, random.split(), onResult);
        queries.add(query);
        query.poll();
    }

    private void watch(String service) {
        query("/v1/health/service/" + service, result -> {
            version++;
            onList.accept(service, parse(result, version));
        });
    }

    /** Parses the servers in a health API response; those without a valid address are skipped. */
    static EngineList parse(Tree result, long version) {
        List<Endpoint> endpoints = new ArrayList<>();
        Map<Long, InetSocketAddress> addresses = new HashMap<>();
        for (Tree entry : result.list()) {
            Tree service = entry.at("Service");
            String host = service.at("Address").text("");
            if (host.isEmpty()) host = entry.at("Node").at("Address").text("");
            InetSocketAddress server =
                    Address.parse(host + ":" + (long) service.at("Port").number(0));
            if (server == null || server.getPort() == 0) continue;
            String node = entry.at("Node").at("Node").text("");
            long id = EngineIds.of(node + "/" + service.at("ID").text(host));
            addresses.put(id, server);
            endpoints.add(new Endpoint(id, stateOf(entry.at("Checks").list()), 0, 0, 0, 1, 0));
        }
        return new EngineList(version, true, List.copyOf(endpoints), Map.copyOf(addresses));
    }

    /** A server with a critical check, or with a check of unknown status, gets no new requests. */
    private static EndpointState stateOf(List<Tree> checks) {
        boolean healthy = checks.stream()
                .allMatch(check -> HEALTHY.contains(check.at("Status").text("")));
        return healthy ? EndpointState.READY : EndpointState.DRAINING;
    }
}
