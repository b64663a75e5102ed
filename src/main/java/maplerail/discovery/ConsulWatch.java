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

/** Consul's catalogue says which services there are; its health API says which of their servers may be called. */
public final class ConsulWatch {
    private final Pool pool;
    private final XnioLoop loop;
    private InetSocketAddress at;
    private final Set<String> wanted;
    private final BiConsumer<String, EngineList> news;
    private final SplittableRandom random;
    private final Set<String> watched = new HashSet<>();
    private final List<BlockingQuery> queries = new ArrayList<>();
    private long version;

    /** Makes a watch for some services, which tells the whole list of a service each time. */
    public ConsulWatch(
            Pool pool,
            XnioLoop loop,
            InetSocketAddress at,
            Set<String> wanted,
            SplittableRandom random,
            BiConsumer<String, EngineList> news) {
        this.pool = pool;
        this.loop = loop;
        this.at = at;
        this.wanted = Set.copyOf(wanted);
        this.random = random;
        this.news = news;
    }

    /** Watches the catalogue, and each wanted service from when it is first in there. */
    public void start() {
        query("/v1/catalog/services", catalogue -> {
            for (String name : catalogue.keys()) {
                if (wanted.contains(name) && watched.add(name)) watch(name);
            }
        });
    }

    /** Asks another agent from now on; what is known stays known until it answers. */
    public void move(InetSocketAddress to) {
        if (to.equals(at)) return;
        at = to;
        queries.forEach(query -> query.move(to));
    }

    private void query(String path, Consumer<Tree> told) {
        BlockingQuery query = new BlockingQuery(pool, loop, at, path, random.split(), told);
        queries.add(query);
        query.ask();
    }

    private void watch(String name) {
        query("/v1/health/service/" + name, answer -> news.accept(name, read(answer, ++version)));
    }

    /** The servers in an answer of the health API; one with a critical check gets nothing new. */
    static EngineList read(Tree answer, long version) {
        List<Endpoint> members = new ArrayList<>();
        Map<Long, InetSocketAddress> addresses = new HashMap<>();
        for (Tree entry : answer.list()) {
            Tree service = entry.at("Service");
            String host = service.at("Address").text("");
            if (host.isEmpty()) host = entry.at("Node").at("Address").text("");
            InetSocketAddress address =
                    Address.parse(host + ":" + (long) service.at("Port").number(0));
            if (address == null || address.getPort() == 0) continue;
            long id = EngineIds.of(entry.at("Node").at("Node").text("") + "/"
                    + service.at("ID").text(host));
            boolean critical = entry.at("Checks").list().stream()
                    .anyMatch(check -> !Set.of("passing", "warning")
                            .contains(check.at("Status").text("")));
            addresses.put(id, address);
            members.add(new Endpoint(id, critical ? EndpointState.DRAINING : EndpointState.READY, 0, 0, 0, 1, 0));
        }
        return new EngineList(version, true, List.copyOf(members), Map.copyOf(addresses));
    }
}
