package maplerail.server;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import maplerail.config.EngineIds;
import maplerail.config.EngineList;
import maplerail.config.ToolsConfig;
import maplerail.core.AdmissionStage;
import maplerail.core.Broker;
import maplerail.core.DrainSchedule;
import maplerail.core.MemoryBudget;
import maplerail.discovery.ConsulDiscovery;
import maplerail.metrics.Metrics;
import maplerail.net.ConnectionPool;
import maplerail.net.ToolClient;
import maplerail.net.XnioEventLoop;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingSettings;
import maplerail.routing.d2lpm.D2lpmPolicy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The tool servers' side: a broker and a module for each service, and what finds their servers. */
final class ToolServices {
    private static final Logger LOG = LoggerFactory.getLogger(ToolServices.class);
    private static final double IDLE_MS = 10_000; // tool servers name no time after which they close
    private static final double CONNECT_MS = 500;
    private static final int MOST_OPEN = 1_000;
    private static final long CONSUL_DRAWS = 0x5851f42d4c957f2dL; // keeps them apart from the module's

    private final ToolsConfig config;
    private final AdmissionStage admission;
    private final XnioEventLoop loop;
    private final long seed;
    private final ConnectionPool pool;
    private ConsulDiscovery watch;
    private final Map<String, Broker> brokers = new TreeMap<>();
    private final Map<String, ToolClient> clients = new TreeMap<>();

    ToolServices(
            ToolsConfig config,
            XnioEventLoop loop,
            io.undertow.connector.ByteBufferPool buffers,
            long seed,
            int mostConnections,
            Metrics metrics,
            DrainSchedule drain,
            MemoryBudget memory) {
        this.config = config;
        this.loop = loop;
        this.seed = seed;
        this.pool = new ConnectionPool(loop, buffers, IDLE_MS, CONNECT_MS, mostConnections);
        RoutingSettings settings = config.settings(seed);
        admission = new AdmissionStage(config.budgets(MOST_OPEN), memory, loop, new SplittableRandom(~seed), metrics);
        admission.rejectWhile(drain::isRejecting);
        for (String name : config.services().keySet()) {
            ToolClient client = new ToolClient(pool);
            clients.put(name, client);
            brokers.put(
                    name,
                    new Broker(
                            new D2lpmPolicy(settings),
                            settings,
                            admission,
                            loop,
                            client,
                            line -> LOG.info("{}: {}", name, line),
                            metrics,
                            classNames(name)));
        }
    }

    /** The names of a service's classes: its contracts, whose names stay the same. */
    private List<String> classNames(String service) {
        return config.contracts().stream()
                .map(contract -> service + "." + contract.name())
                .toList();
    }

    Map<String, Broker> brokers() {
        return brokers;
    }

    /** Starts to look for the servers; runs on the loop. */
    void start() {
        config.services().forEach((name, service) -> {
            if (!service.servers().isEmpty()) hear(name, listed(service.servers()));
        });
        if (config.consul() == null) return;
        Map<String, ToolsConfig.Service> asked = new HashMap<>(config.services());
        asked.values().removeIf(service -> !service.servers().isEmpty());
        watch = new ConsulDiscovery(
                pool, loop, config.consul(), asked.keySet(), new SplittableRandom(seed ^ CONSUL_DRAWS), this::hear);
        watch.start();
    }

    /** Takes what may change while it runs from a new file: where Consul is, contracts and budgets; for new calls. */
    void reload(ToolsConfig news) {
        if (watch != null && news.consul() != null) watch.redirect(news.consul());
        admission.changeLimits(news.budgets(MOST_OPEN));
        RoutingSettings settings = news.settings(seed);
        brokers.forEach((name, broker) -> broker.changeSettings(settings, classNames(name)));
    }

    private static EngineList listed(List<InetSocketAddress> servers) {
        Map<Long, InetSocketAddress> addresses = new HashMap<>();
        for (InetSocketAddress server : servers) addresses.put(EngineIds.of(server.toString()), server);
        return new EngineList(
                0,
                true,
                addresses.keySet().stream()
                        .sorted()
                        .map(id -> new Endpoint(id, EndpointState.READY, 0, 0, 0, 1, 0))
                        .toList(),
                addresses);
    }

    private void hear(String service, EngineList list) {
        clients.get(service).setAddresses(list.addresses());
        brokers.get(service)
                .updateEndpoints(
                        new RoutingEvent.EndpointUpdate(EndpointUpdateKind.SNAPSHOT, list.version(), list.members()));
    }

    int remembered() {
        return brokers.values().stream().mapToInt(Broker::openRequests).sum();
    }
}
