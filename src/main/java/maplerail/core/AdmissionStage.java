package maplerail.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import maplerail.algorithms.TokenBucket;
import maplerail.core.ResponseObserver.Reason;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;

/**
 * Second stage: enforces contracts and budgets, and rejects new requests while the event loop lags, before they are
 * routed or sent. Brokers of several services may share one stage, as a team's budget covers all of them.
 */
public final class AdmissionStage {
    private static final double BUDGET_BURST_MS = 1_000; // burst capacity, as time at the team's rate
    private static final double MAX_LAG_MS = 150; // event loop lag from which new requests are rejected
    private static final double RETRY_AFTER_LAG_MS = 500;
    private static final double RETRY_AFTER_BUSY_MS = 100; // when too many requests are open
    private static final double RETRY_AFTER_MEMORY_MS = 500;
    private static final double RETRY_SPREAD =
            0.5; // random variation of the retry delay, as a share of it in either direction

    private final EventLoop loop;
    private final SplittableRandom random;
    private final LoopLagMonitor lag;
    private final Map<Integer, TeamUsage> usageByTeam = new HashMap<>();
    private final MemoryBudget memory;
    private final Metrics metrics;
    private AdmissionLimits limits;
    private BooleanSupplier isDraining = () -> false;
    private int openRequests;

    private static final class TeamUsage {
        private final TokenBucket calls;
        private int inFlight;

        TeamUsage(double nowMs) {
            calls = new TokenBucket(Double.MAX_VALUE, nowMs); // the first refill reduces it to the burst capacity
        }
    }

    /** Why a request is rejected, and the delay after which to retry; 0 for no advice. */
    record Rejection(Reason reason, double retryAfterMs) {}

    /**
     * Creates a stage without open requests.
     *
     * @param memory the memory for the payloads of open requests
     * @param random varies the advised retry delays
     */
    public AdmissionStage(
            AdmissionLimits limits, MemoryBudget memory, EventLoop loop, SplittableRandom random, Metrics metrics) {
        this.limits = limits;
        this.memory = memory;
        this.metrics = metrics;
        this.loop = loop;
        this.random = random;
        this.lag = new LoopLagMonitor(loop, () -> openRequests > 0);
    }

    /** Sets the condition under which every request is rejected because the process is draining. */
    public void rejectWhile(BooleanSupplier draining) {
        isDraining = draining;
    }

    /** Replaces the limits; requests that are already open count against the new ones. */
    public void changeLimits(AdmissionLimits newLimits) {
        limits = newLimits;
    }

    /**
     * Admits a request, which counts as open until {@link #release} and has memory for its payload, or returns why it is
     * rejected.
     */
    Optional<Rejection> admit(RequestRecord record) {
        InferenceRequest request = record.request;
        record.memory = memory.reserveNothing();
        Optional<Rejection> rejection = check(request);
        if (rejection.isPresent()) return rejection;
        if (!record.memory.tryGrow(request.payloadBytes())) return Optional.of(rejectForMemory());
        openRequests++;
        if (hasBudget(request)) usage(request.tenant()).inFlight++;
        lag.start();
        return Optional.empty();
    }

    /** Stops counting an admitted request as open. */
    void release(InferenceRequest request) {
        openRequests--;
        if (hasBudget(request)) usage(request.tenant()).inFlight--;
    }

    private Optional<Rejection> check(InferenceRequest request) {
        if (exceedsContract(request)) return Optional.of(new Rejection(Reason.INVALID, 0));
        if (isDraining.getAsBoolean()) return Optional.of(new Rejection(Reason.DRAINING, 0));
        // Resumed streams are admitted: rejecting one would cost its client all it has received so far.
        if (lag.lagMs() >= MAX_LAG_MS && !request.resumed()) return reject(Reason.OVERLOAD, RETRY_AFTER_LAG_MS);
        if (openRequests >= limits.maxOpenRequests()) return reject(Reason.OVERLOAD, RETRY_AFTER_BUSY_MS);
        return hasBudget(request) ? charge(request.tenant()) : Optional.empty();
    }

    /** The rejection of a request for whose payload there is no memory. */
    Rejection rejectForMemory() {
        metrics.count(EventCount.REQUESTS_REFUSED_MEMORY);
        return randomized(Reason.OVERLOAD, RETRY_AFTER_MEMORY_MS);
    }

    private boolean exceedsContract(InferenceRequest request) {
        int index = request.requestClass();
        return index < limits.contracts().size()
                && request.payloadBytes() > limits.contracts().get(index).maxBytes();
    }

    private boolean hasBudget(InferenceRequest request) {
        return request.tenant() < limits.teams().size();
    }

    private Optional<Rejection> charge(int team) {
        AdmissionLimits.Budget budget = limits.teams().get(team);
        TeamUsage usage = usage(team);
        if (usage.inFlight >= budget.maxInFlight()) return reject(Reason.BUDGET, RETRY_AFTER_BUSY_MS);
        double callsPerMs = budget.callsPerSecond() / 1_000;
        usage.calls.refill(loop.nowMs(), callsPerMs, Math.max(1, callsPerMs * BUDGET_BURST_MS));
        if (usage.calls.tryConsume()) return Optional.empty();
        return Optional.of(new Rejection(Reason.BUDGET, (1 - usage.calls.tokens()) / callsPerMs));
    }

    private TeamUsage usage(int team) {
        return usageByTeam.computeIfAbsent(team, t -> new TeamUsage(loop.nowMs()));
    }

    /** Randomizes the retry delay, so that clients that are rejected at the same time don't retry at the same time. */
    private Optional<Rejection> reject(Reason reason, double retryAfterMs) {
        return Optional.of(randomized(reason, retryAfterMs));
    }

    private Rejection randomized(Reason reason, double retryAfterMs) {
        double factor = 1 - RETRY_SPREAD + 2 * RETRY_SPREAD * random.nextDouble();
        return new Rejection(reason, retryAfterMs * factor);
    }
}
