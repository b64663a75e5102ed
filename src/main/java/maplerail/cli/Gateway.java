package maplerail.cli;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import maplerail.config.ConfigException;
import maplerail.config.EngineList;
import maplerail.config.NodeConfig;
import maplerail.config.ToolsConfig;
import maplerail.core.AdmissionLimits;
import maplerail.core.AdmissionStage;
import maplerail.core.AttemptListener;
import maplerail.core.Broker;
import maplerail.core.DecisionLog;
import maplerail.core.Lifecycle;
import maplerail.core.Lifecycle.Phase;
import maplerail.discovery.PlatformWatch;
import maplerail.fleet.DropReason;
import maplerail.fleet.EndpointView;
import maplerail.fleet.Membership;
import maplerail.fleet.OutlierConsensus;
import maplerail.fleet.ReaderPaceGossip;
import maplerail.front.Door;
import maplerail.front.Turnstile;
import maplerail.front.admin.AdminDoor;
import maplerail.front.admin.Desk;
import maplerail.front.jsonrpc.RpcFront;
import maplerail.front.platform.PlatformFront;
import maplerail.handover.Handover;
import maplerail.handover.Notes;
import maplerail.metrics.Metrics;
import maplerail.metrics.Metrics.Figure;
import maplerail.net.EngineClient;
import maplerail.net.PeerLink;
import maplerail.net.Pool;
import maplerail.net.XnioLoop;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingPolicy;
import maplerail.routing.RoutingSettings;
import maplerail.routing.d2lpm.D2lpmPolicy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.InheritedListener;

/** One real gateway: puts the parts together and takes them from start to exit. */
public final class Gateway implements Desk {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    private static final double ARRIVING_MS = 600; // after the signal to stop, that connections may arrive for
    // What keeps the draws of the watch and of advice to clients apart from the module's.
    private static final long WATCH_DRAWS = 0x5bd1e995a7c3f1d1L;
    private static final long ADVICE_DRAWS = 0x27d4eb2f165667c5L;
    private static final long PEER_DRAWS = 0x9e3779b97f4a7c15L;
    private static final long MEMBER_DRAWS = 0x2545f4914f6cdd1dL;
    private static final double SHIFT_MS = 500; // at least, between two counts of gateways that the module is told
    private static final double PEERS_AGAIN_MS = 100; // between two tries at a peer_listen that another process holds
    private static final double LOOK_MS = 20;
    private static final double LAST_MS = 350; // before the end by force, by when what has come since has an answer
    /** After the signal to stop, it is ended by force: the longest deadline, 3 s at most, and this much later. */
    private static final double FORCE_MS = 700;

    private static final double MOST_WAIT_MS = 3_000;
    private static final double LEAVE_MS = 1_300; // before that: from here streams are left to other gateways,
    private static final int LEAVE_STEPS = 11; // in as many steps,
    private static final double LEAVE_STEP_MS = 100; // each so long
    private static final int BUFFER = 8 * 1024;
    private static final int MOST_HEAD = 16 * 1024; // bytes of a request's head
    /** Of the descriptors: connections that clients may hold at either front. The rest is for engines. */
    private static final int CLIENT_PERCENT = 55;

    private static final int RPC_PERCENT = 10;
    private static final int TOOLS_PERCENT = 10; // connections to tool servers
    private static final double AWAY_MS = 1_000; // after the drain's start, from which idle connections are ended
    private static final double AWAY_LOOK_MS = 50;
    private static final double TAKE_OVER_MS = 20_000; // after a start, for which another may leave notes
    private static final double TAKE_OVER_LOOK_MS = 50;
    private static final double PUBLISH_MS = 100; // between two looks at the engines for the figures
    private static final double STREAMS_MS = 100; // after its start, from which streams of another process may come
    private static final int MOST_INHERITED_PART = 6; // of the descriptors: streams that come so
    private static final double LEFT_MS = 450; // before the end by force, when those that were not handed on are left,
    private static final int LEFT_STEPS = 3; // in so many steps
    private static final int OWN_SOCKETS = 40; // what the machine, the listeners and the log hold
    private static final int LIST_SOCKETS = 10; // to discovery: never short of them, whatever engines and clients hold
    private static final double FIRST_LIST_MS =
            1_000; // that a start waits for the agent's first answer before it listens

    private volatile NodeConfig config;
    private final Lifecycle lifecycle = new Lifecycle();
    private final Metrics metrics = new Metrics();
    private final Handover handover;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final CompletableFuture<Void> opened = new CompletableFuture<>(); // clients may come, or never will
    private final XnioWorker worker;
    private final XnioLoop loop;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER, 512, 0);
    private final AdmissionStage admit;
    private final Pool pool;
    private final Pool lists;
    private final Broker broker;
    private final EngineClient engines;
    private final PlatformFront front;
    private final PlatformWatch watch;
    private final ToolServices tools;
    private final RpcFront rpc;
    private final InetSocketAddress rpcListen;
    private AcceptingChannel<?> server;
    private AcceptingChannel<?> rpcServer;
    private final List<Door> doors = new ArrayList<>();
    private final List<Turnstile> turnstiles = new ArrayList<>();
    private AdminDoor admin;
    private final ReaderPaceGossip exchange; // what gateways of the tier tell each other of readers; null where off
    private final EndpointView view = new EndpointView(); // the list as the module sees it
    private OutlierConsensus outliers; // engines that fail several gateways; null as membership
    private Membership membership; // which gateways of the tier are there; null until the tier can be heard
    private int live; // gateways that the module holds to share the load; 0 before the tier was heard
    private double shiftedMs;
    private PeerLink peerLink;
    private boolean peersBusy;
    private final Path handovers;
    private Streams streams; // on their way between processes; null without an inherited socket
    private final SplittableRandom peerDraws;
    private volatile boolean told; // a list of engines is known
    private volatile boolean serving;

    /** Makes a gateway that does not listen yet; {@code toolsConfig} is null where the second front is off. */
    public Gateway(NodeConfig config, ToolsConfig toolsConfig) throws IOException {
        this(config, toolsConfig, null);
    }

    /** The same with a folder for what a process hands to the next, or null for none. */
    public Gateway(NodeConfig config, ToolsConfig toolsConfig, Path handovers) throws IOException {
        this.config = config;
        this.handovers = handovers;
        handover = handovers == null
                ? null
                : new Handover(handovers, ProcessHandle.current().pid());
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.THREAD_DAEMON, false)
                        .getMap());
        loop = new XnioLoop(worker.getIoThread());
        boolean on = toolsConfig != null;
        int sockets = config.wire().sockets();
        int tooling = on ? sockets * (RPC_PERCENT + TOOLS_PERCENT) / 100 : 0;
        pool = new Pool(
                loop,
                buffers,
                config.wire().connIdleMs(),
                config.wire().connectTimeoutMs(),
                sockets
                        - OWN_SOCKETS
                        - LIST_SOCKETS
                        - (config.admin() == null ? 0 : AdminDoor.DESCRIPTORS)
                        - sockets * CLIENT_PERCENT / 100
                        - tooling);
        lists = new Pool(
                        loop, buffers, config.wire().connIdleMs(), config.wire().connectTimeoutMs(), LIST_SOCKETS)
                .unsettled();
        engines = new EngineClient(pool);
        RoutingSettings settings = config.settings();
        admit = new AdmissionStage(
                AdmissionLimits.ofOpenRequests(config.wire().maxOpen()),
                loop,
                new SplittableRandom(settings.seed() ^ ADVICE_DRAWS));
        broker = new Broker(
                module(settings),
                settings,
                admit,
                loop,
                engines,
                line -> LOG.info("{}", line),
                metrics,
                config.names().classes());
        front = new PlatformFront(broker, config.names(), lifecycle);
        watch = new PlatformWatch(
                lists,
                loop,
                config.discovery(),
                config.names(),
                !settings.subscribes(),
                new SplittableRandom(settings.seed() ^ WATCH_DRAWS),
                this::hear,
                metrics::listRejected);
        broker.setEndpointRefresh(watch::refresh);
        pool.beforeUse(watch::refresh);
        tools = on
                ? new ToolServices(toolsConfig, loop, buffers, settings.seed(), sockets * TOOLS_PERCENT / 100, metrics)
                : null;
        rpc = on ? new RpcFront(toolsConfig, tools.brokers(), broker, config.names(), lifecycle, loop) : null;
        rpcListen = on ? toolsConfig.listen() : null;
        NodeConfig.Peers peers = config.peers();
        exchange = peers == null
                ? null
                : new ReaderPaceGossip(peers.rank(), peers.members().size(), loop.nowMs());
        peerDraws = new SplittableRandom(settings.seed() ^ PEER_DRAWS);
        if (exchange != null) broker.setAttemptListener(new Told());
    }

    /** What this gateway tells the others is what its own attempts showed. */
    private final class Told implements AttemptListener {
        @Override
        public void onPromptRead(long engine, double spentMs, double tokens) {
            exchange.recordRead(engine, spentMs, tokens);
        }

        @Override
        public void onEnded(long engine, AttemptOutcome outcome) {
            boolean good = outcome == AttemptOutcome.PROMPT_READ || outcome == AttemptOutcome.COMPLETED;
            boolean failed = outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.RESET;
            if (outliers != null && (good || failed)) outliers.recordOutcome(engine, good, loop.nowMs());
        }
    }

    /** The module, with what it hears and orders written down where the operators have that logger on. */
    private static RoutingPolicy module(RoutingSettings settings) {
        Logger decisions = LoggerFactory.getLogger(DecisionLog.class);
        return decisions.isDebugEnabled()
                ? new DecisionLog(new D2lpmPolicy(settings), decisions::debug)
                : new D2lpmPolicy(settings);
    }

    /** The phase it is in. */
    public Phase phase() {
        return lifecycle.phase();
    }

    /** Where the second front listens, if it is on. */
    public InetSocketAddress rpcAddress() {
        return rpcServer.getLocalAddress(InetSocketAddress.class);
    }

    /** Runs a task on the main loop, soon. */
    public void onLoop(Runnable task) {
        loop.execute(task);
    }

    /** Where operators are answered, if they are. */
    public InetSocketAddress adminAddress() {
        return admin.address();
    }

    /** Sessions over HTTP at the second front, and the characters kept for those that come again. */
    public int[] rpcHeld() {
        return rpc.held();
    }

    /** Requests of which anything is still remembered, at either front. */
    public int remembered() {
        return broker.openRequests() + (tools == null ? 0 : tools.remembered());
    }

    /** Where it listens, once it does. */
    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /** Listens and serves; ready as soon as any list of engines is known. */
    public void start() throws IOException {
        loop.execute(() -> {
            EngineList known = config.known();
            if (known != null) {
                engines.hear(known);
                broker.updateEndpoints(view.apply(new RoutingEvent.EndpointUpdate(
                        EndpointUpdateKind.REMEMBERED, known.version(), known.members())));
            }
            watch.start(known);
            if (tools != null) tools.start();
            if (known != null && !known.members().isEmpty()) ready();
            if (config.admin() != null) publish();
            if (handover != null) takeOver(loop.nowMs() + TAKE_OVER_MS);
            if (exchange != null) {
                exchange.setReaders(broker.readers());
                loop.at(loop.nowMs() + exchange.delayMs(peerDraws.nextDouble()), this::tell);
            }
        });
        if (exchange != null) loop.execute(this::listenToPeers);
        if (config.admin() != null) admin = new AdminDoor(config.admin(), this);
        loop.execute(this::awaitList);
        try {
            opened.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof IOException failed) throw failed;
            if (e.getCause() instanceof RuntimeException failed) throw failed;
            throw e;
        }
    }

    /**
     * Guards against sends to engines that began to leave while no process of this gateway ran: what the agent has
     * counts as told from this one's first moment, and the list in the configuration may be old. Silent, it says nothing
     * that could be obeyed, and what is known has to do.
     */
    private void awaitList() {
        if (config.settings().subscribes() || config.known() == null) {
            open();
            return;
        }
        loop.at(loop.nowMs() + FIRST_LIST_MS, () -> {
            if (serving || leaving()) return;
            LOG.warn("discovery is silent: serving by the list in the configuration");
            open();
        });
    }

    /**
     * Lets clients come, on the loop like all that ends it. Guards against a signal to stop that meets a start: what it
     * found not yet listening would listen behind its back, and be waited for to no end.
     */
    private void open() {
        if (serving || leaving()) return;
        try {
            server = listen(config.listen(), front, CLIENT_PERCENT, front::at);
            if (rpc != null) rpcServer = listen(rpcListen, rpc, RPC_PERCENT, rpc::at);
            if (handover != null && config.inherited()) {
                streams = new Streams(
                        handovers,
                        worker,
                        loop,
                        broker,
                        engines,
                        doors.get(0),
                        metrics,
                        config.wire().sockets() / MOST_INHERITED_PART);
                loop.at(loop.nowMs() + STREAMS_MS, streams::listen);
            }
        } catch (IOException | RuntimeException e) {
            opened.completeExceptionally(e);
            return;
        }
        serving = true;
        LOG.info("{} listens on {}", config.name(), address());
        if (rpc != null) LOG.info("tool calls come in at {}", rpcAddress());
        opened.complete(null);
    }

    /** Past the high water nothing is accepted: what waits there costs no descriptor, and engines stay in reach. */
    private AcceptingChannel<?> listen(InetSocketAddress at, HttpHandler handler, int percent, Consumer<Door> through)
            throws IOException {
        HttpOpenListener http = new HttpOpenListener(
                buffers,
                OptionMap.builder()
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.MAX_HEADER_SIZE, MOST_HEAD)
                        .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                        .getMap());
        http.setRootHandler(handler);
        int most = config.wire().sockets() * percent / 100;
        Door door = new Door(http, loop, most);
        doors.add(door);
        through.accept(door);
        OptionMap options = OptionMap.builder()
                .set(Options.BACKLOG, 1_024)
                .set(Options.TCP_NODELAY, true)
                .set(Options.CONNECTION_HIGH_WATER, most)
                .set(Options.CONNECTION_LOW_WATER, most - 1)
                .getMap();
        Turnstile turnstile = new Turnstile(door, loop);
        turnstiles.add(turnstile);
        AcceptingChannel<StreamConnection> listening = config.inherited() && doors.size() == 1
                ? InheritedListener.serve(worker, inherited(), turnstile, options)
                : worker.createStreamConnectionServer(at, turnstile, options);
        listening.resumeAccepts();
        return listening;
    }

    /** The clients' listening socket, which whoever started the program keeps, and other processes serve with it. */
    private static ServerSocketChannel inherited() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel socket) return socket;
        throw new ConfigException("RELAY_INHERITED_FD: descriptor 0 is no listening socket");
    }

    private void hear(EngineList list) {
        engines.hear(list);
        broker.updateEndpoints(view.apply(new RoutingEvent.EndpointUpdate(
                list.whole() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA,
                list.version(),
                list.members())));
        if (outliers != null) outliers.setEngines(view.kinds());
        if (exchange != null) exchange.setReaders(broker.readers());
        ready();
        open();
    }

    private synchronized void ready() {
        told = true;
        if (lifecycle.phase() == Phase.STARTING) lifecycle.moveTo(Phase.READY);
    }

    /**
     * Takes what may change while it runs from a new configuration, in one turn of the loop: the settings, and where
     * discovery is. Open requests keep the settings that they began under, and all that was learnt stays.
     */
    public void reload(NodeConfig news) {
        loop.execute(() -> {
            config = news;
            RoutingSettings settings = news.settings();
            NodeConfig.Wire wire = news.wire();
            admit.changeLimits(AdmissionLimits.ofOpenRequests(wire.maxOpen()));
            pool.retune(wire.connIdleMs(), wire.connectTimeoutMs());
            lists.retune(wire.connIdleMs(), wire.connectTimeoutMs());
            broker.changeSettings(shared(settings), news.names().classes());
            front.retune(news.names());
            if (rpc != null) rpc.retune(news.names());
            watch.move(news.discovery());
            metrics.reloaded(true);
            LOG.info(
                    "configuration read again: discovery is at {}, classes {}, attempts {}",
                    news.discovery(),
                    news.names().classes(),
                    settings.limits().maxAttempts());
        });
    }

    /** The same from the operator's file for tool calls: where Consul is. */
    public void reload(ToolsConfig news) {
        loop.execute(() -> {
            if (tools != null) tools.reload(news);
            metrics.reloaded(true);
        });
    }

    /** A file was not fit to be used: all stays as it was. */
    public void rejected(String why) {
        LOG.warn("the new configuration is not used: {}", why);
        metrics.reloaded(false);
    }

    /** What this process knows is for the one that has the same listening socket and serves on. */
    private void handOver() {
        if (handover == null) return;
        Notes notes = new Notes(loop.nowMs(), broker.cachedPrefixes());
        worker.execute(() -> handover.leave(notes.text()));
    }

    /** Looks for a while for what a process that leaves has left: it does so when it hears that this one can serve. */
    private void takeOver(double untilMs) {
        worker.execute(() -> {
            // Guards against a process that leaves soon after its start and takes what it has just left itself.
            if (leaving()) return;
            String text = handover.take();
            Notes notes = text == null ? null : Notes.read(text, loop.nowMs());
            if (notes != null) {
                LOG.info(
                        "{} places where prompts are kept were handed over",
                        notes.held().size());
                loop.execute(() -> broker.restoreCachedPrefixes(notes.held()));
            } else if (loop.nowMs() < untilMs) {
                loop.at(loop.nowMs() + TAKE_OVER_LOOK_MS, () -> takeOver(untilMs));
            }
        });
    }

    /**
     * Listens for the tier's datagrams. Guards against the process that a new version replaces: it holds the same
     * {@code peer_listen} until it leaves, so the new one tries again until the address is free, and tells nothing
     * meanwhile (its datagrams must come from that address).
     */
    private void listenToPeers() {
        if (leaving()) return;
        NodeConfig.Peers peers = config.peers();
        try {
            peerLink = PeerLink.open(
                    worker,
                    peers.listen(),
                    (from, bytes, length) -> hearPeer(peers, peers.rankOf(from), bytes, length));
            if (peers.decides()) decide(peers);
            LOG.info("gateways of the tier are told at {} and heard at {}", peers.all(), peerLink.address());
        } catch (IOException e) {
            if (!peersBusy)
                LOG.info(
                        "{} is not free yet ({}); tried again every {} ms",
                        peers.listen(),
                        e.getMessage(),
                        PEERS_AGAIN_MS);
            peersBusy = true;
            loop.at(loop.nowMs() + PEERS_AGAIN_MS, this::listenToPeers);
        }
    }

    /** Decides in common with the others from now on: which gateways are there, and which engines to leave alone. */
    private void decide(NodeConfig.Peers peers) {
        double nowMs = loop.nowMs();
        live = peers.members().size();
        membership = new Membership(peers.rank(), live, nowMs, config.settings().seed() ^ MEMBER_DRAWS);
        loop.at(membership.dueMs(), this::probe);
        outliers = new OutlierConsensus(peers.rank(), live, nowMs);
        outliers.setEngines(view.kinds());
        loop.at(nowMs + OutlierConsensus.PERIOD_MS * peerDraws.nextDouble(), this::compare);
    }

    private static long dropped(Map<DropReason, Long> reasons) {
        return reasons.values().stream().mapToLong(Long::longValue).sum();
    }

    private void hearPeer(NodeConfig.Peers peers, int rank, byte[] bytes, int length) {
        if (membership != null && length > 1 && bytes[1] == Membership.VERSION) {
            say(peers, membership.receive(rank, bytes, length, loop.nowMs()));
        } else if (outliers != null && length > 1 && bytes[1] == OutlierConsensus.VERSION) {
            outliers.receive(rank, bytes, length, loop.nowMs());
        } else {
            long before = exchange.received();
            broker.reportPeerReads(exchange.receive(rank, bytes, length));
            if (exchange.received() > before && membership != null)
                membership.recordHeard(rank, exchange.incarnation(rank), loop.nowMs());
        }
        if (membership != null) shift();
    }

    private void say(NodeConfig.Peers peers, List<Membership.Outgoing> out) {
        for (Membership.Outgoing one : out)
            if (peerLink != null) peerLink.send(peers.members().get(one.recipient()), one.bytes());
    }

    /** Tells the tier which engines failed here, and leaves alone those that failed several. */
    private void compare() {
        if (leaving()) return;
        outliers.nextDatagram().ifPresent(this::tellAll);
        view.setEjected(outliers.decide(loop.nowMs(), g -> membership.state(g) == Membership.State.ALIVE))
                .ifPresent(update -> {
                    update.endpoints().forEach(Gateway::logEjection);
                    broker.updateEndpoints(update);
                });
        metrics.outliers(
                outliers.ejectedEngines(),
                outliers.sent().datagrams(),
                outliers.received(),
                dropped(outliers.dropped()));
        loop.at(loop.nowMs() + OutlierConsensus.PERIOD_MS, this::compare);
    }

    private static void logEjection(Endpoint endpoint) {
        LOG.info(
                "engine {} by the tier engine={}",
                endpoint.state() == EndpointState.READY ? "readmitted" : "ejected",
                Long.toHexString(endpoint.engine()));
    }

    private void tellAll(byte[] datagram) {
        if (peerLink != null) peerLink.send(config.peers().all(), datagram);
    }

    /** The failure detector's period. */
    private void probe() {
        if (leaving()) return;
        say(config.peers(), membership.tick(loop.nowMs()));
        loop.at(membership.dueMs(), this::probe);
        shift();
    }

    /**
     * Tells the module how many gateways share the load now, as it reckons its own part of tenants' shares and of cold
     * engines by that: after a herd has died the ones that are left carry its clients, and have its part.
     */
    private void shift() {
        int alive = membership.sharing();
        if (alive == live || loop.nowMs() < shiftedMs + SHIFT_MS) return;
        shiftedMs = loop.nowMs();
        live = alive;
        broker.changeSettings(shared(config.settings()), config.names().classes());
        LOG.debug(
                "{} gateways of {} share the load",
                alive,
                config.peers().members().size());
    }

    private RoutingSettings shared(RoutingSettings settings) {
        return live == 0 ? settings : settings.withGateways(live);
    }

    /** Tells the tier what this gateway saw of readers since it last did, if anything; then again a period later. */
    private void tell() {
        exchange.nextDatagram().ifPresent(this::tellAll);
        metrics.peers(
                exchange.sent().datagrams(), exchange.sent().bytes(), exchange.received(), dropped(exchange.dropped()));
        if (membership != null) {
            metrics.members(
                    membership.alive(),
                    membership.count(Membership.State.SUSPECT),
                    membership.count(Membership.State.DEAD),
                    membership.totals().deaths(),
                    membership.totals().refutations(),
                    membership.sent().datagrams(),
                    membership.sent().bytes(),
                    dropped(membership.dropped()));
        }
        if (!leaving()) loop.at(loop.nowMs() + exchange.delayMs(peerDraws.nextDouble()), this::tell);
    }

    /** Guards against a reader that has to wait for the loop: it sees what the loop last put up. */
    private void publish() {
        metrics.engines(broker.listedEngines(), broker.ejectedEngines() + view.ejectedEngines());
        loop.at(loop.nowMs() + PUBLISH_MS, this::publish);
    }

    private boolean leaving() {
        return phase() == Phase.DRAINING || phase() == Phase.STOPPED;
    }

    @Override
    public boolean canServe() {
        return told && serving && !leaving();
    }

    @Override
    public List<Figure> figures() {
        return metrics.figures();
    }

    /** Called from the operators' thread: the phase counts at once, what it brings about follows on the loop. */
    @Override
    public synchronized boolean lameDuck(boolean on) {
        if (leaving()) return false;
        if (on == (phase() == Phase.LAME_DUCK)) return true;
        lifecycle.moveTo(on ? Phase.LAME_DUCK : told ? Phase.READY : Phase.STARTING);
        LOG.info(on ? "clients are sent away" : "clients may come again");
        if (on) loop.execute(() -> loop.at(loop.nowMs() + AWAY_MS, this::sendAway));
        return true;
    }

    /** Clients leave with their next answer; those that ask nothing any more are let go. */
    private void sendAway() {
        if (phase() != Phase.LAME_DUCK) return;
        doors.forEach(Door::closeIdle);
        loop.at(loop.nowMs() + AWAY_LOOK_MS, this::sendAway);
    }

    /** The signal to stop: serves what still arrives for a while, finishes what it has taken, then stops. */
    public void drain() {
        loop.execute(() -> {
            if (!leave()) return;
            LOG.info("told to stop: {} requests are open", broker.unansweredRequests());
            if (!serving) {
                end();
                return;
            }
            // Another process has the socket too: what comes now is that one's.
            if (config.inherited()) IoUtils.safeClose(server);
            // The one that serves on needs the address for datagrams of the tier.
            IoUtils.safeClose(peerLink);
            peerLink = null;
            // Guards against a request that comes on a kept connection just before the end, and would be cut off by it.
            handOver();
            broker.limitDeadlines(loop.nowMs() + forceMs() - LAST_MS);
            loop.at(loop.nowMs() + ARRIVING_MS, this::finish);
            double endMs = loop.nowMs() + forceMs();
            if (streams != null) streams.handOn(endMs - LEFT_MS);
            if (config.wire().resume()) loop.at(endMs - LEAVE_MS, () -> leaveFrom(endMs));
        });
    }

    private synchronized boolean leave() {
        if (leaving()) return false;
        lifecycle.moveTo(Phase.DRAINING);
        return true;
    }

    /**
     * Guards against streams that end with the process: in a rolling restart the next gateway is told to stop by then,
     * and their clients, who come for the rest, meet nobody. Left a little sooner, they still meet the next one; a few
     * at a time, as that one may just have started.
     */
    private void leaveStreams(int steps) {
        broker.breakOffStreams(1.0 / steps);
        if (steps > 1) loop.at(loop.nowMs() + LEAVE_STEP_MS, () -> leaveStreams(steps - 1));
    }

    /** Where another process takes streams, only what that one could not have is left to other gateways. */
    private void leaveFrom(double endMs) {
        if (streams != null && streams.reached()) loop.at(endMs - LEFT_MS, () -> leaveStreams(LEFT_STEPS));
        else leaveStreams(LEAVE_STEPS);
    }

    private double forceMs() {
        double longest = config.settings().classes().stream()
                .mapToDouble(RoutingSettings.RequestClass::deadlineMs)
                .max()
                .orElse(0);
        return Math.min(MOST_WAIT_MS, longest) + FORCE_MS;
    }

    private void finish() {
        doors.get(0).closeIdle();
        if (rpc != null) rpc.stopTaking();
        // A state that this process let go too late or never would stay held: its releases are said to their end.
        if (turnstiles.get(0).waiting() > 0
                || doors.get(0).busy() > 0
                || remembered() > 0
                || broker.pendingReleases() > 0
                || engines.releasing() > 0
                || streams != null && streams.onTheirWay() > 0
                || rpc != null && rpc.openRequests() > 0) {
            loop.at(loop.nowMs() + LOOK_MS, this::finish);
            return;
        }
        if (rpc != null) rpc.close();
        end();
    }

    private void end() {
        LOG.info("all is done{}", streams == null ? "" : ": " + streams);
        lifecycle.moveTo(Phase.STOPPED);
        opened.complete(null);
        stopped.countDown();
    }

    /** Stops at once, whatever is open. */
    public void stop() {
        loop.execute(() -> {
            IoUtils.safeClose(server, rpcServer, peerLink);
            if (admin != null) admin.close();
            if (streams != null) streams.close();
            doors.forEach(Door::close);
            worker.shutdownNow();
        });
    }

    /** Waits until it has stopped, then lets go of its threads and sockets. */
    public void join() throws InterruptedException {
        stopped.await();
        stop();
    }
}
