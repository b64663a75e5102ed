package maplerail.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import maplerail.algorithms.TokenBucket;
import maplerail.core.ResponseObserver.Reason;

/**
 * Second stage: keeps contracts and budgets, and rejects new requests while the event loop is behind, before anything is
 * decided or sent. Brokers of several services may share one, as a team's budget covers all of them.
 */
public final class AdmissionStage {
    private static final double BUDGET_BURST_MS = 1_000; // of its rate that a team may use at once
    private static final double MAX_LAG_MS = 150; // of the loop, from which nothing new is taken
    private static final double RETRY_AFTER_LAG_MS = 500;
    private static final double RETRY_AFTER_BUSY_MS = 100; // where the number of open requests is the limit
    private static final double RETRY_SPREAD = 0.5; // of an advice, more or less by chance

    private final EventLoop loop;
    private final SplittableRandom random;
    private final LoopLagMonitor lag;
    private final Map<Integer, TeamUsage> usageByTeam = new HashMap<>();
    private AdmissionLimits limits;
    private BooleanSupplier refusing = () -> false;
    private int openRequests;

    private static final class TeamUsage {
        private final TokenBucket calls;
        private int inFlight;

        TeamUsage(double nowMs) {
            calls = new TokenBucket(Double.MAX_VALUE, nowMs); // cut to the burst by the first refill
        }
    }

    /** Why a request is rejected, and the time after which to retry; 0 for no advice. */
    record Rejection(Reason reason, double retryAfterMs) {}

    /**
     * Creates a stage with nothing open.
     *
     * @param random spreads the advice when to retry
     */
    public AdmissionStage(AdmissionLimits limits, EventLoop loop, SplittableRandom random) {
        this.limits = limits;
        this.loop = loop;
        this.random = random;
        this.lag = new LoopLagMonitor(loop, () -> openRequests > 0);
    }

    /** Sets when every request is rejected: the process sends its clients away. */
    public void rejectWhile(BooleanSupplier draining) {
        refusing = draining;
    }

    /** Sets other limits from now on; what is open counts against them. */
    public void changeLimits(AdmissionLimits newLimits) {
        limits = newLimits;
    }

    /** Admits a request, which then counts as open until {@link #release}, or says why it is rejected. */
    Optional<Rejection> admit(InferenceRequest request) {
        Optional<Rejection> rejection = check(request);
        if (rejection.isPresent()) return rejection;
        openRequests++;
        if (hasBudget(request)) usage(request.tenant()).inFlight++;
        lag.start();
        return Optional.empty();
    }

    /** Counts a request that was admitted as no longer open. */
    void release(InferenceRequest request) {
        openRequests--;
        if (hasBudget(request)) usage(request.tenant()).inFlight--;
    }

    private Optional<Rejection> check(InferenceRequest request) {
        if (exceedsContract(request)) return Optional.of(new Rejection(Reason.INVALID, 0));
        if (refusing.getAsBoolean()) return Optional.of(new Rejection(Reason.DRAINING, 0));
        // The rest of a stream that broke is taken: its client would lose all that it has had so far.
        if (lag.lagMs() >= MAX_LAG_MS && !request.resumed()) return reject(Reason.OVERLOAD, RETRY_AFTER_LAG_MS);
        if (openRequests >= limits.maxOpenRequests()) return reject(Reason.OVERLOAD, RETRY_AFTER_BUSY_MS);
        return hasBudget(request) ? charge(request.tenant()) : Optional.empty();
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

    /** Spreads the advice, so that clients that are rejected together don't come back together. */
    private Optional<Rejection> reject(Reason reason, double retryAfterMs) {
        double spread = 1 - RETRY_SPREAD + 2 * RETRY_SPREAD * random.nextDouble();
        return Optional.of(new Rejection(reason, retryAfterMs * spread));
    }
}
