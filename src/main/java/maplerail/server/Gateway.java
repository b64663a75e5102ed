package maplerail.server;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import maplerail.config.ConfigException;
import maplerail.config.EngineList;
import maplerail.config.NodeConfig;
import maplerail.config.ToolsConfig;
import maplerail.core.AdmissionLimits;
import maplerail.core.AdmissionStage;
import maplerail.core.Broker;
import maplerail.core.DecisionLog;
import maplerail.core.DrainSchedule;
import maplerail.core.Lifecycle.Phase;
import maplerail.core.MemoryBudget;
import maplerail.discovery.PlatformDiscovery;
import maplerail.front.ConnectionManager;
import maplerail.front.admin.AdminListener;
import maplerail.front.admin.AdminOperations;
import maplerail.front.platform.PlatformFront;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import maplerail.metrics.Metrics.Figure;
import maplerail.migration.SharedExecutionLog;
import maplerail.net.ConnectionPool;
import maplerail.net.EngineClient;
import maplerail.net.XnioEventLoop;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.RoutingEvent.EndpointUpdate;
import maplerail.routing.RoutingPolicy;
import maplerail.routing.RoutingSettings;
import maplerail.routing.d2lpm.D2lpmPolicy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.IoThreadListener;

/**
 * One gateway: wires its parts, starts them, and passes on what changes while it runs. Public methods may be called from any
 * thread, unless they say otherwise.
 */
public final class Gateway implements AdminOperations {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    // They keep the draws of discovery and of advice to clients apart from the policy's.
    private static final long DISCOVERY_SEED = 0x5bd1e995a7c3f1d1L;
    private static final long ADVICE_SEED = 0x27d4eb2f165667c5L;
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_POOLED_BUFFERS = 512;
    private static final double FIRST_LIST_MS = 1_000; // for which a start waits for discovery before it listens
    private static final double MIGRATION_DELAY_MS = 100; // after it listens, from which streams may come here
    private static final double PUBLISH_MS = 100; // between two looks at the engines for the metrics

    private final GatewayLifecycle lifecycle = new GatewayLifecycle();
    private final Metrics metrics = new Metrics();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final CompletableFuture<Void> opened = new CompletableFuture<>(); // clients may come, or never will
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
    private final XnioWorker worker;
    private final XnioEventLoop loop;
    private final DescriptorBudget descriptors;
    private final MemoryBudget memory;
    private final Optional<Path> sharedFolder;
    private final AdmissionStage admission;
    private final ConnectionPool enginePool;
    private final ConnectionPool discoveryPool;
    private final EngineClient engines;
    private final Broker broker;
    private final PlatformFront platform;
    private final PlatformDiscovery discovery;
    private final PeerService peers;
    private final Optional<HandoverService> handover;
    private final Optional<ToolGateway> tools;
    private final DrainSchedule drainSchedule;
    private final LameDuckController lameDuck;
    private final DrainController drain;
    private volatile NodeConfig config;
    private volatile FrontListener listener; // null until it listens
    private volatile AdminListener admin; // null unless operators have an address
    private Optional<StreamMigration> migration = Optional.empty();

    /** Creates a gateway that does not listen yet; {@code toolsConfig} is null where the second front is off. */
    public Gateway(NodeConfig config, ToolsConfig toolsConfig) throws IOException {
        this(config, toolsConfig, null);
    }

    /** The same with a folder for what a process hands to the next one; null for none. */
    public Gateway(NodeConfig config, ToolsConfig toolsConfig, Path sharedFolder) throws IOException {
        this.config = config;
        this.sharedFolder = Optional.ofNullable(sharedFolder);
        worker = createWorker();
        loop = new XnioEventLoop(worker.getIoThread(), metrics);
        NodeConfig.Wire wire = config.wire();
        descriptors = new DescriptorBudget(wire.sockets(), toolsConfig != null, config.admin() != null);
        enginePool = createPool(wire, descriptors.engines(), metrics);
        discoveryPool = createPool(wire, descriptors.discovery(), new Metrics()).withoutSettleDelay();
        engines = new EngineClient(enginePool, metrics);
        RoutingSettings settings = config.settings();
        SplittableRandom advice = new SplittableRandom(settings.seed() ^ ADVICE_SEED);
        memory = MemoryBudget.ofPlatform(Runtime.getRuntime().maxMemory(), metrics);
        admission = new AdmissionStage(AdmissionLimits.ofOpenRequests(wire.maxOpen()), memory, loop, advice, metrics);
        drainSchedule = new DrainSchedule(lifecycle.phases(), loop);
        admission.rejectWhile(drainSchedule::isRejecting);
        broker = new Broker(
                createPolicy(settings),
                settings,
                admission,
                loop,
                engines,
                line -> LOG.info("{}", line),
                metrics,
                config.names().classes());
        platform = new PlatformFront(broker, config.names(), lifecycle.phases(), metrics);
        discovery = new PlatformDiscovery(
                discoveryPool,
                loop,
                config.discovery(),
                config.names(),
                !settings.mustSubscribe(),
                new SplittableRandom(settings.seed() ^ DISCOVERY_SEED),
                this::onEndpointList,
                metrics::listRejected);
        broker.setEndpointRefresh(discovery::refresh);
        broker.setEngineNames(engines::describe);
        this.sharedFolder.ifPresent(this::shareExecutionLog);
        enginePool.setBeforeUseHook(discovery::refresh);
        tools = Optional.ofNullable(toolsConfig).map(this::createTools);
        peers = createPeers(config);
        handover = this.sharedFolder.map(
                folder -> new HandoverService(folder, worker, loop, broker, lifecycle::isStopping));
        lameDuck = new LameDuckController(loop, lifecycle, this::closeIdleConnections, this::clientsLeft);
        drain = new DrainController(loop, lifecycle, broker, new DrainHost());
    }

    /** Without it an upgrade goes on: what this process may have executed is then known to itself only. */
    private void shareExecutionLog(Path folder) {
        try {
            broker.setExecutionLog(new SharedExecutions(SharedExecutionLog.open(folder)));
        } catch (IOException | RuntimeException e) {
            LOG.warn("executions are not shared with the other process of an upgrade error={}", e.toString());
        }
    }

    private static XnioWorker createWorker() throws IOException {
        return Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.THREAD_DAEMON, false)
                        .getMap());
    }

    private ConnectionPool createPool(NodeConfig.Wire wire, int maxConnections, Metrics dials) {
        return new ConnectionPool(loop, buffers, wire.connIdleMs(), wire.connectTimeoutMs(), maxConnections, dials);
    }

    /** The routing policy; its decisions are logged where the operators have that logger on. */
    private static RoutingPolicy createPolicy(RoutingSettings settings) {
        Logger decisions = LoggerFactory.getLogger(DecisionLog.class);
        RoutingPolicy policy = new D2lpmPolicy(settings);
        return decisions.isDebugEnabled() ? new DecisionLog(policy, decisions::debug) : policy;
    }

    private ToolGateway createTools(ToolsConfig toolsConfig) {
        return new ToolGateway(
                toolsConfig,
                config,
                broker,
                lifecycle.phases(),
                drainSchedule,
                metrics,
                worker,
                loop,
                buffers,
                descriptors,
                MemoryBudget.ofTools(Runtime.getRuntime().maxMemory(), metrics));
    }

    private PeerService createPeers(NodeConfig initial) {
        if (initial.peers() == null) return PeerService.NONE;
        return new TierPeerService(
                initial.peers(),
                worker,
                loop,
                broker,
                metrics,
                initial.settings().seed(),
                lifecycle::isStopping,
                this::applySettings);
    }

    // ---- Start ----

    /**
     * Starts to serve; returns once it listens, or was told to stop before it did.
     *
     * @throws IOException if an address can't be listened on
     * @throws ConfigException if the configuration names a socket that is none
     */
    public void start() throws IOException {
        loop.execute(this::startOnLoop);
        if (config.admin() != null) admin = new AdminListener(config.admin(), this);
        loop.execute(this::awaitEndpointList);
        try {
            opened.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof IOException failure) throw failure;
            if (e.getCause() instanceof RuntimeException failure) throw failure;
            throw e;
        }
    }

    private void startOnLoop() {
        EngineList known = config.known();
        if (known != null) {
            engines.updateEngines(known);
            updateEndpoints(known, EndpointUpdateKind.REMEMBERED);
        }
        discovery.start(known);
        tools.ifPresent(ToolGateway::start);
        if (known != null && !known.members().isEmpty()) lifecycle.onEndpointsKnown();
        if (config.admin() != null) publishEngines();
        handover.ifPresent(HandoverService::start);
        peers.start();
    }

    /**
     * Waits for discovery before it listens: the list in the configuration may be old, and name engines that began to drain
     * while no process of this gateway ran. If discovery is silent, that list has to do.
     */
    private void awaitEndpointList() {
        if (config.settings().mustSubscribe() || config.known() == null) {
            listen();
            return;
        }
        loop.schedule(loop.nowMs() + FIRST_LIST_MS, () -> {
            if (lifecycle.isListening() || lifecycle.isStopping()) return;
            LOG.warn("discovery is silent: serving by the list in the configuration");
            listen();
        });
    }

    /** Listens for clients, on the loop like all that ends it: a process that was told to stop must not begin to listen. */
    private void listen() {
        if (lifecycle.isListening() || lifecycle.isStopping()) return;
        try {
            listener = FrontListener.open(
                    loop,
                    buffers,
                    platform,
                    descriptors.platformClients(),
                    drainSchedule,
                    memory,
                    metrics,
                    platform::setConnections,
                    this::openPlatformSocket);
            if (tools.isPresent()) tools.get().listen();
            if (config.inherited()) migration = sharedFolder.map(this::createMigration);
        } catch (IOException | RuntimeException e) {
            opened.completeExceptionally(e);
            return;
        }
        lifecycle.onListening();
        LOG.info("{} listens on {}", config.name(), address());
        tools.ifPresent(front -> LOG.info("tool calls listen on {}", rpcAddress()));
        opened.complete(null);
    }

    private AcceptingChannel<StreamConnection> openPlatformSocket(
            ChannelListener<AcceptingChannel<StreamConnection>> onAccept, OptionMap options) throws IOException {
        if (!config.inherited()) return IoThreadListener.open(worker, config.listen(), onAccept, options);
        return IoThreadListener.serve(worker, InheritedSocket.open(), onAccept, options);
    }

    private StreamMigration createMigration(Path folder) {
        ConnectionManager clients = listener.connections();
        StreamMigration created = new StreamMigration(
                new StreamAdoption(worker, loop, broker, engines, clients, metrics, descriptors),
                new StreamHandover(folder, worker, loop, broker, clients, metrics));
        loop.schedule(
                loop.nowMs() + MIGRATION_DELAY_MS, () -> created.adoption().listen(folder));
        return created;
    }

    // ---- What changes while it runs ----

    private void onEndpointList(EngineList list) {
        engines.updateEngines(list);
        updateEndpoints(list, list.whole() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA);
        lifecycle.onEndpointsKnown();
        listen();
    }

    private void updateEndpoints(EngineList list, EndpointUpdateKind kind) {
        broker.updateEndpoints(peers.visible(new EndpointUpdate(kind, list.version(), list.members())));
        peers.onEndpointsChanged();
    }

    /**
     * Takes over what may change while it runs from a new configuration, in one turn of the loop: the settings, and where
     * discovery is. Open requests keep the settings that they began under, and all that was learned stays.
     */
    public void reload(NodeConfig next) {
        loop.execute(() -> {
            config = next;
            NodeConfig.Wire wire = next.wire();
            admission.changeLimits(AdmissionLimits.ofOpenRequests(wire.maxOpen()));
            enginePool.updateTimeouts(wire.connIdleMs(), wire.connectTimeoutMs());
            discoveryPool.updateTimeouts(wire.connIdleMs(), wire.connectTimeoutMs());
            applySettings();
            platform.updateNames(next.names());
            tools.ifPresent(front -> front.front().updateNames(next.names()));
            discovery.redirect(next.discovery());
            metrics.reloaded(true);
            LOG.info(
                    "configuration reloaded discovery={} classes={} max_attempts={}",
                    next.discovery(),
                    next.names().classes(),
                    next.settings().limits().maxAttempts());
        });
    }

    private void applySettings() {
        broker.changeSettings(peers.adjust(config.settings()), config.names().classes());
    }

    /**
     * The same from the operator's file for tool calls.
     *
     * @throws maplerail.config.ConfigException if something has changed that a running process can't take over; nothing is
     */
    public void reload(ToolsConfig next) {
        tools.ifPresent(front -> front.requireReloadable(next));
        loop.execute(() -> {
            tools.ifPresent(front -> front.reload(next));
            metrics.reloaded(true);
        });
    }

    /** Notes that a file could not be used: all stays as it was. */
    public void onConfigRejected(String reason) {
        LOG.warn("configuration rejected, the old one stays in force: {}", reason);
        metrics.reloaded(false);
    }

    /** Readers of the metrics don't wait for the loop: they see what it published last. */
    private void publishEngines() {
        metrics.engines(broker.listedEngines(), broker.ejectedEngines() + peers.ejectedEngines());
        loop.schedule(loop.nowMs() + PUBLISH_MS, this::publishEngines);
    }

    // ---- Operators ----

    @Override
    public boolean canServe() {
        return lifecycle.canServe();
    }

    @Override
    public List<Figure> metricValues() {
        return metrics.figures();
    }

    /** The phase counts at once; what it brings about follows on the loop. */
    @Override
    public synchronized boolean setLameDuck(boolean on) {
        boolean already = on == (phase() == Phase.LAME_DUCK);
        if (!lifecycle.setLameDuck(on)) return false;
        if (already) return true;
        loop.execute(() -> {
            if (on) onDrainBegun();
            lameDuck.onChanged(on);
        });
        return true;
    }

    /** Looks, at either front, at what clients had sent when a drain began. */
    private void onDrainBegun() {
        if (!lifecycle.isListening()) return;
        listener.onDrainBegun();
        tools.ifPresent(ToolGateway::onDrainBegun);
    }

    /** Ends the connections of either front on which nothing is asked. */
    private void closeIdleConnections() {
        if (!lifecycle.isListening()) return;
        listener.closeIdleConnections();
        tools.ifPresent(ToolGateway::closeIdleConnections);
    }

    private String clientsLeft() {
        if (!lifecycle.isListening()) return "connections=0";
        String left = "connections=" + listener.connections().openCount() + " busy="
                + listener.connections().busyCount() + " open_requests=" + openRequests();
        return left + tools.map(front -> " " + front.clientsLeft()).orElse("");
    }

    // ---- Shutdown ----

    /** Begins the graceful shutdown, as at SIGTERM. */
    public void drain() {
        loop.execute(drain::start);
    }

    /** Stops at once, whatever is open. */
    public void stop() {
        loop.execute(() -> {
            IoUtils.safeClose(listener);
            tools.map(ToolGateway::listener).ifPresent(IoUtils::safeClose);
            peers.close();
            if (admin != null) admin.close();
            migration.ifPresent(streams -> streams.adoption().close());
            loop.close();
            worker.shutdownNow();
        });
    }

    /** Waits until it has stopped, then releases its threads and sockets. */
    public void join() throws InterruptedException {
        stopped.await();
        stop();
    }

    private final class DrainHost implements DrainController.Host {
        @Override
        public NodeConfig config() {
            return config;
        }

        @Override
        public void releaseShared() {
            // Another process has the socket too: what comes now is that one's.
            if (config.inherited()) listener.closeSocket();
            peers.close();
            handover.ifPresent(HandoverService::leave);
        }

        @Override
        public void limitDeadlines(double latestMs) {
            broker.limitDeadlines(latestMs);
            tools.ifPresent(front -> front.services().brokers().values().forEach(b -> b.limitDeadlines(latestMs)));
        }

        @Override
        public void onDrainBegun() {
            Gateway.this.onDrainBegun();
        }

        @Override
        public void handOnStreams(double untilMs) {
            migration.ifPresent(streams -> streams.handOn(untilMs));
        }

        @Override
        public boolean handsStreamsOn() {
            return migration.map(streams -> streams.handover().isAccepting()).orElse(false);
        }

        @Override
        public void closeIdleConnections() {
            Gateway.this.closeIdleConnections();
            tools.ifPresent(front -> front.front().stopAccepting());
        }

        @Override
        public boolean hasOpenReleases() {
            return broker.pendingReleases() > 0 || engines.pendingReleases() > 0;
        }

        @Override
        public boolean hasOpenWork() {
            return listener.isBusy()
                    || openRequests() > 0
                    || migration.map(StreamMigration::isBusy).orElse(false)
                    || tools.map(ToolGateway::isBusy).orElse(false);
        }

        @Override
        public String openWork() {
            return clientsLeft() + " releases=" + engines.pendingReleases() + " reservations="
                    + broker.pendingReleases();
        }

        @Override
        public void onDrained() {
            if (lifecycle.isListening()) tools.ifPresent(front -> front.front().close());
            LOG.info(
                    "drained streams_handed_on={} streams_adopted={}",
                    metrics.countOf(EventCount.STREAMS_HANDED_ON),
                    metrics.countOf(EventCount.STREAMS_TAKEN_OVER));
            lifecycle.onStopped();
            opened.complete(null);
            stopped.countDown();
        }
    }

    // ---- Figures, and what tests need ----

    /** The phase of the process. */
    public Phase phase() {
        return lifecycle.phase();
    }

    /** The address on which the platform's clients are served, once it listens. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** The address on which tool calls are served, if they are. */
    public InetSocketAddress rpcAddress() {
        return tools.orElseThrow().listener().address();
    }

    /** The address on which operators are served, if they are. */
    public InetSocketAddress adminAddress() {
        return admin.address();
    }

    /** Runs a task on the event loop, soon. */
    public void onLoop(Runnable task) {
        loop.execute(task);
    }

    /** Sessions over HTTP at the second front, and the characters kept for those that come again. */
    public int[] rpcHeld() {
        return tools.orElseThrow().front().sessionUsage();
    }

    /** The number of requests of which anything is still remembered, at either front. */
    public int openRequests() {
        int toolRequests = tools.map(front -> front.services().remembered()).orElse(0);
        return broker.openRequests() + toolRequests;
    }
}
