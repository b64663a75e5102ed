package maplerail.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import maplerail.config.NodeConfig;
import maplerail.core.AttemptListener;
import maplerail.core.Broker;
import maplerail.fleet.EndpointView;
import maplerail.fleet.Membership;
import maplerail.fleet.OutlierConsensus;
import maplerail.fleet.ReaderPaceGossip;
import maplerail.metrics.Metrics;
import maplerail.net.PeerDatagramChannel;
import maplerail.net.XnioEventLoop;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.RoutingEvent.EndpointUpdate;
import maplerail.routing.RoutingSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.XnioWorker;

/** Talks with the other gateways of a tier by datagrams: readers' pace and, where the tier decides, what it decides. */
final class TierPeerService implements PeerService {
    private static final Logger LOG = LoggerFactory.getLogger(TierPeerService.class);
    private static final long PEER_SEED = 0x9e3779b97f4a7c15L; // keeps these draws apart from the policy's
    private static final double LISTEN_RETRY_MS = 100;
    private static final int VERSION_OFFSET = 1;

    private final NodeConfig.Peers peers;
    private final XnioWorker worker;
    private final XnioEventLoop loop;
    private final Broker broker;
    private final Metrics metrics;
    private final BooleanSupplier stopping;
    private final Runnable onSharingChanged;
    private final long seed;
    private final SplittableRandom random;
    private final ReaderPaceGossip paceGossip;
    private final EndpointView view = new EndpointView();
    private Optional<TierDecisions> decisions = Optional.empty();
    private Optional<PeerDatagramChannel> link = Optional.empty();
    private boolean waitLogged;

    /**
     * Creates the service of one gateway; it does not talk before {@link #start}.
     *
     * @param seed the source of all random draws
     * @param stopping whether the process is stopping: then nothing is sent any more
     * @param onSharingChanged is run when another number of gateways shares the load
     */
    TierPeerService(
            NodeConfig.Peers peers,
            XnioWorker worker,
            XnioEventLoop loop,
            Broker broker,
            Metrics metrics,
            long seed,
            BooleanSupplier stopping,
            Runnable onSharingChanged) {
        this.peers = peers;
        this.worker = worker;
        this.loop = loop;
        this.broker = broker;
        this.metrics = metrics;
        this.seed = seed;
        this.stopping = stopping;
        this.onSharingChanged = onSharingChanged;
        this.random = new SplittableRandom(seed ^ PEER_SEED);
        this.paceGossip = new ReaderPaceGossip(peers.rank(), peers.members().size(), loop.nowMs());
        broker.setAttemptListener(new Observations());
    }

    @Override
    public void start() {
        paceGossip.setReaders(broker.readers());
        loop.schedule(loop.nowMs() + paceGossip.delayMs(random.nextDouble()), this::gossip);
        listen();
    }

    @Override
    public EndpointUpdate visible(EndpointUpdate update) {
        return view.apply(update);
    }

    @Override
    public void onEndpointsChanged() {
        decisions.ifPresent(tier -> tier.setEngines(view.kindsByEngine()));
        paceGossip.setReaders(broker.readers());
    }

    @Override
    public RoutingSettings adjust(RoutingSettings settings) {
        return decisions.map(tier -> settings.withGateways(tier.sharing())).orElse(settings);
    }

    @Override
    public int ejectedEngines() {
        return view.ejectedEngines();
    }

    /** The process that serves on needs the address. */
    @Override
    public void close() {
        link.ifPresent(IoUtils::safeClose);
        link = Optional.empty();
    }

    /**
     * Listens for the tier's datagrams. The process that a new version replaces holds the same address until it stops, so
     * the new one retries until it is free, and sends nothing meanwhile, as its datagrams have to come from that address.
     */
    private void listen() {
        if (stopping.getAsBoolean()) return;
        try {
            PeerDatagramChannel opened = PeerDatagramChannel.open(worker, peers.listen(), this::receive);
            link = Optional.of(opened);
            if (peers.decides()) startDecisions();
            LOG.info("tier joined sends_to={} listens_on={}", peers.all(), opened.localAddress());
        } catch (IOException e) {
            if (!waitLogged)
                LOG.info("peer address in use, retrying address={} error={}", peers.listen(), e.getMessage());
            waitLogged = true;
            loop.schedule(loop.nowMs() + LISTEN_RETRY_MS, this::listen);
        }
    }

    private void startDecisions() {
        TierDecisions tier = new TierDecisions(peers, loop.nowMs(), seed);
        decisions = Optional.of(tier);
        loop.schedule(tier.probeDueMs(), () -> probe(tier));
        tier.setEngines(view.kindsByEngine());
        loop.schedule(loop.nowMs() + OutlierConsensus.PERIOD_MS * random.nextDouble(), () -> compare(tier));
    }

    private void receive(InetSocketAddress from, byte[] bytes, int length) {
        int sender = peers.rankOf(from);
        int version = length > VERSION_OFFSET ? bytes[VERSION_OFFSET] : 0;
        if (decisions.isPresent() && version == Membership.VERSION) {
            send(decisions.get().membership().receive(sender, bytes, length, loop.nowMs()));
        } else if (decisions.isPresent() && version == OutlierConsensus.VERSION) {
            decisions.get().outliers().receive(sender, bytes, length, loop.nowMs());
        } else {
            receivePace(sender, bytes, length);
        }
        decisions.ifPresent(this::updateSharing);
    }

    private void receivePace(int sender, byte[] bytes, int length) {
        long before = paceGossip.received();
        broker.reportPeerReads(paceGossip.receive(sender, bytes, length));
        if (paceGossip.received() == before) return;
        decisions.ifPresent(
                tier -> tier.membership().recordDatagramFrom(sender, paceGossip.incarnationOf(sender), loop.nowMs()));
    }

    private void send(Collection<Membership.OutgoingDatagram> datagrams) {
        for (Membership.OutgoingDatagram datagram : datagrams) {
            InetSocketAddress recipient = peers.members().get(datagram.recipient());
            link.ifPresent(open -> open.send(recipient, datagram.bytes()));
        }
    }

    private void sendToAll(byte[] datagram) {
        link.ifPresent(open -> open.send(peers.all(), datagram));
    }

    /** Tells the tier what this gateway observed of readers, if anything, once a period. */
    private void gossip() {
        paceGossip.nextDatagram().ifPresent(this::sendToAll);
        metrics.peers(
                paceGossip.sent().datagrams(),
                paceGossip.sent().bytes(),
                paceGossip.received(),
                TierDecisions.sum(paceGossip.dropped()));
        decisions.ifPresent(tier -> tier.publishMembership(metrics));
        if (stopping.getAsBoolean()) return;
        loop.schedule(loop.nowMs() + paceGossip.delayMs(random.nextDouble()), this::gossip);
    }

    /** The failure detector's period. */
    private void probe(TierDecisions tier) {
        if (stopping.getAsBoolean()) return;
        send(tier.membership().tick(loop.nowMs()));
        loop.schedule(tier.probeDueMs(), () -> probe(tier));
        updateSharing(tier);
    }

    /** Tells the tier which engines failed here, and leaves alone those that failed several gateways. */
    private void compare(TierDecisions tier) {
        if (stopping.getAsBoolean()) return;
        tier.outliers().nextDatagram().ifPresent(this::sendToAll);
        view.setEjected(tier.decideEjected(loop.nowMs())).ifPresent(update -> {
            TierDecisions.log(update);
            broker.updateEndpoints(update);
        });
        tier.publishOutliers(metrics);
        loop.schedule(loop.nowMs() + OutlierConsensus.PERIOD_MS, () -> compare(tier));
    }

    private void updateSharing(TierDecisions tier) {
        if (tier.updateSharing(loop.nowMs())) onSharingChanged.run();
    }

    /** What this gateway tells the others is what its own attempts showed. */
    private final class Observations implements AttemptListener {
        @Override
        public void onPromptRead(long engine, double elapsedMs, double uncachedTokens) {
            paceGossip.recordRead(engine, elapsedMs, uncachedTokens);
        }

        @Override
        public void onEnded(long engine, AttemptOutcome outcome) {
            boolean success = outcome == AttemptOutcome.PROMPT_READ || outcome == AttemptOutcome.COMPLETED;
            boolean failure = outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.RESET;
            if (!success && !failure) return;
            decisions.ifPresent(tier -> tier.outliers().recordOutcome(engine, success, loop.nowMs()));
        }
    }
}
