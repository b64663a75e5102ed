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
 * Every decision of a gateway. Its contract is {@link RoutingPolicy} (RoutingPolicy.java).
 * <p>The regular path is D2LPM: a prompt is read by the reader with the longest cached prefix, while its
 * client has credit there, else by the least queued reader with credit; then the writer of the lowest
 * projected memory answers. Everything else handles something that went wrong, and says what.
 */
public final class D2lpmPolicy implements RoutingPolicy {

    private static final double QUANTUM = 40_000; // tokens; by which every counter of a client grows (design)
    private static final double OUTPUT_WEIGHT = 2; // of output in the deficit (design)
    private static final double ESTIMATED_OUTPUT = 0.5; // of the most, where there is no hint
    private static final double CACHE_MS = 20_000; // for which a prefix is believed to stay cached (design)
    private static final double CONFIRMED = 0.5; // of an entry; it goes if a read finds less cached (design)
    private static final int MAX_KEYS = 20_000, MAX_COPIES = 8; // bounds on the tables, far above what lives
    private static final double RETENTION_MS = 40_000; // for which arrivals of a prefix are remembered
    private static final long ALL_ARRIVALS = 0; // the key under which every arrival is counted
    private static final double READ_OVERHEAD = 300; // tokens; a read's fixed cost: a step, messages
    private static final double HISTORY = 0.8; // of a prompt, assumed to be cached at its session's home
    private static final double HOME_SPREAD = 2, HOME_PRIOR = 8; // homes a reader's worth; arrivals assumed
    private static final double FAR_CELL = 0.04, FAR_ZONE = 0.08; // share of memory that a move out counts as
    private static final double WAIT_COST = 0.3; // of memory, for a wait as long as the objective
    private static final double MAX_PLAUSIBLE = 1e7; // tokens or ms; nothing that is reported is longer
    private static final double MAX_SAMPLES = 5, MEMORY_MS = 20_000; // that a recent mean goes back
    private static final double OVERDUE_FAILURE = 0.6; // of a failure, for an answer that is overdue
    private static final double MAX_FAILURE_RATE = 0.35; // above which an outlier is ejected
    private static final double OUTLIER = 2.5, SLOW_OUTLIER = 4; // times the peers' median failures, pace
    private static final double MIN_RELATIVE_PACE = 0.7; // so that luck draws no herd
    private static final double HARMFUL = 0.4; // share of the shortest objective from which being slow counts
    private static final double MAX_READ_SHARE = 0.3; // of the time to the objective, for a matched reader
    private static final double ENOUGH = 3, SOME = 0.3; // samples to judge an engine; to count among peers
    private static final double REMARKABLE = 1.5; // relative pace that counts with fewer samples
    private static final double MAX_EJECTED_SHARE = 0.5; // of a role
    private static final double EJECTION_MS = 1_000, MAX_EJECTION_MS = 8_000; // the first, the longest
    private static final int TRIALS = 4; // successes that end an ejection; each doubles what may be in flight
    private static final double OVERLOADED_MS = 150; // for which an engine at capacity is passed over
    private static final double OVERDUE = 3, EARLIEST = 0.4; // times the expected; of an objective
    private static final double RETRY_SHARE = 0.2, RETRY_BURST = 10; // per arrival; saved up of recent ones
    private static final double ROLE_BEHIND = 0.25; // of an objective, for the waits of a role: no hedging
    private static final double CALM_DRIFT = 1.01; // growth, each read, of the pace without queues
    private static final double WAIT_MS = 2_000, ROLE_WAIT_MS = 8_000; // in which waits at one, at all, fade
    private static final double ADMIT = 0.7, QUEUED = 0.2; // of an objective: first token; queues alone
    private static final double QUOTA_BURST_MS = 5_000; // of its quota that a tenant may use at once
    private static final double MEDIANS_MS = 10; // for which the medians of a role are not computed again
    private static final double SELECTION_MS = 25; // between two selections for a request that has no engine
    private static final double MARGIN_TICKS = 3, MARGIN_MS = 4; // that a timer is set before its limit
    private static final double SLOW_START_LOAD = 1.2; // of an engine's present capacity
    private static final double SEND_RATE_MS = 10_000; // over which the rate of attempts is averaged
    private static final double SUBSCRIBE_RETRY_MS = 1_000; // between two attempts at a subscription

    private enum Phase { READING, HOLDING, WRITING, STREAMING, CLOSED }

    /** Medians over the ready engines of a role, and the mean rate of our attempts at warm ones. */
    private record Usual(double pace, double waitMs, double streamPace, double failures, double sendRate) {}

    private final class EngineState {
        final long id;
        Endpoint endpoint;
        EngineRole role;
        /** Tokens that each client has used of what D2LPM granted it here. */
        final Map<Integer, Double> usedTokens = new TreeMap<>();
        /** Attempts in flight, oldest first; uncached tokens of reads, projected ones of streams. */
        final List<AttemptState> inFlight = new ArrayList<>();
        double queuedTokens, projectedTokens;
        double reportedMemory = Double.NaN; // share; NaN: none reported
        /** Milliseconds for each unit of cost, for the whole, and for each token of an answer. */
        final DecayingAverage pace = recentMean(), responseMs = recentMean(), streamPace = recentMean();
        final DecayingAverage failureRate = recentMean();
        final DecayingRate sendRate = new DecayingRate(SEND_RATE_MS);
        /** Gateways that learn of a new process together must not all hold a whole token for it. */
        final TokenBucket slowStart = new TokenBucket(random.nextDouble(), nowMs);
        double lastSuccessMs, overloadedUntilMs;
        /** When the latest of those that were answered was sent: what was sent before has been overtaken. */
        double answeredSentMs = Double.NEGATIVE_INFINITY;
        /** Outlier detection: in service, or ejected until a time and then on trial. */
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
        double cost, uncachedTokens, matchedTokens;
        boolean ended, cancelled, streaming, answered;
        /** Overdue: excused once, as others at its engine were answered; kept, as it can't be repeated. */
        boolean excused, kept;

        AttemptState(RequestState request, EngineState engine, boolean isRead) {
            this.request = request;
            this.number = request.attempts.size();
            this.engine = engine;
            this.isRead = isRead;
        }

        /** A reader takes prompts in turn: an answer to a later one says that this one's is lost. */
        boolean isOvertaken() { return engine.role == EngineRole.READER && sentMs < engine.answeredSentMs; }

        boolean isQueued() { return !streaming && !cancelled && !kept && !isOvertaken(); }
    }

    private final class RequestState {
        final RoutingEvent.RequestArrived arrival;
        final long id;
        final RequestClass terms;
        final RoutingSettings.Limits limits = settings.limits();
        final int client;
        final double objectiveMs, deadlineMs, estimatedOutput;
        final long tieBreaker; // its session, or drawn for it
        final List<AttemptState> attempts = new ArrayList<>();
        Phase phase = Phase.READING;
        /** Readers assumed to have cached so many tokens of it for other gateways. */
        List<EngineState> homes = List.of();
        double homeTokens;
        double priorityWeight; // lowered where it is over its tenant's quota
        int inFlight;
        /** The reader whose state waits, whether any may be held, and since when it counts as reserved. */
        EngineState stateHolder;
        /** The writer that holds a place for it: the state goes there by itself. */
        EngineState placeHolder;
        boolean holdsState;
        double reservedMs, firstTokenMs;
        AttemptState mayHaveRun; // the first that may have been

        RequestState(RoutingEvent.RequestArrived arrival, int client) {
            this.arrival = arrival;
            this.id = arrival.requestId();
            this.terms = settings.classes().get(arrival.requestClass());
            this.priorityWeight = terms.priorityWeight();
            this.client = client;
            this.tieBreaker = arrival.session() != 0 ? arrival.session() : random.nextLong();
            double promptMs = terms.objectiveMsPerToken() * arrival.promptTokens();
            this.objectiveMs = nowMs + terms.objectiveMs() + promptMs;
            this.deadlineMs = nowMs + arrival.budgetMs();
            double tokenMs = terms.tokenObjectiveMs();
            double hinted = tokenMs > 0 ? arrival.expectedStreamMs() / tokenMs : 0;
            this.estimatedOutput = hinted > 0 ? hinted : ESTIMATED_OUTPUT * arrival.maxOutputTokens();
        }

        boolean is(Idempotency idempotency) { return terms.idempotency() == idempotency; }

        boolean isAnswered() { return phase == Phase.CLOSED || phase == Phase.STREAMING; }
    }

    private RoutingSettings settings;
    private final SplittableRandom random;
    private final TreeMap<Long, EngineState> engines = new TreeMap<>();
    private final Map<Long, RequestState> requests = new LinkedHashMap<>();
    private final PlacementTable<EngineState> sessions = new PlacementTable<>(MAX_KEYS, MAX_COPIES, CACHE_MS);
    private final PlacementTable<EngineState> prefixes = new PlacementTable<>(MAX_KEYS, MAX_COPIES, CACHE_MS);
    private final DecayingCounts arrivals = new DecayingCounts(CACHE_MS, RETENTION_MS, MAX_KEYS);
    private final Map<EngineRole, Usual> usual = new TreeMap<>();
    private double usualUntilMs;
    /** Recent waits for a first token, wherever; one as long as the objective for a writer at capacity. */
    private final DecayingAverage tokenWaits = recentMean();
    /** The same for reads, beyond what they take at the calm pace: the least lately seen. */
    private final DecayingAverage readWaits = recentMean();
    private double calmPace = Double.POSITIVE_INFINITY;
    private final Map<Integer, Double> grantedTokens = new TreeMap<>(); // to each client at every reader
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

    private static DecayingAverage recentMean() { return new DecayingAverage(MAX_SAMPLES, MEMORY_MS); }

    // ---- Events ----

    @Override
    public List<RoutingAction> step(double stepMs, List<? extends RoutingEvent> events) {
        nowMs = stepMs;
        actions = new ArrayList<>();
        if (nowMs >= usualUntilMs) usual.clear();
        for (RoutingEvent event : events) event.accept(new EventHandler());
        return actions;
    }

    private final class EventHandler implements RoutingEvent.Handler {
        @Override
        public void onEndpointUpdate(RoutingEvent.EndpointUpdate update) {
            boolean restarted = update.kind() == EndpointUpdateKind.REMEMBERED;
            if (settings.mustSubscribe() && restarted) actions.add(new RoutingAction.SubscribeEndpoints());
            if (update.kind() == EndpointUpdateKind.FAILED) {
                if (!subscribePending) setTimer(0, 0, Purpose.SUBSCRIBE, nowMs + SUBSCRIBE_RETRY_MS);
                subscribePending = true;
                return;
            }
            usual.clear();
            List<Long> named = update.endpoints().stream().map(Endpoint::engine).toList();
            if (update.kind() != EndpointUpdateKind.DELTA) engines.keySet().retainAll(named);
            update.endpoints().forEach(D2lpmPolicy.this::update);
        }

        @Override
        public void onRequestArrived(RoutingEvent.RequestArrived arrival) {
            arrive(arrival.cutTo(MAX_PLAUSIBLE)); // absurd figures must not poison what outlives the request
        }

        @Override
        public void onFirstToken(RoutingEvent.FirstToken first) {
            // What is seen of an engine counts at once; that a few milliseconds pass does not.
            usual.clear();
            AttemptState attempt = inFlight(first.requestId(), first.attempt());
            if (attempt != null && attempt.request.phase != Phase.STREAMING) stream(attempt, first);
        }

        @Override
        public void onAttemptEnded(RoutingEvent.AttemptEnded ended) {
            usual.clear();
            AttemptState attempt = inFlight(ended.requestId(), ended.attempt());
            if (attempt != null) end(attempt, ended);
        }

        /** Any writer can tell whether a read is in flight; asked is the one that would be written to. */
        @Override
        public void onReadOverdue(RoutingEvent.ReadOverdue read) {
            AttemptState attempt = inFlight(read.requestId(), read.attempt());
            if (attempt == null || !attempt.request.limits.placeReservations()) return;
            RequestState request = attempt.request;
            EngineState writer = request.placeHolder != null && request.placeHolder.isReady()
                    ? request.placeHolder : selectWriter(request, null, attempt.engine);
            if (writer != null) actions.add(new RoutingAction.ReservePlace(request.id, writer.id));
        }

        @Override
        public void onPlaceReserved(RoutingEvent.PlaceReserved place) {
            RequestState request = requests.get(place.requestId());
            if (request != null) request.placeHolder = engines.get(place.engine());
        }

        @Override
        public void onRequestAbandoned(RoutingEvent.RequestAbandoned abandoned) {
            close(requests.get(abandoned.requestId()));
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
                case DEADLINE -> giveUp(request);
                case RETRY_SELECTION -> selectAgain(request);
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
            if (engine != null) put(table, cached.key(), engine, cached.tokens(), cached.atMs());
        }

        /** A peer's reads count in a reader's pace as ours do; only what this gateway sees itself ejects. */
        @Override
        public void onPeerRead(RoutingEvent.PeerRead read) {
            usual.clear();
            EngineState engine = engines.get(read.engine());
            if (engine == null || engine.role == EngineRole.WRITER || !(read.elapsedMs() > 0)) return;
            engine.pace.add(read.elapsedMs() / (plausible(read.tokens()) + READ_OVERHEAD), nowMs);
            engine.responseMs.add(read.elapsedMs(), nowMs);
        }
    }

    private void update(Endpoint endpoint) {
        if (endpoint.state() == EndpointState.REMOVED || endpoint.kind() >= settings.engineKinds().size()) {
            engines.remove(endpoint.engine());
            return;
        }
        EngineState engine = engines.get(endpoint.engine());
        // A process that started anew holds nothing, and what was learned of it is of no use.
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

    private void arrive(RoutingEvent.RequestArrived arrival) {
        if (arrival.requestClass() >= settings.classes().size()) {
            actions.add(new RoutingAction.RejectRequest(arrival.requestId(), 0));
            return;
        }
        boolean hasTenant = arrival.tenant() < settings.tenants().size();
        int client = hasTenant ? arrival.tenant() : -1 - arrival.requestClass();
        RequestState request = new RequestState(arrival, client);
        if (hasTenant && isOverQuota(arrival.tenant())) request.priorityWeight *= settings.overQuotaWeight();
        requests.put(arrival.requestId(), request);
        if (lastMomentMs(request) <= nowMs) {
            giveUp(request);
            return;
        }
        arrivals.increment(ALL_ARRIVALS, nowMs);
        if (arrival.prefix() != ALL_ARRIVALS) arrivals.increment(arrival.prefix(), nowMs);
        double recent = Math.min(RETRY_BURST, RETRY_SHARE * arrivals.count(ALL_ARRIVALS, nowMs));
        double shared = RETRY_BURST / Math.max(1, settings.gateways() / HOME_PRIOR); // in all as large
        retryBudget = Math.min(Math.max(1, Math.max(recent, shared)), retryBudget + RETRY_SHARE);
        setTimer(arrival.requestId(), 0, Purpose.DEADLINE, lastMomentMs(request));
        EngineState reader = selectReader(request, null);
        if (isOverloaded(request, reader)) giveUp(request);
        else readAt(request, reader);
    }

    private void stream(AttemptState attempt, RoutingEvent.FirstToken first) {
        RequestState request = attempt.request;
        request.stateHolder = null;
        request.holdsState = false;
        request.firstTokenMs = nowMs;
        attempt.streaming = true;
        if (request.phase != Phase.CLOSED) request.phase = Phase.STREAMING;
        recordResponse(attempt, first.elapsedMs());
        tokenWaits.add(Math.min(plausible(first.elapsedMs()), request.terms.objectiveMs()), nowMs);
        recordSuccess(attempt.engine);
        cancelOthers(attempt);
    }

    private void end(AttemptState attempt, RoutingEvent.AttemptEnded ended) {
        RequestState request = attempt.request;
        attempt.ended = true;
        request.inFlight--;
        request.reservedMs = nowMs;
        request.holdsState |= ended.outcome() == AttemptOutcome.PROMPT_READ;
        settleLoad(attempt, ended.outcome());
        recordOutcome(attempt, ended);
        // What an attempt that failed had held is released before the next one.
        if (ended.outcome() != AttemptOutcome.PROMPT_READ) request.placeHolder = null;
        if (request.phase == Phase.CLOSED) cleanUp(request);
        else if (ended.outcome() == AttemptOutcome.COMPLETED || ended.requestClosed()) close(request);
        else if (ended.outcome() == AttemptOutcome.PROMPT_READ) onPromptRead(request, attempt);
        else onFailure(request, attempt, ended.outcome());
    }

    private AttemptState inFlight(long requestId, int number) {
        RequestState request = requests.get(requestId);
        if (request == null || number >= request.attempts.size()) return null;
        return request.attempts.get(number).ended ? null : request.attempts.get(number);
    }

    private void setTimer(long requestId, int attempt, Purpose purpose, double atMs) {
        actions.add(new RoutingAction.SetTimer(new TimerToken(requestId, attempt, purpose).encode(), atMs));
    }

    // ---- Reader: D2LPM ----

    /** Sends the prompt to a reader, or selects again a little later if none can take it. */
    private void read(RequestState request, EngineState last) {
        request.phase = Phase.READING;
        readAt(request, selectReader(request, last));
    }

    private void readAt(RequestState request, EngineState reader) {
        if (reader == null) {
            selectLater(request);
            return;
        }
        AttemptState attempt = new AttemptState(request, reader, true);
        attempt.matchedTokens = matchedTokens(request, reader);
        attempt.uncachedTokens = Math.max(0, request.arrival.promptTokens() - attempt.matchedTokens);
        attempt.cost = reader.queuedTokens + attempt.uncachedTokens + READ_OVERHEAD;
        charge(reader, request.client, request.arrival.promptTokens());
        if (start(attempt)) recordRead(request, reader);
    }

    private EngineState selectReader(RequestState request, EngineState last) {
        List<EngineState> able = eligible(request, last, this::readsPrompts);
        if (able.isEmpty()) return null;
        int zone = preferredZone(request, able);
        List<EngineState> near = filter(able, e -> e.endpoint.zone() == zone);
        if (!near.isEmpty() && near.size() < able.size()) {
            int zones = (int) able.stream().map(e -> e.endpoint.zone()).distinct().count();
            List<EngineState> matched = longestMatch(request, near, settings.gateways() / zones);
            EngineState here = selectWorker(request, near, matched);
            if (!isStrained(request, here)) return here;
        }
        List<EngineState> matched = longestMatch(request, able, settings.gateways());
        return spill(request, selectWorker(request, able, matched), able);
    }

    private boolean readsPrompts(EngineState engine) {
        return engine.role != EngineRole.WRITER || settings.limits().writersRead()
                && engines.values().stream().noneMatch(e -> e.isReady() && e.role != EngineRole.WRITER);
    }

    /** The zone to read in: its own, unless writers elsewhere have that much more capacity. Each crossing has
     * a price; where reads follow the writers, states leave no zone short of them. */
    private int preferredZone(RequestState request, List<EngineState> readers) {
        double average = averageReported();
        List<EngineState> writers = eligible(request, null, e -> e.role != EngineRole.READER
                && readers.stream().anyMatch(r -> r.endpoint.zone() == e.endpoint.zone()));
        EngineState best = lowest(writers, e -> load(e, request, average)
                + (e.endpoint.zone() == settings.zone() ? 0 : FAR_ZONE), 0);
        return best == null ? settings.zone() : best.endpoint.zone();
    }

    /** What a writer has taken on, as a share of its memory; streams of other gateways show in its waits. */
    private double load(EngineState writer, RequestState request, double average) {
        double waits = waitMs(writer) / request.terms.objectiveMs();
        return projectedShare(writer, request, average) + WAIT_COST * waits;
    }

    private double averageReported() {
        return engines.values().stream().filter(e -> e.isReady() && !Double.isNaN(e.reportedMemory))
                .mapToDouble(e -> e.reportedMemory).average().orElse(0);
    }

    /** SelectWorker of the paper's Algorithm 2. */
    private EngineState selectWorker(RequestState request, List<EngineState> able, List<EngineState> match) {
        int client = request.client;
        double most = able.stream().mapToDouble(e -> credit(e, client)).max().orElse(0);
        if (most <= 0) grantedTokens.merge(client, QUANTUM * (Math.floor(-most / QUANTUM) + 1), Double::sum);
        EngineState holder = leastQueued(match, request);
        return holder != null ? holder : leastQueued(able, request);
    }

    /** What a client has left at a reader; one not used yet, as a new process, has a quantum at most. */
    private double credit(EngineState engine, int client) {
        double granted = grantedTokens.getOrDefault(client, 0.0);
        return granted - engine.usedTokens.getOrDefault(client, Math.max(0, granted - QUANTUM));
    }

    private void charge(EngineState engine, int client, double tokens) {
        double used = grantedTokens.getOrDefault(client, 0.0) - credit(engine, client);
        engine.usedTokens.put(client, used + tokens);
    }

    /** Exception to D2LPM: a strained reader gives way to one that is expected to take under half as long. It
     * relieves the holder of a popular prefix, at the price of caching the prefix at more readers. */
    private EngineState spill(RequestState request, EngineState chosen, List<EngineState> able) {
        if (!isStrained(request, chosen)) return chosen;
        double limitMs = expectedMs(request, chosen) / (relativePace(chosen) >= REMARKABLE ? 1 : 2);
        EngineState other = lowest(able, e -> expectedMs(request, e), random.nextLong());
        return expectedMs(request, other) < limitMs ? other : chosen;
    }

    /** Slow, or expected to use up the time to the objective. */
    private boolean isStrained(RequestState request, EngineState reader) {
        return relativePace(reader) >= REMARKABLE
                || expectedMs(request, reader) > MAX_READ_SHARE * (request.objectiveMs - nowMs);
    }

    private double expectedMs(RequestState request, EngineState reader) {
        return readMs(reader, reader.queuedTokens + neededTokens(request, reader));
    }

    /** What a request has to have read at a reader, with the fixed cost of a read. */
    private double neededTokens(RequestState request, EngineState reader) {
        return Math.max(0, request.arrival.promptTokens() - matchedTokens(request, reader)) + READ_OVERHEAD;
    }

    private double readMs(EngineState reader, double tokens) {
        double pace = usual(reader).pace;
        return Double.isNaN(pace) ? 0 : pace * relativePace(reader) * tokens;
    }

    /** By own reads queued, in uncached tokens, by the pace seen; equals by the session's hash. */
    private EngineState leastQueued(List<EngineState> among, RequestState request) {
        List<EngineState> credited = filter(among, e -> credit(e, request.client) > 0);
        return lowest(credited, e -> (e.queuedTokens + READ_OVERHEAD) * relativePace(e), request.tieBreaker);
    }

    /** The able readers with the longest match, as far as known or likely; else the key's homes. */
    private List<EngineState> longestMatch(RequestState request, List<EngineState> able, int gateways) {
        // With more history than prefix the session's home is what all gateways agree on.
        RoutingEvent.RequestArrived arrival = request.arrival;
        boolean history = arrival.promptTokens() > 2 * arrival.prefixTokens() && arrival.session() != 0;
        long key = history ? arrival.session() : arrival.prefix();
        double seen = arrivals.count(key, nowMs);
        List<EngineState> homes = homes(key, history ? 1 : homeCount(seen, able.size()), able);
        boolean oneZone = gateways < settings.gateways();
        double byOthers = (oneZone ? seen - 1 : seen) * (gateways - 1);
        request.homes = gateways > 1 && (history || byOthers > homes.size()) ? homes : List.of();
        request.homeTokens = history ? HISTORY * arrival.promptTokens() : arrival.prefixTokens();
        double longest = able.stream().mapToDouble(e -> matchedTokens(request, e)).max().orElse(0);
        return longest > 0 ? filter(able, e -> matchedTokens(request, e) >= longest) : homes;
    }

    /** The more of the recent arrivals a prefix has, the more homes; one arrival alone asks for one. */
    private double homeCount(double seen, int readers) {
        double all = HOME_SPREAD * readers;
        return Math.ceil(all * seen / (arrivals.count(ALL_ARRIVALS, nowMs) + Math.max(HOME_PRIOR, all)));
    }

    private static List<EngineState> homes(long key, double count, List<EngineState> able) {
        return able.stream().sorted(Comparator.comparingLong(e -> RendezvousHash.weight(key, e.id)))
                .limit(key == 0 ? 0 : (long) Math.max(1, count)).toList();
    }

    private double matchedTokens(RequestState request, EngineState engine) {
        double session = sessions.amount(request.arrival.session(), engine, nowMs);
        double prefix = prefixes.amount(request.arrival.prefix(), engine, nowMs);
        if (request.homes.contains(engine)) prefix = Math.max(prefix, request.homeTokens);
        return Math.min(Math.max(session, prefix), request.arrival.promptTokens());
    }

    private void recordRead(RequestState request, EngineState reader) {
        put(sessions, request.arrival.session(), reader, request.arrival.promptTokens(), nowMs);
        put(prefixes, request.arrival.prefix(), reader, request.arrival.prefixTokens(), nowMs);
    }

    private void put(PlacementTable<EngineState> to, long key, EngineState at, double tokens, double readMs) {
        if (key != 0 && tokens > 0) to.put(key, new PlacementTable.Placement<>(at, tokens, readMs), nowMs);
    }

    private void forget(RequestState request, EngineState engine) {
        sessions.remove(request.arrival.session(), engine);
        prefixes.remove(request.arrival.prefix(), engine);
    }

    // ---- Writer: lowest projected memory, selected when the prompt has been read ----

    private void onPromptRead(RequestState request, AttemptState attempt) {
        if (request.phase == Phase.WRITING || request.phase == Phase.HOLDING) return;
        request.stateHolder = attempt.engine;
        cancelOthers(attempt);
        write(request, null);
    }

    private void write(RequestState request, EngineState last) {
        request.phase = Phase.HOLDING;
        EngineState held = request.placeHolder;
        request.placeHolder = null;
        boolean hasPlace = held != null && held != last && held.isReady() && mayBeSentTo(request, held);
        EngineState writer = hasPlace ? held : selectWriter(request, last, request.stateHolder);
        if (writer != null && start(new AttemptState(request, writer, false))) request.phase = Phase.WRITING;
        else if (request.phase == Phase.HOLDING) selectLater(request);
    }

    private EngineState selectWriter(RequestState request, EngineState last, EngineState holder) {
        double average = averageReported();
        List<EngineState> able = eligible(request, last, e -> e.role != EngineRole.READER);
        int near = able.isEmpty() ? 0 : nearCell(holder, able);
        return lowest(able, e -> load(e, request, average) + distance(holder, e, near), random.nextLong());
    }

    /** The cell that counts as near: the reader's own, or where that has few writers so often another that
     * all writers get as much; gateways rarely see them full, and crowd them. Harms where cells differ. */
    private int nearCell(EngineState reader, List<EngineState> able) {
        if (reader == null) return -1;
        List<EngineState> readers = peers(reader);
        int own = reader.endpoint.cell();
        if (random.nextDouble() * share(own, readers) >= -spare(own, able, readers)) return own;
        // A race of exponential times: each cell wins as often as its spare share says.
        return lowest(able, e -> -Math.log(random.nextDouble()) * share(e.endpoint.cell(), able)
                / Math.max(0, spare(e.endpoint.cell(), able, readers)), 0).endpoint.cell();
    }

    private static double spare(int cell, List<EngineState> writers, List<EngineState> readers) {
        return share(cell, writers) - share(cell, readers);
    }

    private static double share(int cell, List<EngineState> among) {
        return among.stream().filter(e -> e.endpoint.cell() == cell).count() / Math.max(1.0, among.size());
    }

    /** Own streams, each as its prompt and the estimate of its output, this one, and the last report. */
    private double projectedShare(EngineState engine, RequestState request, double average) {
        double memory = Math.max(1, settings.engineKinds().get(engine.endpoint.kind()).memoryTokens());
        double own = engine.projectedTokens + request.arrival.promptTokens() + request.estimatedOutput;
        double reported = Double.isNaN(engine.reportedMemory) ? average : engine.reportedMemory;
        return own / memory * relativeStreamPace(engine) + reported;
    }

    private static double projectedTokens(RequestState request) {
        return request.arrival.promptTokens() + request.estimatedOutput;
    }

    private static double distance(EngineState from, EngineState to, int near) {
        if (from == null || to.endpoint.cell() == near) return 0;
        return from.endpoint.zone() == to.endpoint.zone() ? FAR_CELL : FAR_ZONE;
    }

    // ---- Health: outlier detection against peers of the role ----

    private void recordOutcome(AttemptState attempt, RoutingEvent.AttemptEnded ended) {
        EngineState engine = attempt.engine;
        RequestState request = attempt.request;
        if (!Double.isNaN(ended.load().memoryShare())) engine.reportedMemory = ended.load().memoryShare();
        switch (ended.outcome()) {
            case PROMPT_READ -> {
                attempt.answered = true;
                // What was really read: other gateways' prompts decide what stays cached.
                double read = Math.max(0, request.arrival.promptTokens() - plausible(ended.cachedTokens()));
                attempt.cost += read - attempt.uncachedTokens;
                recordResponse(attempt, ended.elapsedMs());
                recordSuccess(engine);
                if (ended.cachedTokens() < CONFIRMED * attempt.matchedTokens) {
                    // A cache that was flushed or is too small: what else we assume there is doubtful too.
                    forget(request, engine);
                    recordRead(request, engine);
                }
            }
            case COMPLETED -> {
                recordSuccess(engine);
                double pace = streamPace(request);
                if (request.estimatedOutput >= 1 && pace >= 0) engine.streamPace.add(pace, nowMs);
            }
            case OVERLOADED -> {
                engine.overloadedUntilMs = nowMs + OVERLOADED_MS;
                (attempt.isRead ? readWaits : tokenWaits).add(request.terms.objectiveMs(), nowMs);
            }
            case ERROR, RESET, UNREACHABLE, TIMEOUT -> recordFailure(attempt);
            case STATE_LOST, CANCELLED, NOT_SENT -> { } // nothing about the engine
        }
    }

    private void recordResponse(AttemptState attempt, double elapsedMs) {
        if (!(elapsedMs > 0 && elapsedMs < MAX_PLAUSIBLE) || !(attempt.cost > 0)) return;
        EngineState engine = attempt.engine;
        engine.answeredSentMs = Math.max(engine.answeredSentMs, attempt.sentMs);
        if (attempt.isRead) {
            calmPace = Math.min(elapsedMs / attempt.cost, calmPace * CALM_DRIFT);
            double waitMs = elapsedMs - calmPace * attempt.cost;
            readWaits.add(Math.min(waitMs, attempt.request.terms.objectiveMs()), nowMs);
        }
        engine.pace.add(elapsedMs / attempt.cost, nowMs);
        engine.responseMs.add(elapsedMs, nowMs);
        // So slow that objectives are at stake: a queue alone does not eject.
        double shortest = settings.classes().stream().mapToDouble(RequestClass::objectiveMs).min().orElse(0);
        boolean slow = relativePace(engine) > SLOW_OUTLIER && engine.responseMs.mean() > HARMFUL * shortest;
        if (slow && !isWarmingUp(engine)) eject(engine, "slow"); // a new process is slow by nature
    }

    private double streamPace(RequestState request) {
        return (nowMs - request.firstTokenMs) / request.estimatedOutput;
    }

    /** How slowly an engine streams against its peers, running streams counted; 1 if unknown. */
    private double relativeStreamPace(EngineState engine) {
        double usual = usual(engine).streamPace;
        double running = engine.inFlight.stream().filter(a -> a.streaming && a.request.estimatedOutput >= 1)
                .mapToDouble(a -> streamPace(a.request)).average().orElse(0);
        double least = Math.max(MIN_RELATIVE_PACE, usual > 0 ? running / usual : 0);
        return Math.max(least, relative(engine.streamPace, usual));
    }

    /** An engine's pace against the median of its peers; 1 while too little is known. */
    private double relativePace(EngineState engine) {
        return relative(engine.pace, usual(engine).pace);
    }

    /** Few samples count against one usual one, and not at all while they are unremarkable. */
    private double relative(DecayingAverage seen, double usual) {
        double weight = seen.weight(nowMs);
        double relative = usual > 0 ? (weight * seen.mean() / usual + 1) / (weight + 1) : 1;
        return weight < ENOUGH && relative < REMARKABLE ? 1 : relative;
    }

    private Usual usual(EngineState engine) {
        if (usual.isEmpty()) usualUntilMs = nowMs + MEDIANS_MS;
        return usual.computeIfAbsent(engine.role, role -> {
            List<EngineState> peers = peers(engine);
            double warmRate = peers.stream().filter(e -> !isWarmingUp(e))
                    .mapToDouble(e -> e.sendRate.perMs(nowMs)).average().orElse(0);
            return new Usual(median(peers, e -> e.pace), median(peers, e -> e.responseMs),
                    median(peers, e -> e.streamPace), median(peers, e -> e.failureRate), warmRate);
        });
    }

    private double median(List<EngineState> among, Function<EngineState, DecayingAverage> of) {
        var means = among.stream().map(of).mapToDouble(mean -> mean.meanOr(SOME, Double.NaN, nowMs));
        return Medians.lowerMedian(means, Double.NaN);
    }

    private List<EngineState> peers(EngineState engine) {
        return filter(engines.values().stream().toList(), e -> e.isReady() && e.role == engine.role);
    }

    private void recordSuccess(EngineState engine) {
        engine.lastSuccessMs = nowMs;
        engine.failureRate.add(0, nowMs);
        boolean onTrial = engine.ejected && nowMs >= engine.ejectedUntilMs;
        if (!onTrial || ++engine.successfulTrials < TRIALS) return;
        engine.ejected = false;
        engine.ejections = 0;
    }

    private void recordFailure(AttemptState attempt) {
        EngineState engine = attempt.engine;
        // Silence says less of an engine that we seldom hear anyway.
        boolean certain = attempt.ended || engine.failureRate.weight(nowMs) >= ENOUGH;
        engine.failureRate.add(certain ? 1 : OVERDUE_FAILURE, nowMs);
        if (attempt.isRead) forget(attempt.request, engine);
        double weight = engine.failureRate.weight(nowMs);
        double rate = engine.failureRate.mean() * weight / (weight + 1);
        if (rate > MAX_FAILURE_RATE && !(rate <= OUTLIER * usual(engine).failures)) eject(engine, "failing");
    }

    private void eject(EngineState engine, String reason) {
        if (engine.ejected && nowMs < engine.ejectedUntilMs || !engine.isReady()) return;
        List<EngineState> peers = peers(engine);
        if (filter(peers, e -> e.ejected || e == engine).size() > MAX_EJECTED_SHARE * peers.size()) return;
        engine.ejected = true;
        double doubledMs = EJECTION_MS * (1 << Math.min(engine.ejections, 10));
        double leastMs = Math.max(doubledMs, 1 / usual(engine).sendRate); // for an attempt to come by
        engine.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, leastMs);
        engine.ejections++;
        engine.successfulTrials = 0;
        engine.pace.resetWeight(1);
        engine.failureRate.resetWeight(0);
        String line = "engine ejected engine=" + Long.toHexString(engine.id) + " reason=" + reason;
        actions.add(new RoutingAction.LogMessage(line + " failures=" + engine.failureRate.mean()));
    }

    /** At capacity: not now. In service: yes. Ejected: no. On trial: as much as its successes allow. */
    private boolean admits(EngineState engine, RequestState request) {
        if (nowMs < engine.overloadedUntilMs || !engine.ejected) return nowMs >= engine.overloadedUntilMs;
        // A trial with work that could not be sent again: only where no other work comes.
        boolean costly = request.is(Idempotency.NON_IDEMPOTENT) && engine.role != EngineRole.READER;
        double trialMs = engine.ejectedUntilMs + (costly ? MAX_EJECTION_MS : 0);
        return nowMs >= trialMs && engine.inFlight.size() < 1 << engine.successfulTrials;
    }

    // ---- Eligibility: every attempt passes here ----

    /** Engines of a role that may be sent to; healthy ones, and others than the last, if there are any. */
    private List<EngineState> eligible(RequestState request, EngineState last, Predicate<EngineState> role) {
        List<EngineState> open = filter(engines.values().stream().toList(), e -> e.isReady() && role.test(e)
                && hasSlowStartCapacity(e) && mayBeSentTo(request, e));
        List<EngineState> others = filter(open, e -> e != last);
        List<EngineState> healthy = filter(others, e -> admits(e, request));
        List<EngineState> untried = filter(healthy, e -> !wasUnansweredAt(request, e));
        if (!untried.isEmpty()) return untried;
        return !healthy.isEmpty() ? healthy : others.isEmpty() ? open : others;
    }

    /** It would go, in turns with another such, to an engine that loses what is sent to it. */
    private static boolean wasUnansweredAt(RequestState request, EngineState engine) {
        return request.attempts.stream().anyMatch(a -> a.engine == engine && !a.answered);
    }

    private boolean start(AttemptState attempt) {
        RequestState request = attempt.request;
        EngineState engine = attempt.engine;
        if (request.attempts.size() >= request.limits.maxAttempts() || request.phase == Phase.CLOSED
                || request.inFlight > 0 && !request.limits.hedging()) {
            giveUp(request);
            return false;
        }
        engine.sendRate.add(1, nowMs);
        if (isWarmingUp(engine)) engine.slowStart.consume();
        if (!attempt.isRead) attempt.cost = 1;
        request.attempts.add(attempt);
        request.inFlight++;
        engine.inFlight.add(attempt);
        engine.queuedTokens += attempt.uncachedTokens;
        if (!attempt.isRead) engine.projectedTokens += projectedTokens(request);
        // An attempt at a pure reader has no effect, however it ends.
        if (engine.role != EngineRole.READER && request.mayHaveRun == null) request.mayHaveRun = attempt;
        actions.add(new RoutingAction.StartAttempt(request.id, engine.id, request.deadlineMs));
        checkOverdueAt(attempt, nowMs + patienceMs(attempt));
        return true;
    }

    /** Not idempotent and maybe executed, or with a key by which repeats are no longer dropped. */
    private boolean isUnrepeatable(RequestState request) {
        AttemptState first = request.mayHaveRun;
        if (first == null || request.is(Idempotency.IDEMPOTENT)) return false;
        return request.is(Idempotency.NON_IDEMPOTENT) || nowMs >= first.sentMs + request.terms.keyTtlMs();
    }

    /** What can't be repeated goes nowhere; with a key, only where all that may have run is known. */
    private boolean mayBeSentTo(RequestState request, EngineState engine) {
        boolean keyed = request.is(Idempotency.IDEMPOTENCY_KEY);
        if (!keyed) return engine.role == EngineRole.READER || !isUnrepeatable(request);
        return request.attempts.stream().allMatch(a -> a.ended && a != request.mayHaveRun
                || nowMs < a.sentMs + request.terms.keyTtlMs()
                        && request.terms.keyScope().includes(a.engine.endpoint, engine.endpoint));
    }

    private boolean isWarmingUp(EngineState engine) {
        double startedMs = engine.endpoint.startedMs();
        return startedMs > 0 && nowMs < startedMs + settings.rules().slowStartMs();
    }

    /** Our share of what an engine in slow start can do, judged by what its warm peers get from us. It
     * grows evenly, so that few warm peers don't drown while new processes have capacity. */
    private boolean hasSlowStartCapacity(EngineState engine) {
        if (!isWarmingUp(engine)) return true;
        double initial = settings.rules().initialCapacity();
        double progress = (nowMs - engine.endpoint.startedMs()) / settings.rules().slowStartMs();
        double perMs = Math.max(1.0 / (1000 * settings.gateways()), usual(engine).sendRate)
                * (initial + (1 - initial) * Math.max(0, progress)) * SLOW_START_LOAD;
        engine.slowStart.refill(nowMs, perMs, 1);
        return engine.slowStart.tokens() >= 1;
    }

    // ---- Attempts: overdue, failed, waiting ----

    /** How long an attempt may take: some times what its peers take, or what its own engine took lately. */
    private double patienceMs(AttemptState attempt) {
        double pace = usual(attempt.engine).pace;
        double usualMs = Math.max(Double.isNaN(pace) ? 0 : pace * attempt.cost, waitMs(attempt.engine));
        // What we only assume to be cached there may have to be read.
        boolean assumed = pace > 0 && attempt.request.homes.contains(attempt.engine);
        double readMs = assumed ? pace * attempt.request.arrival.promptTokens() / 2 : 0;
        return Math.max(EARLIEST * attempt.request.terms.objectiveMs(), OVERDUE * Math.max(usualMs, readMs));
    }

    private void checkOverdueAt(AttemptState attempt, double atMs) {
        setTimer(attempt.request.id, attempt.number, Purpose.ATTEMPT_OVERDUE, atMs);
    }

    /** Silence, or a known outlier: an attempt takes far longer than peers do. Hedge it, or call it off. */
    private void onOverdue(RequestState request, int number) {
        AttemptState attempt = request == null ? null : inFlight(request.id, number);
        if (attempt == null || attempt.cancelled || request.isAnswered()) return;
        if (request.attempts.size() >= request.limits.maxAttempts() - 1) return;
        // Retries are rationed against storms, but an answer that is lost comes from no lack of capacity.
        boolean lost = attempt.isOvertaken();
        if (!lost && (retryBudget < 1 || isRoleBehind(attempt))) {
            checkOverdueAt(attempt, nowMs + patienceMs(attempt)); // silence may last on; the crowd will not
            return;
        }
        if (keepUnrepeatable(attempt)) return;
        double objectiveMs = request.terms.objectiveMs();
        boolean silent = attempt.engine.lastSuccessMs < attempt.sentMs;
        if (!silent && !lost && !attempt.excused && relativePace(attempt.engine) < OUTLIER) {
            // Others were answered: a queue, or an answer that was lost. The second time it counts as lost.
            attempt.excused = true;
            checkOverdueAt(attempt, 2 * nowMs - attempt.sentMs);
            return;
        }
        // A full writer's queue is silent too: only silence as long as an objective counts.
        if (silent && nowMs - attempt.engine.lastSuccessMs > objectiveMs) recordFailure(attempt);
        retryBudget = Math.max(0, retryBudget - 1);
        // A repeat that nothing drops while the first is in flight, a read's too, has to wait for its end.
        boolean hedge = attempt.isRead && request.limits.hedging() && !request.is(Idempotency.NON_IDEMPOTENT);
        if (hedge && mayBeSentTo(request, attempt.engine)) read(request, attempt.engine);
        else request.attempts.forEach(this::cancel);
    }

    /** It may have begun to answer and can go nowhere else: called off in time it could only be lost. */
    private boolean keepUnrepeatable(AttemptState attempt) {
        RequestState request = attempt.request;
        if (!request.is(Idempotency.NON_IDEMPOTENT) || attempt != request.mayHaveRun) return false;
        attempt.kept = true;
        if (attempt.isRead || nowMs >= request.objectiveMs) return attempt.isRead;
        checkOverdueAt(attempt, request.objectiveMs);
        return true;
    }

    /** Where the whole role is behind, another attempt only adds to it. */
    private boolean isRoleBehind(AttemptState attempt) {
        double waitMs = (attempt.isRead ? readWaits : tokenWaits).fadedMean(ROLE_WAIT_MS, nowMs);
        return isSeldomMet(attempt.engine) && waitMs > ROLE_BEHIND * attempt.request.terms.objectiveMs();
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
        if (outcome.provesNoEffect() && request.mayHaveRun == attempt) request.mayHaveRun = null;
        if (request.phase == Phase.STREAMING || request.inFlight > 0) return;
        if (outcome == AttemptOutcome.STATE_LOST) request.stateHolder = null;
        // What may have had its effect can be neither repeated nor taken elsewhere: no use in waiting.
        boolean spent = request.attempts.size() >= request.limits.maxAttempts() || isUnrepeatable(request);
        boolean readCancelled = outcome == AttemptOutcome.CANCELLED && attempt.isRead;
        if (spent || lastMomentMs(request) <= nowMs) giveUp(request);
        // Sent at once it could overtake, on its way, the end of the read that was called off before it.
        else if (readCancelled && !request.is(Idempotency.IDEMPOTENT)) selectLater(request);
        else if (request.stateHolder != null) write(request, attempt.engine);
        else read(request, attempt.engine);
    }

    /** No engine is eligible now: selects again soon, for as long as the state may be reserved. */
    private void selectLater(RequestState request) {
        int next = request.attempts.size();
        if (request.holdsState) setTimer(request.id, next, Purpose.RESERVATION_LIMIT, heldUntilMs(request));
        setTimer(request.id, 0, Purpose.RETRY_SELECTION, nowMs + SELECTION_MS);
    }

    private void selectAgain(RequestState request) {
        if (request == null || request.inFlight > 0) return;
        if (nowMs > Math.max(request.objectiveMs, request.reservedMs + 2 * SELECTION_MS)) giveUp(request);
        if (request.phase == Phase.HOLDING) write(request, null);
        if (request.phase == Phase.READING) read(request, null);
    }

    /** The state was reserved as long as the rules allow: let it go and end the request. */
    private void onReservationLimit(RequestState request) {
        boolean waits = request != null && request.holdsState && request.inFlight == 0;
        if (waits && nowMs >= heldUntilMs(request)) giveUp(request);
    }

    private double heldUntilMs(RequestState request) {
        return request.reservedMs + settings.rules().reservationLimitMs() - marginMs();
    }

    private double marginMs() {
        return MARGIN_TICKS * settings.tickMs() + MARGIN_MS;
    }

    private double lastMomentMs(RequestState request) {
        return request.deadlineMs - marginMs();
    }

    // ---- Admission: load shedding by priority ----

    /** Work is rejected when its first token is expected near its own objective, or near that of work of
     * higher priority. For any lasting lack of capacity; could harm where a short burst would have passed. */
    private boolean isOverloaded(RequestState request, EngineState reader) {
        // The rest of a stream that broke is admitted: else what was served of it would be lost too.
        if (reader == null || request.arrival.resumed()) return false;
        List<EngineState> writers = eligible(request, null, e -> e.role != EngineRole.READER);
        double median = Medians.lowerMedian(writers.stream().mapToDouble(this::fadedWaitMs), 0);
        double own = Math.max(readMs(reader, reader.queuedTokens), oldestWaitMs(reader));
        double all = isSeldomMet(reader) ? readWaits.fadedMean(ROLE_WAIT_MS, nowMs) : 0;
        double queue = Math.max(own, all) + Math.max(median, tokenWaits.fadedMean(ROLE_WAIT_MS, nowMs));
        double limit = Math.min(request.objectiveMs, lastMomentMs(request)) - nowMs;
        // A long prompt takes its time without a queue: what it needs itself is no overload.
        double whole = queue + (calmPace < MAX_PLAUSIBLE ? calmPace * neededTokens(request, reader) : 0);
        if (queue > QUEUED * limit && whole > ADMIT * limit) return true;
        for (RequestClass other : settings.classes()) {
            if (other.priorityWeight() > request.priorityWeight) limit = Math.min(limit, other.objectiveMs());
        }
        return queue > ADMIT * limit;
    }

    /** Met so seldom, the more so the more gateways, that its waits say little: its role's stand in. */
    private boolean isSeldomMet(EngineState engine) {
        return usual(engine).sendRate * WAIT_MS < Math.min(ENOUGH, Math.max(1, settings.gateways() / 4.0));
    }

    /** A bucket for each tenant, filled at this gateway's part of its quota; empty means over it. */
    private boolean isOverQuota(int tenant) {
        double perSecond = settings.tenants().get(tenant).quotaPerSecond();
        double perMs = perSecond / 1000 / Math.max(1, settings.gateways());
        if (!(perMs > 0)) return false;
        double burst = Math.max(1, QUOTA_BURST_MS * perMs);
        TokenBucket quota = quotas.computeIfAbsent(tenant, t -> new TokenBucket(burst, nowMs));
        quota.refill(nowMs, perMs, burst);
        return !quota.consumeOrDrain();
    }

    /** What an engine makes us wait: its recent times, or the age of what still waits there. */
    private double waitMs(EngineState engine) {
        double usualMs = usual(engine).waitMs > 0 ? usual(engine).waitMs : 0;
        // Remembered for longer than the gap between two samples, however many engines share our work.
        double fadeMs = Math.max(WAIT_MS, Math.min(MEMORY_MS, 1 / usual(engine).sendRate));
        double excessMs = usualMs * (relative(engine.responseMs, usualMs) - 1);
        double seenMs = usualMs + excessMs * Math.exp((engine.lastSuccessMs - nowMs) / fadeMs);
        return Math.max(oldestWaitMs(engine), seenMs);
    }

    /** A jam is believed no longer than it is seen: admission, once shut, would get no news to open on. */
    private double fadedWaitMs(EngineState engine) {
        double fade = Math.exp((engine.lastSuccessMs - nowMs) / ROLE_WAIT_MS);
        return Math.max(oldestWaitMs(engine), waitMs(engine) * fade);
    }

    /** The age of the oldest attempt that waits; a lost one would pass for a queue and shut admission. */
    private double oldestWaitMs(EngineState engine) {
        return engine.inFlight.stream().filter(AttemptState::isQueued).findFirst()
                .map(a -> nowMs - a.sentMs).orElse(0.0);
    }

    // ---- End of request ----

    /** Ends a request unserved, at once; rejected if a retry is harmless, to come later, not all at once. */
    private void giveUp(RequestState request) {
        if (request == null || request.isAnswered()) return;
        boolean unsure = request.mayHaveRun != null || request.inFlight > 0; // a read in flight: no proof
        boolean allKnowKeys = request.terms.keyScope() == IdempotencyScope.ALL;
        boolean harmless = !unsure || request.is(Idempotency.IDEMPOTENT)
                || request.is(Idempotency.IDEMPOTENCY_KEY) && allKnowKeys;
        double mostMs = Math.min(settings.limits().maxRetryAfterMs(), WAIT_MS);
        double retryAfterMs = settings.limits().retryAfter() ? mostMs * (1 - random.nextDouble() / 2) : 0;
        if (harmless) actions.add(new RoutingAction.RejectRequest(request.id, retryAfterMs));
        else actions.add(new RoutingAction.FailRequest(request.id));
        request.attempts.forEach(this::cancel);
        close(request);
    }

    private void close(RequestState request) {
        if (request == null || request.phase == Phase.CLOSED) return;
        request.phase = Phase.CLOSED;
        cleanUp(request);
    }

    /** A release passes over what an attempt still waits for, so each that ends later brings another. */
    private void cleanUp(RequestState request) {
        if (request.holdsState) actions.add(new RoutingAction.ReleaseState(request.id));
        if (request.inFlight == 0) requests.remove(request.id);
    }

    private void settleLoad(AttemptState attempt, AttemptOutcome outcome) {
        RequestState request = attempt.request;
        EngineState engine = attempt.engine;
        engine.inFlight.remove(attempt);
        // What was rejected is no measure of what a warm engine can carry.
        if (outcome.provesNoEffect() && outcome != AttemptOutcome.PROMPT_READ) engine.sendRate.add(-1, nowMs);
        engine.queuedTokens = Math.max(0, engine.queuedTokens - attempt.uncachedTokens);
        double projected = attempt.isRead ? 0 : projectedTokens(request);
        engine.projectedTokens = Math.max(0, engine.projectedTokens - projected);
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
        sessions.visit((k, p) -> all.add(new PrefixCached(true, k, p.holder().id, p.amount(), p.atMs())));
        prefixes.visit((k, p) -> all.add(new PrefixCached(false, k, p.holder().id, p.amount(), p.atMs())));
        return all;
    }

    /** Entries in the tables, for watching that they stay bounded. */
    int tableSizes() {
        return requests.size() + sessions.size() + prefixes.size() + arrivals.size() + engines.size();
    }

    private static List<EngineState> filter(List<EngineState> among, Predicate<EngineState> by) {
        return among.stream().filter(by).toList();
    }

    /** The engine of the lowest value; equals by the key's rendezvous hash, so that gateways don't herd. */
    private static EngineState lowest(List<EngineState> among, ToDoubleFunction<EngineState> by, long key) {
        return RendezvousHash.lowest(among, by, e -> e.id, key);
    }
}
