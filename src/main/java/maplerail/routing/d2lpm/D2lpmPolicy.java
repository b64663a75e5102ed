package maplerail.routing.d2lpm;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import maplerail.algorithms.DecayingAverage;
import maplerail.algorithms.DecayingCounts;
import maplerail.algorithms.DecayingRate;
import maplerail.algorithms.Medians;
import maplerail.algorithms.PlacementTable;
import maplerail.algorithms.RendezvousHash;
import maplerail.algorithms.TokenBucket;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.EngineRole;
import maplerail.routing.Idempotency;
import maplerail.routing.IdempotencyScope;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingEvent.PrefixCached;
import maplerail.routing.RoutingPolicy;
import maplerail.routing.RoutingSettings;
import maplerail.routing.RoutingSettings.RequestClass;
import maplerail.routing.TimerToken;
import maplerail.routing.TimerToken.Purpose;

/**
 * Makes every decision of a gateway. Its contract is {@link RoutingPolicy} (RoutingPolicy.java).
 * <p>The regular path is D2LPM: a prompt is read by the reader with the longest cached prefix if its
 * client has credit there, otherwise by the reader with credit and the shortest queue. The writer with the
 * lowest projected memory then generates the answer. All other rules handle failures, overload or missing
 * information, and their comments state which.
 */
public final class D2lpmPolicy implements RoutingPolicy {

    /** Tokens by which a client's grant grows at every reader when it has no credit left (D2LPM design). */
    private static final double QUANTUM_TOKENS = 40_000;
    /** Weight of output tokens relative to prompt tokens in the deficit (D2LPM design). */
    private static final double OUTPUT_WEIGHT = 2;
    /** Share of the maximum output that is assumed for a request without a hint. */
    private static final double ESTIMATED_OUTPUT_SHARE = 0.5;
    /** Time for which a prefix is assumed to stay cached (D2LPM design). */
    private static final double CACHE_TTL_MS = 20_000;
    /** Share of an assumed match; if a read finds less cached, the entry is dropped (D2LPM design). */
    private static final double MIN_CONFIRMED_SHARE = 0.5;
    /** Bounds of the placement tables, far above the number of entries that have not expired. */
    private static final int MAX_KEYS = 20_000, MAX_READERS_PER_KEY = 8;
    /** Time for which the arrivals of a prefix are counted. */
    private static final double ARRIVAL_RETENTION_MS = 40_000;
    /** Key under which every arrival is counted. */
    private static final long ALL_ARRIVALS_KEY = 0;
    /** Fixed cost of a read in tokens, for one engine step and the messages. */
    private static final double READ_OVERHEAD_TOKENS = 300;
    /** Share of a prompt that is assumed to be cached at the reader assigned to its session. */
    private static final double HISTORY_SHARE = 0.8;
    /** Assigned readers, per existing reader, of a prefix that has all arrivals; prior count of arrivals. */
    private static final double ASSIGNMENT_SPREAD = 2, ASSIGNMENT_PRIOR = 8;
    /** Cost of a state transfer to another cell or zone, as a share of a writer's memory. */
    private static final double OTHER_CELL_COST = 0.04, OTHER_ZONE_COST = 0.08;
    /** Cost of a wait as long as the objective, as a share of a writer's memory. */
    private static final double WAIT_COST = 0.3;
    /** Upper limit of reported values, in tokens or ms; larger ones are not plausible. */
    private static final double MAX_PLAUSIBLE = 1e7;
    /** Sample limit and time constant of the means of recent values. */
    private static final double MEAN_SAMPLES = 5, MEAN_DECAY_MS = 20_000;
    /** Weight of an overdue answer in the failure rate, relative to a failure. */
    private static final double OVERDUE_FAILURE_WEIGHT = 0.6;
    /** Failure rate above which an engine is ejected if it is an outlier among its peers. */
    private static final double MAX_FAILURE_RATE = 0.35;
    /** Multiples of the peers' median failure rate and median pace above which an engine is an outlier. */
    private static final double OUTLIER_RATIO = 2.5, SLOW_OUTLIER_RATIO = 4;
    /** Lower limit of a relative pace, so that a few fast samples don't attract all gateways to an engine. */
    private static final double MIN_RELATIVE_PACE = 0.7;
    /** Share of the shortest objective that the mean response time of an engine ejected as slow exceeds. */
    private static final double HARMFUL_RESPONSE_SHARE = 0.4;
    /** Share of the time left to the objective that a read may take before its reader counts as strained. */
    private static final double MAX_READ_SHARE = 0.3;
    /** Samples needed to judge an engine, and to include it in the medians of its peers. */
    private static final double SUFFICIENT_SAMPLES = 3, MIN_PEER_SAMPLES = 0.3;
    /** Relative pace that is taken into account even with fewer samples. */
    private static final double SIGNIFICANT_PACE = 1.5;
    /** Maximum share of the engines of a role that are ejected at the same time. */
    private static final double MAX_EJECTED_SHARE = 0.5;
    /** Duration of the first ejection, which doubles with each further one, and its maximum. */
    private static final double EJECTION_MS = 1_000, MAX_EJECTION_MS = 8_000;
    /** Successes on trial that end an ejection; each doubles the number of attempts allowed in flight. */
    private static final int TRIAL_SUCCESSES = 4;
    /** Time for which an engine that reported to be at capacity is avoided. */
    private static final double OVERLOAD_AVOIDANCE_MS = 150;
    /** Multiple of the expected time and minimum share of the objective after which an attempt is overdue. */
    private static final double OVERDUE_MULTIPLE = 3, MIN_OVERDUE_SHARE = 0.4;
    /** Retries earned per arrival; maximum number of retries saved up from recent arrivals. */
    private static final double RETRY_SHARE = 0.2, RETRY_BURST = 10;
    /** Mean wait of a role, as a share of the objective, above which attempts are not hedged. */
    private static final double CONGESTED_ROLE_SHARE = 0.25;
    /** Factor by which the estimate of the pace without queueing grows with each read. */
    private static final double UNLOADED_PACE_DRIFT = 1.01;
    /** Time constants with which observed waits decay at one engine and over a whole role. */
    private static final double WAIT_DECAY_MS = 2_000, ROLE_WAIT_DECAY_MS = 8_000;
    /** Shares of an objective above which work is rejected: time to the first token; queueing alone. */
    private static final double MAX_FIRST_TOKEN_SHARE = 0.7, MIN_QUEUE_SHARE = 0.2;
    /** Time whose worth of its quota a tenant may use in one burst. */
    private static final double QUOTA_BURST_MS = 5_000;
    /** Time for which the medians of a role are cached. */
    private static final double MEDIANS_TTL_MS = 10;
    /** Interval between selections for a request without an eligible engine. */
    private static final double RESELECTION_MS = 25;
    /** Time by which a timer is set before its limit: ticks of the gateway's timers plus a constant. */
    private static final double MARGIN_TICKS = 3, MARGIN_MS = 4;
    /** Load that is sent to an engine in slow start, as a multiple of its present capacity. */
    private static final double SLOW_START_LOAD = 1.2;
    /** Time constant of the rates at which attempts are sent. */
    private static final double SEND_RATE_DECAY_MS = 10_000;
    /** Delay before another attempt to subscribe to endpoint updates. */
    private static final double SUBSCRIBE_RETRY_MS = 1_000;

    private enum Phase { READING, SELECTING_WRITER, WRITING, STREAMING, CLOSED }

    /** Medians over the ready engines of a role, and this gateway's mean send rate at warm ones. */
    private record RoleMedians(double pace, double responseMs, double streamPace, double failureRate,
            double warmSendRate) {}

    private final class EngineState {
        final long id;
        Endpoint endpoint;
        EngineRole role;
        /** Tokens that each client has used of its D2LPM grant at this engine. */
        final Map<Integer, Double> usedTokens = new TreeMap<>();
        /** Attempts in flight, oldest first; the uncached tokens of reads and the projected tokens of
         * streams. */
        final List<AttemptState> inFlight = new ArrayList<>();
        double queuedTokens, projectedTokens;
        double reportedMemory = Double.NaN; // share in use; NaN: none reported
        /** Milliseconds for each unit of cost, for a whole response, and for each token of an answer. */
        final DecayingAverage pace = recentMean(), responseMs = recentMean(), streamPace = recentMean();
        final DecayingAverage failureRate = recentMean();
        final DecayingRate sendRate = new DecayingRate(SEND_RATE_DECAY_MS);
        /** Filled randomly: gateways that learn of a new process at once must not all have a whole token. */
        final TokenBucket slowStart = new TokenBucket(random.nextDouble(), nowMs);
        double lastSuccessMs, overloadedUntilMs;
        /** Send time of the latest answered attempt; attempts sent before it have been overtaken. */
        double latestAnsweredSentMs = Double.NEGATIVE_INFINITY;
        /** Outlier detection: an engine is in service, or ejected until a time and then on trial. */
        boolean ejected;
        double ejectedUntilMs;
        int ejections, successfulTrials;

        EngineState(long id) { this.id = id; }

        boolean isReady() { return endpoint.state() == EndpointState.READY; }
    }

    private final class AttemptState {
        final RequestState request;
        final int number;
        final EngineState engine;
        final boolean isRead;
        final double sentMs = nowMs;
        /** Whether it can have an effect at all: an attempt at a pure reader has none, however it ends. */
        final boolean canHaveEffect;
        double cost, uncachedTokens, matchedTokens;
        boolean ended, cancelled, streaming, answered;
        /** Whether its outcome proves that it had no effect. */
        boolean provenWithoutEffect;
        /** If overdue: extended once, as its engine answered others; not cancelled, as not repeatable. */
        boolean graceGranted, cancelDeferred;

        AttemptState(RequestState request, EngineState engine, boolean isRead) {
            this.request = request;
            this.number = request.attempts.size();
            this.engine = engine;
            this.isRead = isRead;
            this.canHaveEffect = engine.role != EngineRole.READER;
        }

        boolean mayHaveExecuted() { return canHaveEffect && !provenWithoutEffect; }

        /** True once engines may no longer recognise its idempotency key. */
        boolean isKeyExpired() { return nowMs >= sentMs + request.requestClass.keyTtlMs(); }

        /** Readers process prompts in order: an answer to a later prompt shows that this answer was lost. */
        boolean isOvertaken() { return engine.role == EngineRole.READER
                && sentMs < engine.latestAnsweredSentMs; }

        boolean isQueued() { return !streaming && !cancelled && !cancelDeferred && !isOvertaken(); }
    }

    private final class RequestState {
        final RoutingEvent.RequestArrived arrival;
        final long id;
        final RequestClass requestClass;
        final RoutingSettings.Limits limits = settings.limits();
        final int client;
        final double objectiveAtMs, deadlineAtMs, estimatedOutput;
        final long tieBreaker; // its session, or a random number
        final List<AttemptState> attempts = new ArrayList<>();
        Phase phase = Phase.READING;
        /** Readers assumed to have this many of its tokens cached because of other gateways' requests. */
        List<EngineState> assignedReaders = List.of();
        double assignedTokens;
        double priorityWeight; // reduced if its tenant exceeds the quota
        int attemptsInFlight;
        /** The reader that holds the state for a writer. */
        EngineState stateHolder;
        /** The writer that has reserved a place for it, to which the reader moves the state unprompted. */
        EngineState reservedWriter;
        /** The writer that was last asked for a place and has not reserved it; the next is another. */
        EngineState askedWriter;
        boolean mayHoldState; // whether any engine may hold a state for it
        double reservedMs, firstTokenMs; // start of the state's reservation; time of the first token

        RequestState(RoutingEvent.RequestArrived arrival, int client) {
            this.arrival = arrival;
            this.id = arrival.requestId();
            this.requestClass = settings.classes().get(arrival.requestClass());
            this.priorityWeight = requestClass.priorityWeight();
            this.client = client;
            this.tieBreaker = arrival.session() != 0 ? arrival.session() : random.nextLong();
            double promptMs = requestClass.objectiveMsPerToken() * arrival.promptTokens();
            this.objectiveAtMs = nowMs + requestClass.objectiveMs() + promptMs;
            this.deadlineAtMs = nowMs + arrival.budgetMs();
            double tokenMs = requestClass.tokenObjectiveMs();
            double hintedOutput = tokenMs > 0 ? arrival.expectedStreamMs() / tokenMs : 0;
            this.estimatedOutput = hintedOutput > 0 ? hintedOutput
                    : ESTIMATED_OUTPUT_SHARE * arrival.maxOutputTokens();
        }

        boolean mayHaveExecuted() { return attempts.stream().anyMatch(AttemptState::mayHaveExecuted); }

        boolean is(Idempotency idempotency) { return requestClass.idempotency() == idempotency; }

        boolean isAnswered() { return phase == Phase.CLOSED || phase == Phase.STREAMING; }
    }

    private RoutingSettings settings;
    private final SplittableRandom random;
    private final TreeMap<Long, EngineState> engines = new TreeMap<>();
    private final Map<Long, RequestState> requests = new LinkedHashMap<>();
    private final PlacementTable<EngineState> sessions =
            new PlacementTable<>(MAX_KEYS, MAX_READERS_PER_KEY, CACHE_TTL_MS);
    private final PlacementTable<EngineState> prefixes =
            new PlacementTable<>(MAX_KEYS, MAX_READERS_PER_KEY, CACHE_TTL_MS);
    private final DecayingCounts arrivals = new DecayingCounts(CACHE_TTL_MS, ARRIVAL_RETENTION_MS, MAX_KEYS);
    private final Map<EngineRole, RoleMedians> medians = new TreeMap<>();
    private double mediansExpireMs;
    /** Recent waits for a first token at all engines; a writer at capacity counts as a whole objective. */
    private final DecayingAverage firstTokenWaits = recentMean();
    /** The same for reads, less the time at the unloaded pace, which is the lowest pace of recent reads. */
    private final DecayingAverage readWaits = recentMean();
    private double unloadedPace = Double.POSITIVE_INFINITY;
    private final Map<Integer, Double> grantedTokens = new TreeMap<>(); // per client, at every reader
    private double retryBudget = RETRY_BURST;
    private final Map<Integer, TokenBucket> quotas = new TreeMap<>();
    private boolean subscribePending;
    private double nowMs;
    private List<RoutingAction> actions = new ArrayList<>();

    /** Creates the policy of a gateway that has just started. */
    public D2lpmPolicy(RoutingSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
    }

    private static DecayingAverage recentMean() { return new DecayingAverage(MEAN_SAMPLES, MEAN_DECAY_MS); }

    // ---- Events ----

    @Override
    public List<RoutingAction> step(double stepMs, List<? extends RoutingEvent> events) {
        nowMs = stepMs;
        actions = new ArrayList<>();
        if (nowMs >= mediansExpireMs) medians.clear();
        for (RoutingEvent event : events) event.accept(new EventHandler());
        return actions;
    }

    private final class EventHandler implements RoutingEvent.Handler {
        @Override
        public void onEndpointUpdate(RoutingEvent.EndpointUpdate update) {
            boolean remembered = update.kind() == EndpointUpdateKind.REMEMBERED;
            if (settings.mustSubscribe() && remembered) actions.add(new RoutingAction.SubscribeEndpoints());
            if (update.kind() == EndpointUpdateKind.FAILED) {
                if (!subscribePending) setTimer(0, 0, Purpose.SUBSCRIBE, nowMs + SUBSCRIBE_RETRY_MS);
                subscribePending = true;
                return;
            }
            medians.clear();
            List<Long> listedIds = update.endpoints().stream().map(Endpoint::engine).toList();
            if (update.kind() != EndpointUpdateKind.DELTA) engines.keySet().retainAll(listedIds);
            update.endpoints().forEach(D2lpmPolicy.this::updateEndpoint);
        }

        @Override
        public void onRequestArrived(RoutingEvent.RequestArrived arrival) {
            // Implausible values must not corrupt lasting statistics.
            handleArrival(arrival.clampedTo(MAX_PLAUSIBLE));
        }

        @Override
        public void onFirstToken(RoutingEvent.FirstToken firstToken) {
            // New observations invalidate the cached medians; the passing of a few milliseconds does not.
            medians.clear();
            AttemptState attempt = findInFlight(firstToken.requestId(), firstToken.attempt());
            if (attempt != null && attempt.request.phase != Phase.STREAMING) startStream(attempt, firstToken);
        }

        @Override
        public void onAttemptEnded(RoutingEvent.AttemptEnded ended) {
            medians.clear();
            AttemptState attempt = findInFlight(ended.requestId(), ended.attempt());
            if (attempt != null) endAttempt(attempt, ended);
        }

        /** Any writer's answer states whether the read is in flight; asks the one that would be selected. */
        @Override
        public void onReadOverdue(RoutingEvent.ReadOverdue read) {
            AttemptState attempt = findInFlight(read.requestId(), read.attempt());
            if (attempt == null || !attempt.request.limits.placeReservations()) return;
            RequestState request = attempt.request;
            boolean repeat = request.reservedWriter != null && request.reservedWriter.isReady()
                    && request.reservedWriter != request.askedWriter;
            EngineState writer = repeat
                    ? request.reservedWriter : selectWriter(request, request.askedWriter, attempt.engine);
            if (writer == null) return;
            request.askedWriter = writer;
            actions.add(new RoutingAction.ReservePlace(request.id, writer.id));
        }

        @Override
        public void onPlaceReserved(RoutingEvent.PlaceReserved place) {
            RequestState request = requests.get(place.requestId());
            if (request == null) return;
            request.reservedWriter = engines.get(place.engine());
            request.askedWriter = null;
        }

        @Override
        public void onRequestAbandoned(RoutingEvent.RequestAbandoned abandoned) {
            closeRequest(requests.get(abandoned.requestId()));
        }

        @Override
        public void onTimerFired(RoutingEvent.TimerFired timer) {
            TimerToken token = TimerToken.decode(timer.token());
            RequestState request = requests.get(token.requestId());
            switch (token.purpose()) {
                case SUBSCRIBE -> {
                    subscribePending = false;
                    actions.add(new RoutingAction.SubscribeEndpoints());
                }
                case DEADLINE -> rejectOrFail(request);
                case RETRY_SELECTION -> reselect(request);
                case RESERVATION_LIMIT -> onReservationLimit(request);
                case ATTEMPT_OVERDUE -> onOverdue(request, token.attempt());
            }
        }

        @Override
        public void onSettingsChanged(RoutingEvent.SettingsChanged change) {
            settings = change.settings();
        }

        @Override
        public void onPrefixCached(PrefixCached cached) {
            EngineState engine = engines.get(cached.engine());
            PlacementTable<EngineState> table = cached.session() ? sessions : prefixes;
            if (engine != null) putPlacement(table, cached.key(), engine, cached.tokens(), cached.atMs());
        }

        /** Peers' reads count in a reader's pace like own ones, but only own observations cause ejections. */
        @Override
        public void onPeerRead(RoutingEvent.PeerRead read) {
            medians.clear();
            EngineState engine = engines.get(read.engine());
            if (engine == null || engine.role == EngineRole.WRITER || !(read.elapsedMs() > 0)) return;
            engine.pace.add(read.elapsedMs() / (plausible(read.tokens()) + READ_OVERHEAD_TOKENS), nowMs);
            engine.responseMs.add(read.elapsedMs(), nowMs);
        }
    }

    private void updateEndpoint(Endpoint endpoint) {
        if (endpoint.state() == EndpointState.REMOVED || endpoint.kind() >= settings.engineKinds().size()) {
            engines.remove(endpoint.engine());
            return;
        }
        EngineState engine = engines.get(endpoint.engine());
        // A restarted process has an empty cache, and statistics of the previous process don't apply.
        if (engine == null || endpoint.startedMs() > engine.endpoint.startedMs()) {
            engine = new EngineState(endpoint.engine());
            engines.put(engine.id, engine);
        }
        engine.endpoint = endpoint;
        engine.role = settings.engineKinds().get(endpoint.kind()).role();
    }

    private static double plausible(double reported) {
        return reported > 0 ? Math.min(reported, MAX_PLAUSIBLE) : 0;
    }

    private void handleArrival(RoutingEvent.RequestArrived arrival) {
        boolean hasClass = arrival.requestClass() >= 0 && arrival.requestClass() < settings.classes().size();
        if (!hasClass || arrival.tenant() < 0) {
            actions.add(new RoutingAction.RejectRequest(arrival.requestId(), 0));
            return;
        }
        boolean hasTenant = arrival.tenant() < settings.tenants().size();
        int client = hasTenant ? arrival.tenant() : -1 - arrival.requestClass();
        RequestState request = new RequestState(arrival, client);
        if (hasTenant && isOverQuota(arrival.tenant())) request.priorityWeight *= settings.overQuotaWeight();
        requests.put(arrival.requestId(), request);
        if (latestAnswerMs(request) <= nowMs) {
            rejectOrFail(request);
            return;
        }
        arrivals.increment(ALL_ARRIVALS_KEY, nowMs);
        if (arrival.prefix() != ALL_ARRIVALS_KEY) arrivals.increment(arrival.prefix(), nowMs);
        double earnedLimit = Math.min(RETRY_BURST, RETRY_SHARE * arrivals.count(ALL_ARRIVALS_KEY, nowMs));
        // The total over all gateways does not grow with their number.
        double sharedLimit = RETRY_BURST / Math.max(1, settings.gateways() / ASSIGNMENT_PRIOR);
        retryBudget = Math.min(Math.max(1, Math.max(earnedLimit, sharedLimit)), retryBudget + RETRY_SHARE);
        setTimer(arrival.requestId(), 0, Purpose.DEADLINE, latestAnswerMs(request));
        EngineState reader = selectReader(request, null);
        if (isOverloaded(request, reader)) rejectOrFail(request);
        else startReadAt(request, reader);
    }

    private void startStream(AttemptState attempt, RoutingEvent.FirstToken firstToken) {
        RequestState request = attempt.request;
        request.stateHolder = null;
        request.mayHoldState = false;
        request.firstTokenMs = nowMs;
        attempt.streaming = true;
        if (request.phase != Phase.CLOSED) request.phase = Phase.STREAMING;
        recordResponse(attempt, firstToken.elapsedMs());
        firstTokenWaits.add(Math.min(plausible(firstToken.elapsedMs()), request.requestClass.objectiveMs()),
                nowMs);
        recordSuccess(attempt.engine);
        cancelOthers(attempt);
    }

    private void endAttempt(AttemptState attempt, RoutingEvent.AttemptEnded ended) {
        RequestState request = attempt.request;
        attempt.ended = true;
        attempt.provenWithoutEffect = ended.outcome().provesNoEffect();
        request.attemptsInFlight--;
        request.reservedMs = nowMs;
        request.mayHoldState |= ended.outcome() == AttemptOutcome.PROMPT_READ;
        settleLoad(attempt, ended.outcome());
        recordOutcome(attempt, ended);
        // The place reserved for a failed attempt is released before the next attempt.
        if (ended.outcome() != AttemptOutcome.PROMPT_READ) request.reservedWriter = null;
        if (request.phase == Phase.CLOSED) releaseAndRemove(request);
        else if (ended.outcome() == AttemptOutcome.COMPLETED || ended.requestClosed()) closeRequest(request);
        else if (ended.outcome() == AttemptOutcome.PROMPT_READ) onPromptRead(request, attempt);
        else onFailure(request, attempt, ended.outcome());
    }

    private AttemptState findInFlight(long requestId, int number) {
        RequestState request = requests.get(requestId);
        if (request == null || number >= request.attempts.size()) return null;
        return request.attempts.get(number).ended ? null : request.attempts.get(number);
    }

    private void setTimer(long requestId, int attempt, Purpose purpose, double atMs) {
        actions.add(new RoutingAction.SetTimer(new TimerToken(requestId, attempt, purpose).encode(), atMs));
    }

    // ---- Reader: D2LPM ----

    /** Sends the prompt to a reader, or schedules another selection if none is eligible. */
    private void startRead(RequestState request, EngineState previous) {
        request.phase = Phase.READING;
        startReadAt(request, selectReader(request, previous));
    }

    private void startReadAt(RequestState request, EngineState reader) {
        if (reader == null) {
            scheduleReselection(request);
            return;
        }
        AttemptState attempt = new AttemptState(request, reader, true);
        attempt.matchedTokens = matchedTokens(request, reader);
        attempt.uncachedTokens = Math.max(0, request.arrival.promptTokens() - attempt.matchedTokens);
        attempt.cost = reader.queuedTokens + attempt.uncachedTokens + READ_OVERHEAD_TOKENS;
        charge(reader, request.client, request.arrival.promptTokens());
        if (startAttempt(attempt)) recordRead(request, reader);
    }

    private EngineState selectReader(RequestState request, EngineState previous) {
        List<EngineState> candidates = eligibleEngines(request, previous, this::readsPrompts);
        if (candidates.isEmpty()) return null;
        int zone = preferredZone(request, candidates);
        List<EngineState> zoneReaders = filter(candidates, e -> e.endpoint.zone() == zone);
        if (!zoneReaders.isEmpty() && zoneReaders.size() < candidates.size()) {
            int zones = (int) candidates.stream().map(e -> e.endpoint.zone()).distinct().count();
            List<EngineState> matched = longestMatch(request, zoneReaders, settings.gateways() / zones);
            EngineState zoneReader = selectWorker(request, zoneReaders, matched);
            if (!isStrained(request, zoneReader)) return zoneReader;
        }
        List<EngineState> matched = longestMatch(request, candidates, settings.gateways());
        return spill(request, selectWorker(request, candidates, matched), candidates);
    }

    private boolean readsPrompts(EngineState engine) {
        return engine.role != EngineRole.WRITER || settings.limits().writersCanRead()
                && engines.values().stream().noneMatch(e -> e.isReady() && e.role != EngineRole.WRITER);
    }

    /** The zone to read in: the gateway's own, unless the advantage of another zone's least loaded writer
     * exceeds the transfer cost. As reads follow the writers' capacity, states need not leave a zone for
     * lack of writers. */
    private int preferredZone(RequestState request, List<EngineState> readers) {
        double averageMemory = averageReportedMemory();
        List<EngineState> writers = eligibleEngines(request, null, e -> e.role != EngineRole.READER
                && readers.stream().anyMatch(r -> r.endpoint.zone() == e.endpoint.zone()));
        EngineState best = lowest(writers, e -> writerLoad(e, request, averageMemory)
                + (e.endpoint.zone() == settings.zone() ? 0 : OTHER_ZONE_COST), 0);
        return best == null ? settings.zone() : best.endpoint.zone();
    }

    /** A writer's load as a share of its memory; streams of other gateways show in its waits. */
    private double writerLoad(EngineState writer, RequestState request, double averageMemory) {
        double waitShare = waitMs(writer) / request.requestClass.objectiveMs();
        return projectedShare(writer, request, averageMemory) + WAIT_COST * waitShare;
    }

    private double averageReportedMemory() {
        return engines.values().stream().filter(e -> e.isReady() && !Double.isNaN(e.reportedMemory))
                .mapToDouble(e -> e.reportedMemory).average().orElse(0);
    }

    /** SelectWorker, Algorithm 2 of the D2LPM paper. */
    private EngineState selectWorker(RequestState request, List<EngineState> candidates,
            List<EngineState> matched) {
        int client = request.client;
        double maxCredit = candidates.stream().mapToDouble(e -> credit(e, client)).max().orElse(0);
        if (maxCredit <= 0) grantedTokens.merge(client,
                QUANTUM_TOKENS * (Math.floor(-maxCredit / QUANTUM_TOKENS) + 1), Double::sum);
        EngineState matchedReader = leastQueued(matched, request);
        return matchedReader != null ? matchedReader : leastQueued(candidates, request);
    }

    /** A client's remaining tokens at a reader; at most a quantum at one not used yet, as a new process. */
    private double credit(EngineState engine, int client) {
        double granted = grantedTokens.getOrDefault(client, 0.0);
        return granted - engine.usedTokens.getOrDefault(client, Math.max(0, granted - QUANTUM_TOKENS));
    }

    private void charge(EngineState engine, int client, double tokens) {
        double used = grantedTokens.getOrDefault(client, 0.0) - credit(engine, client);
        engine.usedTokens.put(client, used + tokens);
    }

    /** Exception to D2LPM: a strained reader is replaced by one with less than half its expected time (less
     * than its time if it is slow). This relieves the reader of a popular prefix, at the cost of caching the
     * prefix at more readers. */
    private EngineState spill(RequestState request, EngineState chosen, List<EngineState> candidates) {
        if (!isStrained(request, chosen)) return chosen;
        double limitMs = expectedReadMs(request, chosen) / (relativePace(chosen) >= SIGNIFICANT_PACE ? 1 : 2);
        EngineState fastest = lowest(candidates, e -> expectedReadMs(request, e), random.nextLong());
        return expectedReadMs(request, fastest) < limitMs ? fastest : chosen;
    }

    /** True if a reader is slow, or expected to need too much of the time left to the objective. */
    private boolean isStrained(RequestState request, EngineState reader) {
        return relativePace(reader) >= SIGNIFICANT_PACE
                || expectedReadMs(request, reader) > MAX_READ_SHARE * (request.objectiveAtMs - nowMs);
    }

    private double expectedReadMs(RequestState request, EngineState reader) {
        return readTimeMs(reader, reader.queuedTokens + neededTokens(request, reader));
    }

    /** The uncached tokens of a request at a reader plus the fixed cost of a read. */
    private double neededTokens(RequestState request, EngineState reader) {
        return Math.max(0, request.arrival.promptTokens() - matchedTokens(request, reader))
                + READ_OVERHEAD_TOKENS;
    }

    private double readTimeMs(EngineState reader, double tokens) {
        double pace = medians(reader).pace;
        return Double.isNaN(pace) ? 0 : pace * relativePace(reader) * tokens;
    }

    /** The reader with credit whose queue of own reads takes least time; ties by the session's hash. */
    private EngineState leastQueued(List<EngineState> candidates, RequestState request) {
        List<EngineState> credited = filter(candidates, e -> credit(e, request.client) > 0);
        return lowest(credited, e -> (e.queuedTokens + READ_OVERHEAD_TOKENS) * relativePace(e),
                request.tieBreaker);
    }

    /** The candidates with the longest known or assumed match; without any, the key's assigned readers. */
    private List<EngineState> longestMatch(RequestState request, List<EngineState> candidates, int gateways) {
        // With more history than prefix all gateways use the reader assigned to the session.
        RoutingEvent.RequestArrived arrival = request.arrival;
        boolean hasHistory = arrival.promptTokens() > 2 * arrival.prefixTokens() && arrival.session() != 0;
        long key = hasHistory ? arrival.session() : arrival.prefix();
        double recentArrivals = arrivals.count(key, nowMs);
        List<EngineState> assigned = assignedReaders(key,
                hasHistory ? 1 : assignedCount(recentArrivals, candidates.size()), candidates);
        boolean oneZone = gateways < settings.gateways();
        double arrivalsElsewhere = (oneZone ? recentArrivals - 1 : recentArrivals) * (gateways - 1);
        request.assignedReaders = gateways > 1 && (hasHistory || arrivalsElsewhere > assigned.size())
                ? assigned : List.of();
        request.assignedTokens = hasHistory ? HISTORY_SHARE * arrival.promptTokens() : arrival.prefixTokens();
        double longest = candidates.stream().mapToDouble(e -> matchedTokens(request, e)).max().orElse(0);
        return longest > 0 ? filter(candidates, e -> matchedTokens(request, e) >= longest) : assigned;
    }

    /** Grows with a prefix's share of recent arrivals; a single arrival is assigned one reader. */
    private double assignedCount(double recentArrivals, int readers) {
        double maxAssigned = ASSIGNMENT_SPREAD * readers;
        return Math.ceil(maxAssigned * recentArrivals
                / (arrivals.count(ALL_ARRIVALS_KEY, nowMs) + Math.max(ASSIGNMENT_PRIOR, maxAssigned)));
    }

    private static List<EngineState> assignedReaders(long key, double count, List<EngineState> candidates) {
        return candidates.stream().sorted(Comparator.comparingLong(e -> RendezvousHash.weight(key, e.id)))
                .limit(key == 0 ? 0 : (long) Math.max(1, count)).toList();
    }

    private double matchedTokens(RequestState request, EngineState engine) {
        double session = sessions.amount(request.arrival.session(), engine, nowMs);
        double prefix = prefixes.amount(request.arrival.prefix(), engine, nowMs);
        if (request.assignedReaders.contains(engine)) prefix = Math.max(prefix, request.assignedTokens);
        return Math.min(Math.max(session, prefix), request.arrival.promptTokens());
    }

    private void recordRead(RequestState request, EngineState reader) {
        putPlacement(sessions, request.arrival.session(), reader, request.arrival.promptTokens(), nowMs);
        putPlacement(prefixes, request.arrival.prefix(), reader, request.arrival.prefixTokens(), nowMs);
    }

    private void putPlacement(PlacementTable<EngineState> table, long key, EngineState engine, double tokens,
            double readMs) {
        if (key != 0 && tokens > 0)
            table.put(key, new PlacementTable.Placement<>(engine, tokens, readMs), nowMs);
    }

    private void removePlacements(RequestState request, EngineState engine) {
        sessions.remove(request.arrival.session(), engine);
        prefixes.remove(request.arrival.prefix(), engine);
    }

    // ---- Writer: lowest projected memory, selected when the prompt has been read ----

    private void onPromptRead(RequestState request, AttemptState attempt) {
        if (request.phase == Phase.WRITING || request.phase == Phase.SELECTING_WRITER) return;
        request.stateHolder = attempt.engine;
        cancelOthers(attempt);
        startWrite(request, null);
    }

    private void startWrite(RequestState request, EngineState previous) {
        request.phase = Phase.SELECTING_WRITER;
        EngineState reserved = request.reservedWriter;
        request.reservedWriter = null;
        boolean useReserved = reserved != null && reserved != previous && reserved.isReady()
                && mayBeSentTo(request, reserved);
        EngineState writer = useReserved ? reserved : selectWriter(request, previous, request.stateHolder);
        if (writer != null && startAttempt(new AttemptState(request, writer, false)))
            request.phase = Phase.WRITING;
        else if (request.phase == Phase.SELECTING_WRITER) scheduleReselection(request);
    }

    private EngineState selectWriter(RequestState request, EngineState previous, EngineState stateHolder) {
        double averageMemory = averageReportedMemory();
        List<EngineState> candidates = eligibleEngines(request, previous, e -> e.role != EngineRole.READER);
        int nearCell = candidates.isEmpty() ? 0 : nearCell(stateHolder, candidates);
        return lowest(candidates, e -> writerLoad(e, request, averageMemory)
                + transferCost(stateHolder, e, nearCell), random.nextLong());
    }

    /** The cell without transfer cost: the reader's own. If that has few writers, another one is drawn with a
     * probability that balances load over all writers, as a gateway rarely observes that a cell's writers are
     * full and would overload them. Harmful where the cells are not alike. */
    private int nearCell(EngineState reader, List<EngineState> candidates) {
        if (reader == null) return -1;
        List<EngineState> readers = peers(reader);
        int ownCell = reader.endpoint.cell();
        if (random.nextDouble() * cellShare(ownCell, readers) >= -cellSurplus(ownCell, candidates, readers))
            return ownCell;
        // The minimum of exponential variates selects each cell in proportion to its surplus of writers.
        return lowest(candidates,
                e -> -Math.log(random.nextDouble()) * cellShare(e.endpoint.cell(), candidates)
                / Math.max(0, cellSurplus(e.endpoint.cell(), candidates, readers)), 0).endpoint.cell();
    }

    private static double cellSurplus(int cell, List<EngineState> writers, List<EngineState> readers) {
        return cellShare(cell, writers) - cellShare(cell, readers);
    }

    private static double cellShare(int cell, List<EngineState> group) {
        return group.stream().filter(e -> e.endpoint.cell() == cell).count()
                / Math.max(1.0, group.size());
    }

    /** Memory share of own streams and this request, by prompt and estimated output, plus the last report. */
    private double projectedShare(EngineState engine, RequestState request, double averageMemory) {
        double memoryTokens = Math.max(1, settings.engineKinds().get(engine.endpoint.kind()).memoryTokens());
        double ownTokens = engine.projectedTokens + request.arrival.promptTokens() + request.estimatedOutput;
        double reported = Double.isNaN(engine.reportedMemory) ? averageMemory : engine.reportedMemory;
        return ownTokens / memoryTokens * relativeStreamPace(engine) + reported;
    }

    private static double projectedTokens(RequestState request) {
        return request.arrival.promptTokens() + request.estimatedOutput;
    }

    private static double transferCost(EngineState from, EngineState to, int nearCell) {
        if (from == null || to.endpoint.cell() == nearCell) return 0;
        return from.endpoint.zone() == to.endpoint.zone() ? OTHER_CELL_COST : OTHER_ZONE_COST;
    }

    // ---- Health: outlier detection against peers of the role ----

    private void recordOutcome(AttemptState attempt, RoutingEvent.AttemptEnded ended) {
        EngineState engine = attempt.engine;
        RequestState request = attempt.request;
        if (!Double.isNaN(ended.load().memoryShare())) engine.reportedMemory = ended.load().memoryShare();
        switch (ended.outcome()) {
            case PROMPT_READ -> {
                attempt.answered = true;
                // The tokens that were actually read: other gateways' prompts can evict cached prefixes.
                double readTokens =
                        Math.max(0, request.arrival.promptTokens() - plausible(ended.cachedTokens()));
                attempt.cost += readTokens - attempt.uncachedTokens;
                recordResponse(attempt, ended.elapsedMs());
                recordSuccess(engine);
                if (ended.cachedTokens() < MIN_CONFIRMED_SHARE * attempt.matchedTokens) {
                    // The cache was flushed or is too small: other assumptions on it are unreliable as well.
                    removePlacements(request, engine);
                    recordRead(request, engine);
                }
            }
            case COMPLETED -> {
                recordSuccess(engine);
                double pace = streamPace(request);
                if (request.estimatedOutput >= 1 && pace >= 0) engine.streamPace.add(pace, nowMs);
            }
            case OVERLOADED -> {
                engine.overloadedUntilMs = nowMs + OVERLOAD_AVOIDANCE_MS;
                (attempt.isRead ? readWaits : firstTokenWaits).add(request.requestClass.objectiveMs(), nowMs);
            }
            case ERROR, RESET, UNREACHABLE, TIMEOUT -> recordFailure(attempt);
            case STATE_LOST, CANCELLED, NOT_SENT -> { } // no information on the engine's health
        }
    }

    private void recordResponse(AttemptState attempt, double elapsedMs) {
        if (!(elapsedMs > 0 && elapsedMs < MAX_PLAUSIBLE) || !(attempt.cost > 0)) return;
        EngineState engine = attempt.engine;
        engine.latestAnsweredSentMs = Math.max(engine.latestAnsweredSentMs, attempt.sentMs);
        if (attempt.isRead) {
            unloadedPace = Math.min(elapsedMs / attempt.cost, unloadedPace * UNLOADED_PACE_DRIFT);
            double waitMs = elapsedMs - unloadedPace * attempt.cost;
            readWaits.add(Math.min(waitMs, attempt.request.requestClass.objectiveMs()), nowMs);
        }
        engine.pace.add(elapsedMs / attempt.cost, nowMs);
        engine.responseMs.add(elapsedMs, nowMs);
        // Ejects only if the engine is slow enough to endanger objectives, not for a queue alone.
        double shortestObjectiveMs =
                settings.classes().stream().mapToDouble(RequestClass::objectiveMs).min().orElse(0);
        boolean slow = relativePace(engine) > SLOW_OUTLIER_RATIO
                && engine.responseMs.mean() > HARMFUL_RESPONSE_SHARE * shortestObjectiveMs;
        if (slow && !isWarmingUp(engine)) eject(engine, "slow"); // a new process is expected to be slow
    }

    private double streamPace(RequestState request) {
        return (nowMs - request.firstTokenMs) / request.estimatedOutput;
    }

    /** An engine's time per token relative to its peers, running streams included; 1 if unknown. */
    private double relativeStreamPace(EngineState engine) {
        double medianPace = medians(engine).streamPace;
        double runningPace = engine.inFlight.stream()
                .filter(a -> a.streaming && a.request.estimatedOutput >= 1)
                .mapToDouble(a -> streamPace(a.request)).average().orElse(0);
        double minimum = Math.max(MIN_RELATIVE_PACE, medianPace > 0 ? runningPace / medianPace : 0);
        return Math.max(minimum, relativeToMedian(engine.streamPace, medianPace));
    }

    /** An engine's pace relative to the median of its peers; 1 while there are too few samples. */
    private double relativePace(EngineState engine) {
        return relativeToMedian(engine.pace, medians(engine).pace);
    }

    /** Ratio to the median, smoothed by one sample at it; 1 for few samples with a small deviation. */
    private double relativeToMedian(DecayingAverage average, double median) {
        double weight = average.weight(nowMs);
        double relative = median > 0 ? (weight * average.mean() / median + 1) / (weight + 1) : 1;
        return weight < SUFFICIENT_SAMPLES && relative < SIGNIFICANT_PACE ? 1 : relative;
    }

    private RoleMedians medians(EngineState engine) {
        if (medians.isEmpty()) mediansExpireMs = nowMs + MEDIANS_TTL_MS;
        return medians.computeIfAbsent(engine.role, role -> {
            List<EngineState> peers = peers(engine);
            double warmRate = peers.stream().filter(e -> !isWarmingUp(e))
                    .mapToDouble(e -> e.sendRate.perMs(nowMs)).average().orElse(0);
            return new RoleMedians(median(peers, e -> e.pace), median(peers, e -> e.responseMs),
                    median(peers, e -> e.streamPace), median(peers, e -> e.failureRate), warmRate);
        });
    }

    private double median(List<EngineState> group, Function<EngineState, DecayingAverage> metric) {
        var means = group.stream().map(metric)
                .mapToDouble(mean -> mean.meanOr(MIN_PEER_SAMPLES, Double.NaN, nowMs));
        return Medians.lowerMedian(means, Double.NaN);
    }

    private List<EngineState> peers(EngineState engine) {
        return filter(engines.values().stream().toList(), e -> e.isReady() && e.role == engine.role);
    }

    private void recordSuccess(EngineState engine) {
        engine.lastSuccessMs = nowMs;
        engine.failureRate.add(0, nowMs);
        boolean onTrial = engine.ejected && nowMs >= engine.ejectedUntilMs;
        if (!onTrial || ++engine.successfulTrials < TRIAL_SUCCESSES) return;
        engine.ejected = false;
        engine.ejections = 0;
    }

    private void recordFailure(AttemptState attempt) {
        EngineState engine = attempt.engine;
        // A missing answer is weaker evidence for an engine that this gateway seldom uses.
        boolean certain = attempt.ended || engine.failureRate.weight(nowMs) >= SUFFICIENT_SAMPLES;
        engine.failureRate.add(certain ? 1 : OVERDUE_FAILURE_WEIGHT, nowMs);
        if (attempt.isRead) removePlacements(attempt.request, engine);
        double weight = engine.failureRate.weight(nowMs);
        double rate = engine.failureRate.mean() * weight / (weight + 1);
        if (rate > MAX_FAILURE_RATE && !(rate <= OUTLIER_RATIO * medians(engine).failureRate))
            eject(engine, "failing");
    }

    private void eject(EngineState engine, String reason) {
        if (engine.ejected && nowMs < engine.ejectedUntilMs || !engine.isReady()) return;
        List<EngineState> peers = peers(engine);
        if (filter(peers, e -> e.ejected || e == engine).size() > MAX_EJECTED_SHARE * peers.size()) return;
        engine.ejected = true;
        double doubledMs = EJECTION_MS * (1 << Math.min(engine.ejections, 10));
        // Long enough to expect one attempt of this gateway.
        double minimumMs = Math.max(doubledMs, 1 / medians(engine).warmSendRate);
        engine.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, minimumMs);
        engine.ejections++;
        engine.successfulTrials = 0;
        engine.pace.resetWeight(1);
        engine.failureRate.resetWeight(0);
        String line = "engine ejected engine=" + Long.toHexString(engine.id) + " reason=" + reason;
        actions.add(new RoutingAction.LogMessage(line + " failures=" + engine.failureRate.mean()));
    }

    /** False at capacity or while ejected; on trial limited by its successes; otherwise true. */
    private boolean acceptsWork(EngineState engine, RequestState request) {
        if (nowMs < engine.overloadedUntilMs || !engine.ejected) return nowMs >= engine.overloadedUntilMs;
        // Work that can't be repeated is used for a trial only if there was no other work for a while.
        boolean costly = request.is(Idempotency.NON_IDEMPOTENT) && engine.role != EngineRole.READER;
        double trialMs = engine.ejectedUntilMs + (costly ? MAX_EJECTION_MS : 0);
        return nowMs >= trialMs && engine.inFlight.size() < 1 << engine.successfulTrials;
    }

    // ---- Eligibility: applies to every attempt ----

    /** Engines of a role that may be sent to, if possible healthy ones other than the previous one. */
    private List<EngineState> eligibleEngines(RequestState request, EngineState previous,
            Predicate<EngineState> role) {
        List<EngineState> available = filter(engines.values().stream().toList(),
                e -> e.isReady() && role.test(e) && hasSlowStartCapacity(e) && mayBeSentTo(request, e));
        List<EngineState> alternatives = filter(available, e -> e != previous);
        List<EngineState> healthy = filter(alternatives, e -> acceptsWork(e, request));
        List<EngineState> untried = filter(healthy, e -> !wasUnansweredAt(request, e));
        if (!untried.isEmpty()) return untried;
        return !healthy.isEmpty() ? healthy : alternatives.isEmpty() ? available : alternatives;
    }

    /** Prevents that retries alternate between two engines that lose what is sent to them. */
    private static boolean wasUnansweredAt(RequestState request, EngineState engine) {
        return request.attempts.stream().anyMatch(a -> a.engine == engine && !a.answered);
    }

    private boolean startAttempt(AttemptState attempt) {
        RequestState request = attempt.request;
        EngineState engine = attempt.engine;
        if (request.attempts.size() >= request.limits.maxAttempts() || request.phase == Phase.CLOSED
                || request.attemptsInFlight > 0 && !request.limits.hedging()) {
            rejectOrFail(request);
            return false;
        }
        engine.sendRate.add(1, nowMs);
        if (isWarmingUp(engine)) engine.slowStart.consume();
        if (!attempt.isRead) attempt.cost = 1;
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        engine.inFlight.add(attempt);
        engine.queuedTokens += attempt.uncachedTokens;
        if (!attempt.isRead) engine.projectedTokens += projectedTokens(request);
        actions.add(new RoutingAction.StartAttempt(request.id, engine.id, request.deadlineAtMs));
        setOverdueTimer(attempt, nowMs + overdueAfterMs(attempt));
        return true;
    }

    /** True if maybe executed and not idempotent, or with a key that engines no longer recognise. */
    private boolean isUnrepeatable(RequestState request) {
        if (request.is(Idempotency.IDEMPOTENT)) return false;
        return request.attempts.stream().anyMatch(a -> a.mayHaveExecuted()
                && (request.is(Idempotency.NON_IDEMPOTENT) || a.isKeyExpired()));
    }

    /** An unrepeatable request may only be sent to readers; one with a key only to an engine that
     * recognises the key from each attempt that is in flight or may have been executed. */
    private boolean mayBeSentTo(RequestState request, EngineState engine) {
        boolean keyed = request.is(Idempotency.IDEMPOTENCY_KEY);
        if (!keyed) return engine.role == EngineRole.READER || !isUnrepeatable(request);
        IdempotencyScope scope = request.requestClass.keyScope();
        return request.attempts.stream().filter(a -> !a.ended || a.mayHaveExecuted())
                .allMatch(a -> !a.isKeyExpired() && scope.includes(a.engine.endpoint, engine.endpoint));
    }

    private boolean isWarmingUp(EngineState engine) {
        double startedMs = engine.endpoint.startedMs();
        return startedMs > 0 && nowMs < startedMs + settings.rules().slowStartMs();
    }

    /** Limits this gateway's attempts to its share of the engine's capacity, estimated from its rate at warm
     * peers. The limit grows linearly, so that few warm peers aren't overloaded while new processes have
     * capacity. */
    private boolean hasSlowStartCapacity(EngineState engine) {
        if (!isWarmingUp(engine)) return true;
        double initial = settings.rules().initialCapacity();
        double progress = (nowMs - engine.endpoint.startedMs()) / settings.rules().slowStartMs();
        double perMs = Math.max(1.0 / (1000 * settings.gateways()), medians(engine).warmSendRate)
                * (initial + (1 - initial) * Math.max(0, progress)) * SLOW_START_LOAD;
        engine.slowStart.refill(nowMs, perMs, 1);
        return engine.slowStart.tokens() >= 1;
    }

    // ---- Attempts: overdue, failed, waiting for an engine ----

    /** Time after which an attempt is overdue: a multiple of its peers' or its own engine's recent time. */
    private double overdueAfterMs(AttemptState attempt) {
        double pace = medians(attempt.engine).pace;
        double expectedMs = Math.max(Double.isNaN(pace) ? 0 : pace * attempt.cost, waitMs(attempt.engine));
        // A prefix that is only assumed to be cached there may have to be read.
        boolean assumed = pace > 0 && attempt.request.assignedReaders.contains(attempt.engine);
        double readMs = assumed ? pace * attempt.request.arrival.promptTokens() / 2 : 0;
        return Math.max(MIN_OVERDUE_SHARE * attempt.request.requestClass.objectiveMs(),
                OVERDUE_MULTIPLE * Math.max(expectedMs, readMs));
    }

    private void setOverdueTimer(AttemptState attempt, double atMs) {
        setTimer(attempt.request.id, attempt.number, Purpose.ATTEMPT_OVERDUE, atMs);
    }

    /** Hedges or cancels an attempt that takes far longer than those of peers, as its engine doesn't respond
     * or is a known outlier, or its answer was lost. */
    private void onOverdue(RequestState request, int number) {
        AttemptState attempt = request == null ? null : findInFlight(request.id, number);
        if (attempt == null || attempt.cancelled || request.isAnswered()) return;
        if (request.attempts.size() >= request.limits.maxAttempts() - 1) return;
        // The retry budget prevents retry storms, but a lost answer is no sign of a lack of capacity.
        boolean lost = attempt.isOvertaken();
        if (!lost && (retryBudget < 1 || isRoleCongested(attempt))) {
            // Congestion may end before the engine responds.
            setOverdueTimer(attempt, nowMs + overdueAfterMs(attempt));
            return;
        }
        if (deferCancel(attempt)) return;
        double objectiveMs = request.requestClass.objectiveMs();
        boolean unresponsive = attempt.engine.lastSuccessMs < attempt.sentMs;
        if (!unresponsive && !lost && !attempt.graceGranted && relativePace(attempt.engine) < OUTLIER_RATIO) {
            // The engine answered others: queueing or a lost answer. The second time it counts as lost.
            attempt.graceGranted = true;
            setOverdueTimer(attempt, 2 * nowMs - attempt.sentMs);
            return;
        }
        // A writer with a full queue doesn't respond either: a failure only after a whole objective.
        if (unresponsive && nowMs - attempt.engine.lastSuccessMs > objectiveMs) recordFailure(attempt);
        retryBudget = Math.max(0, retryBudget - 1);
        // A repeat that isn't deduplicated, even of a read, has to wait until the first attempt ends.
        boolean hedge = attempt.isRead && request.limits.hedging() && !request.is(Idempotency.NON_IDEMPOTENT);
        if (hedge && mayBeSentTo(request, attempt.engine)) startRead(request, attempt.engine);
        else request.attempts.forEach(this::cancel);
    }

    /** Defers cancelling an attempt that may be executing and can't be repeated elsewhere, as its answer may
     * still arrive in time; an attempt at a writer is cancelled after the objective. */
    private boolean deferCancel(AttemptState attempt) {
        RequestState request = attempt.request;
        if (!request.is(Idempotency.NON_IDEMPOTENT) || !attempt.mayHaveExecuted()) return false;
        attempt.cancelDeferred = true;
        if (attempt.isRead || nowMs >= request.objectiveAtMs) return attempt.isRead;
        setOverdueTimer(attempt, request.objectiveAtMs);
        return true;
    }

    /** True if the whole role is congested, so that a further attempt would only add load. */
    private boolean isRoleCongested(AttemptState attempt) {
        double waitMs = (attempt.isRead ? readWaits : firstTokenWaits).decayedMean(ROLE_WAIT_DECAY_MS, nowMs);
        return isRarelySampled(attempt.engine)
                && waitMs > CONGESTED_ROLE_SHARE * attempt.request.requestClass.objectiveMs();
    }

    private void cancel(AttemptState attempt) {
        if (attempt.ended || attempt.cancelled || !attempt.request.limits.cancel()) return;
        attempt.cancelled = true;
        actions.add(new RoutingAction.CancelAttempt(attempt.request.id, attempt.number));
    }

    private void cancelOthers(AttemptState attempt) {
        attempt.request.attempts.stream().filter(a -> a != attempt).forEach(this::cancel);
    }

    private void onFailure(RequestState request, AttemptState attempt, AttemptOutcome outcome) {
        if (request.phase == Phase.STREAMING || request.attemptsInFlight > 0) return;
        if (outcome == AttemptOutcome.STATE_LOST) request.stateHolder = null;
        // A request that may have been executed and can't be repeated ends at once, as waiting can't help.
        boolean exhausted = request.attempts.size() >= request.limits.maxAttempts()
                || isUnrepeatable(request);
        boolean readCancelled = outcome == AttemptOutcome.CANCELLED && attempt.isRead;
        if (exhausted || latestAnswerMs(request) <= nowMs) rejectOrFail(request);
        // Sent at once, it could arrive before the cancellation of the previous read.
        else if (readCancelled && !request.is(Idempotency.IDEMPOTENT)) scheduleReselection(request);
        else if (request.stateHolder != null) startWrite(request, attempt.engine);
        else startRead(request, attempt.engine);
    }

    /** No engine is eligible: schedules another selection, within the reservation limit of the state. */
    private void scheduleReselection(RequestState request) {
        int next = request.attempts.size();
        if (request.mayHoldState)
            setTimer(request.id, next, Purpose.RESERVATION_LIMIT, reservationLimitAtMs(request));
        setTimer(request.id, 0, Purpose.RETRY_SELECTION, nowMs + RESELECTION_MS);
    }

    private void reselect(RequestState request) {
        if (request == null || request.attemptsInFlight > 0) return;
        if (nowMs > Math.max(request.objectiveAtMs, request.reservedMs + 2 * RESELECTION_MS))
            rejectOrFail(request);
        if (request.phase == Phase.SELECTING_WRITER) startWrite(request, null);
        if (request.phase == Phase.READING) startRead(request, null);
    }

    /** Ends the request and releases its state when the reservation limit is reached. */
    private void onReservationLimit(RequestState request) {
        boolean isReserved = request != null && request.mayHoldState && request.attemptsInFlight == 0;
        if (isReserved && nowMs >= reservationLimitAtMs(request)) rejectOrFail(request);
    }

    private double reservationLimitAtMs(RequestState request) {
        return request.reservedMs + settings.rules().reservationLimitMs() - marginMs();
    }

    private double marginMs() {
        return MARGIN_TICKS * settings.tickMs() + MARGIN_MS;
    }

    private double latestAnswerMs(RequestState request) {
        return request.deadlineAtMs - marginMs();
    }

    // ---- Admission: load shedding by priority ----

    /** Work is rejected if its first token is expected near its own objective, or if the queues alone take
     * nearly the objective of work of higher priority. Meant for a lasting lack of capacity; may needlessly
     * reject work in a short burst. */
    private boolean isOverloaded(RequestState request, EngineState reader) {
        // Resumed streams are admitted: otherwise the part that was already streamed would be lost.
        if (reader == null || request.arrival.resumed()) return false;
        List<EngineState> writers = eligibleEngines(request, null, e -> e.role != EngineRole.READER);
        double writerWaitMs = Medians.lowerMedian(writers.stream().mapToDouble(this::decayedWaitMs), 0);
        double readerWaitMs = Math.max(readTimeMs(reader, reader.queuedTokens), oldestWaitMs(reader));
        double roleWaitMs = isRarelySampled(reader) ? readWaits.decayedMean(ROLE_WAIT_DECAY_MS, nowMs) : 0;
        double queueMs = Math.max(readerWaitMs, roleWaitMs)
                + Math.max(writerWaitMs, firstTokenWaits.decayedMean(ROLE_WAIT_DECAY_MS, nowMs));
        double limitMs = Math.min(request.objectiveAtMs, latestAnswerMs(request)) - nowMs;
        // A long prompt takes long even without a queue; its own read time alone is no overload.
        double firstTokenMs = queueMs
                + (unloadedPace < MAX_PLAUSIBLE ? unloadedPace * neededTokens(request, reader) : 0);
        if (queueMs > MIN_QUEUE_SHARE * limitMs && firstTokenMs > MAX_FIRST_TOKEN_SHARE * limitMs)
            return true;
        for (RequestClass other : settings.classes()) {
            if (other.priorityWeight() > request.priorityWeight)
                limitMs = Math.min(limitMs, other.objectiveMs());
        }
        return queueMs > MAX_FIRST_TOKEN_SHARE * limitMs;
    }

    /** True if this gateway uses the engine too rarely to know its waits (typical for many gateways), so that
     * the waits of its role are used instead. */
    private boolean isRarelySampled(EngineState engine) {
        return medians(engine).warmSendRate * WAIT_DECAY_MS
                < Math.min(SUFFICIENT_SAMPLES, Math.max(1, settings.gateways() / 4.0));
    }

    /** Uses a token bucket per tenant for this gateway's share of the quota; empty means over quota. */
    private boolean isOverQuota(int tenant) {
        double perSecond = settings.tenants().get(tenant).quotaPerSecond();
        double perMs = perSecond / 1000 / Math.max(1, settings.gateways());
        if (!(perMs > 0)) return false;
        double burst = Math.max(1, QUOTA_BURST_MS * perMs);
        TokenBucket quota = quotas.computeIfAbsent(tenant, t -> new TokenBucket(burst, nowMs));
        quota.refill(nowMs, perMs, burst);
        return !quota.consumeOrDrain();
    }

    /** Expected wait at an engine: its recent response times or the age of its oldest waiting attempt. */
    private double waitMs(EngineState engine) {
        double medianMs = medians(engine).responseMs > 0 ? medians(engine).responseMs : 0;
        // Decays more slowly than samples arrive, regardless of the number of engines that share the load.
        double decayMs = Math.max(WAIT_DECAY_MS, Math.min(MEAN_DECAY_MS, 1 / medians(engine).warmSendRate));
        double excessMs = medianMs * (relativeToMedian(engine.responseMs, medianMs) - 1);
        double observedMs = medianMs + excessMs * Math.exp((engine.lastSuccessMs - nowMs) / decayMs);
        return Math.max(oldestWaitMs(engine), observedMs);
    }

    /** The wait, decayed with the time since the last success: if all work is rejected, no new samples arrive
     * that could show the end of congestion. */
    private double decayedWaitMs(EngineState engine) {
        double decay = Math.exp((engine.lastSuccessMs - nowMs) / ROLE_WAIT_DECAY_MS);
        return Math.max(oldestWaitMs(engine), waitMs(engine) * decay);
    }

    /** Age of the oldest waiting attempt, without lost ones, which would look like a queue and cause
     * rejections. */
    private double oldestWaitMs(EngineState engine) {
        return engine.inFlight.stream().filter(AttemptState::isQueued).findFirst()
                .map(a -> nowMs - a.sentMs).orElse(0.0);
    }

    // ---- End of request ----

    /** Ends a request without an answer: rejects it if a client's retry is safe, with a random delay so that
     * rejected clients don't retry all at once; otherwise fails it. */
    private void rejectOrFail(RequestState request) {
        if (request == null || request.isAnswered()) return;
        // A read in flight proves nothing.
        boolean maybeExecuted = request.mayHaveExecuted() || request.attemptsInFlight > 0;
        boolean keysKnownEverywhere = request.requestClass.keyScope() == IdempotencyScope.ALL
                && !isUnrepeatable(request);
        boolean retryIsSafe = !maybeExecuted || request.is(Idempotency.IDEMPOTENT)
                || request.is(Idempotency.IDEMPOTENCY_KEY) && keysKnownEverywhere;
        double maxDelayMs = Math.min(settings.limits().maxRetryAfterMs(), WAIT_DECAY_MS);
        double retryAfterMs = settings.limits().retryAfter() ? maxDelayMs * (1 - random.nextDouble() / 2) : 0;
        if (retryIsSafe) actions.add(new RoutingAction.RejectRequest(request.id, retryAfterMs));
        else actions.add(new RoutingAction.FailRequest(request.id));
        request.attempts.forEach(this::cancel);
        closeRequest(request);
    }

    private void closeRequest(RequestState request) {
        if (request == null || request.phase == Phase.CLOSED) return;
        request.phase = Phase.CLOSED;
        releaseAndRemove(request);
    }

    /** A release excludes state that an attempt still waits for, so it is repeated when an attempt ends. */
    private void releaseAndRemove(RequestState request) {
        if (request.mayHoldState) actions.add(new RoutingAction.ReleaseState(request.id));
        if (request.attemptsInFlight == 0) requests.remove(request.id);
    }

    private void settleLoad(AttemptState attempt, AttemptOutcome outcome) {
        RequestState request = attempt.request;
        EngineState engine = attempt.engine;
        engine.inFlight.remove(attempt);
        // Rejected attempts say nothing about the load that a warm engine can handle.
        if (outcome.provesNoEffect() && outcome != AttemptOutcome.PROMPT_READ) engine.sendRate.add(-1, nowMs);
        engine.queuedTokens = Math.max(0, engine.queuedTokens - attempt.uncachedTokens);
        double releasedTokens = attempt.isRead ? 0 : projectedTokens(request);
        engine.projectedTokens = Math.max(0, engine.projectedTokens - releasedTokens);
        if (outcome != AttemptOutcome.COMPLETED) return;
        request.attempts.stream().filter(a -> a.isRead).reduce((a, b) -> b)
                .ifPresent(a -> charge(a.engine, request.client, OUTPUT_WEIGHT * request.estimatedOutput));
    }

    @Override
    public int ejectedEngines() {
        return filter(engines.values().stream().toList(), e -> e.isReady() && e.ejected).size();
    }

    @Override
    public List<PrefixCached> cachedPrefixes() {
        List<PrefixCached> all = new ArrayList<>();
        sessions.forEach((k, p) -> all.add(new PrefixCached(true, k, p.holder().id, p.amount(), p.atMs())));
        prefixes.forEach((k, p) -> all.add(new PrefixCached(false, k, p.holder().id, p.amount(), p.atMs())));
        return all;
    }

    /** Number of entries in all tables; tests check that it stays bounded. */
    int tableEntries() {
        return requests.size() + sessions.size() + prefixes.size() + arrivals.size() + engines.size();
    }

    private static List<EngineState> filter(List<EngineState> candidates, Predicate<EngineState> condition) {
        return candidates.stream().filter(condition).toList();
    }

    /** The engine of the lowest cost; ties by the key's rendezvous hash, so that gateways differ. */
    private static EngineState lowest(List<EngineState> candidates, ToDoubleFunction<EngineState> cost,
            long key) {
        return RendezvousHash.lowest(candidates, cost, e -> e.id, key);
    }
}
