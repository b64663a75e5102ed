package maplerail.routing;

import java.util.List;

/**
 * The settings of a routing policy.
 *
 * @param seed the seed of all its random numbers; should differ between gateways
 * @param gateways the number of gateways that share the load
 * @param zone the index of the gateway's own zone
 * @param tickMs the resolution of the gateway's timers
 * @param mustSubscribe whether the policy has to request the subscription to endpoint updates
 * @param overQuotaWeight the factor on the priority weight of requests that exceed their tenant's quota; 1 disables quotas
 * @param classes the classes of requests
 * @param tenants the tenants
 * @param engineKinds the kinds of engines
 * @param limits the limits of the deployment
 * @param rules the parameters of the rules that the policy has to follow
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

    /** Returns the same settings for {@code count} gateways that share the load. */
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
     * @param objectiveMsPerToken the time that each token of the prompt adds to this objective
     * @param deadlineMs the time after which clients stop waiting
     * @param tokenObjectiveMs the latency objective for each further token
     * @param priorityWeight the value of a request relative to those of other classes
     * @param lateShare the share of this value that remains if the answer misses the objective
     * @param idempotency whether a request may be executed more than once
     * @param keyScope the engines that recognise its idempotency key
     * @param keyTtlMs the time for which they recognise it
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

    /** A tenant and its quota in requests per second over all gateways; 0 for no limit. */
    public record Tenant(double quotaPerSecond) {}

    /** A kind of engine: its role and its memory size in tokens. */
    public record EngineKind(EngineRole role, double memoryTokens) {}

    /**
     * The limits of the deployment.
     *
     * @param maxAttempts the maximum number of attempts for a request
     * @param cancel whether attempts can be cancelled
     * @param hedging whether a second attempt may be started while the first is in flight
     * @param retryAfter whether a rejection can state when the client should retry
     * @param maxRetryAfterMs the maximum delay that it may state
     * @param writersCanRead whether writers can read prompts too
     * @param placeReservations whether a writer can reserve a place for a request whose prompt is still being read
     */
    public record Limits(
            int maxAttempts,
            boolean cancel,
            boolean hedging,
            boolean retryAfter,
            double maxRetryAfterMs,
            boolean writersCanRead,
            boolean placeReservations) {

        /** Creates the limits of a deployment whose writers cannot reserve places. */
        public Limits(
                int maxAttempts,
                boolean cancel,
                boolean hedging,
                boolean retryAfter,
                double maxRetryAfterMs,
                boolean writersCanRead) {
            this(maxAttempts, cancel, hedging, retryAfter, maxRetryAfterMs, writersCanRead, false);
        }
    }

    /**
     * The parameters of the rules that the policy has to follow.
     *
     * @param answerSlackMs the time after its deadline for which a final answer still counts
     * @param reservationLimitMs the time for which a state may be reserved without an attempt in flight
     * @param initialCapacity the share of its capacity that a newly started process has
     * @param overloadMultiple the load, as a multiple of its present capacity, under which such a process fails
     * @param overloadWindowMs the time for which this load has to last
     * @param slowStartMs the time after which a process has its full capacity
     * @param subscribeWithinMs the time within which the subscription has to be requested
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
