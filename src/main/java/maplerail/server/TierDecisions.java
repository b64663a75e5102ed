package maplerail.server;

import java.util.Map;
import java.util.Set;
import maplerail.config.NodeConfig;
import maplerail.fleet.DropReason;
import maplerail.fleet.Membership;
import maplerail.fleet.OutlierConsensus;
import maplerail.metrics.Metrics;
import maplerail.routing.EndpointState;
import maplerail.routing.RoutingEvent.EndpointUpdate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a tier decides in common: which of its gateways are alive, and which engines to leave alone. */
final class TierDecisions {
    private static final Logger LOG = LoggerFactory.getLogger(TierDecisions.class);
    private static final long MEMBER_SEED = 0x2545f4914f6cdd1dL; // keeps these draws apart from the policy's
    private static final double MIN_SHARING_INTERVAL_MS = 500; // between two changes that the policy is told

    private final Membership membership;
    private final OutlierConsensus outliers;
    private final int tierSize;
    private int sharing;
    private double sharingChangedMs;

    TierDecisions(NodeConfig.Peers peers, double nowMs, long seed) {
        tierSize = peers.members().size();
        sharing = tierSize;
        membership = new Membership(peers.rank(), tierSize, nowMs, seed ^ MEMBER_SEED);
        outliers = new OutlierConsensus(peers.rank(), tierSize, nowMs);
    }

    Membership membership() {
        return membership;
    }

    OutlierConsensus outliers() {
        return outliers;
    }

    double probeDueMs() {
        return membership.nextTickMs();
    }

    void setEngines(Map<Long, Integer> kindsByEngine) {
        outliers.setEngines(kindsByEngine);
    }

    Set<Long> decideEjected(double nowMs) {
        return outliers.updateEjections(nowMs, rank -> membership.state(rank) == Membership.State.ALIVE);
    }

    /** The number of gateways that share the load, as the policy was told. */
    int sharing() {
        return sharing;
    }

    /**
     * Returns whether the policy is to be told another number of gateways that share the load, since it divides quotas and
     * slow start by it: after many have died, those that are left carry their clients.
     */
    boolean updateSharing(double nowMs) {
        int current = membership.loadSharingGateways();
        if (current == sharing || nowMs < sharingChangedMs + MIN_SHARING_INTERVAL_MS) return false;
        sharingChangedMs = nowMs;
        sharing = current;
        LOG.debug("gateways share the load count={} of={}", current, tierSize);
        return true;
    }

    void publishMembership(Metrics metrics) {
        metrics.members(
                membership.aliveCount(),
                membership.count(Membership.State.SUSPECT),
                membership.count(Membership.State.DEAD),
                membership.totals().deaths(),
                membership.totals().refutations(),
                membership.sent().datagrams(),
                membership.sent().bytes(),
                sum(membership.dropped()));
    }

    void publishOutliers(Metrics metrics) {
        metrics.outliers(
                outliers.ejectedEngines(), outliers.sent().datagrams(), outliers.received(), sum(outliers.dropped()));
    }

    static void log(EndpointUpdate update) {
        update.endpoints()
                .forEach(endpoint -> LOG.info(
                        "engine {} by the tier engine={}",
                        endpoint.state() == EndpointState.READY ? "readmitted" : "ejected",
                        Long.toHexString(endpoint.engine())));
    }

    static long sum(Map<DropReason, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
