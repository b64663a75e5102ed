package maplerail.routing;

import java.util.List;

/**
 * What a routing policy is created from.
 *
 * @param seed the source of all its random numbers; should differ from gateway to gateway
 * @param gateways the number of gateways that share the load
 * @param zone the index of the gateway's own zone
 * @param tickMs the resolution of the gateway's timers
 * @param mustSubscribe whether the policy has to ask for the subscription to endpoint updates
 * @param overQuotaWeight the factor on the priority of requests over their tenant's quota; 1 switches quotas off
 * @param classes the classes of requests
 * @param tenants the tenants
 * @param engineKinds the kinds of engines
 * @param limits what the deployment allows
 * @param rules the figures of the rules that the policy has to keep
 */
public record RoutingSettings(
        long seed,
        int gateways,
        int zone,
        double tickMs,
        boolean mustSubscribe,
        double overQuotaWeight,
        List<RequestClass> classes,
        List<Tenant> tenants,
        List<EngineKind> engineKinds,
        Limits limits,
        Rules rules) {

    /** The same settings where {@code count} gateways share the load. */
    public RoutingSettings withGateways(int count) {
        return new RoutingSettings(
                seed,
                count,
                zone,
                tickMs,
                mustSubscribe,
                overQuotaWeight,
                classes,
                tenants,
                engineKinds,
                limits,
                rules);
    }

    /**
     * A class of requests.
     *
     * @param objectiveMs the latency objective for the first token
     * @param objectiveMsPerToken what each token of the prompt adds to it
     * @param deadlineMs the time after which clients give up
     * @param tokenObjectiveMs the latency objective for each further token
     * @param priorityWeight what a request is worth against those of other classes
     * @param lateShare the share of that which an answer after the objective is still worth
     * @param idempotency how often a request may be executed
     * @param keyScope which engines recognise its idempotency key
     * @param keyTtlMs for how long they recognise it
     */
    public record RequestClass(
            double objectiveMs,
            double objectiveMsPerToken,
            double deadlineMs,
            double tokenObjectiveMs,
            double priorityWeight,
            double lateShare,
            Idempotency idempotency,
            IdempotencyScope keyScope,
            double keyTtlMs) {}

    /** A tenant and its quota in requests a second over all gateways; 0 for no limit. */
    public record Tenant(double quotaPerSecond) {}

    /** A kind of engine: its role and the tokens that its memory holds. */
    public record EngineKind(EngineRole role, double memoryTokens) {}

    /**
     * What the deployment allows.
     *
     * @param maxAttempts the most attempts for a request
     * @param cancel whether attempts can be called off
     * @param hedging whether a second attempt may be made while the first is in flight
     * @param retryAfter whether rejected clients can be told when to retry
     * @param maxRetryAfterMs the longest wait that they may be told
     * @param writersRead whether writers can read prompts too
     * @param placeReservations whether a writer can be asked to hold a place for a request that is still being read
     */
    public record Limits(
            int maxAttempts,
            boolean cancel,
            boolean hedging,
            boolean retryAfter,
            double maxRetryAfterMs,
            boolean writersRead,
            boolean placeReservations) {

        /** Limits of a deployment whose writers hold no places ahead. */
        public Limits(
                int maxAttempts,
                boolean cancel,
                boolean hedging,
                boolean retryAfter,
                double maxRetryAfterMs,
                boolean writersRead) {
            this(maxAttempts, cancel, hedging, retryAfter, maxRetryAfterMs, writersRead, false);
        }
    }

    /**
     * The figures of the rules that the policy has to keep.
     *
     * @param answerSlackMs how long after its deadline a final answer still counts
     * @param reservationLimitMs how long a state may be held with no attempt in flight
     * @param initialCapacity the share of its capacity that a process has when it has just started
     * @param overloadMultiple the multiple of its capacity under which such a process fails
     * @param overloadWindowMs for how long it has to last
     * @param slowStartMs the time after which a process has its full capacity
     * @param subscribeWithinMs the time within which the subscription has to be asked for
     */
    public record Rules(
            double answerSlackMs,
            double reservationLimitMs,
            double initialCapacity,
            double overloadMultiple,
            double overloadWindowMs,
            double slowStartMs,
            double subscribeWithinMs) {}
}
