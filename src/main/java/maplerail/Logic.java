package maplerail;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Every decision of a node. Its events, actions and settings are in {@link Router} (Router.java).
 *
 * <p>The ordinary path is D2LPM: the reader that holds the longest prefix, while the client has credit
 * there, else the least queued reader with credit; when the read ends, the writer of lowest projected
 * memory. All else here answers something that went wrong and says what.
 */
public final class Logic implements Router {

    // ---- Constants: unit and reason ----

    private static final double QUANTUM = 40_000; // tokens; what every counter of a client grows by (design)
    private static final double OUTPUT_WEIGHT = 2, STAND_IN = 0.5; // of output in the deficit; of the maximum
    private static final double ENTRY_AGE = 20_000; // ms that a locality entry is believed (design)
    private static final double KEPT_SHARE = 0.5; // an entry drops when an answer finds less kept (design)
    private static final int MAX_KEYS = 20_000, MAX_HOLDERS = 8; // bounds on the tables, far above what lives
    private static final double READ_OVERHEAD = 300; // tokens; a read's fixed cost: a step, messages
    private static final double HISTORY = 0.8; // of a prompt, held to be kept at its session's home
    private static final double HOME_SPREAD = 2, HOME_PRIOR = 8; // homes a reader's worth; arrivals assumed
    private static final double FAR_CELL = 0.04, FAR_ZONE = 0.08; // share of memory that a move out counts as
    private static final double WAIT_SHARE = 0.3; // of memory, for a wait as long as the aim: streams unseen
    private static final double SANE = 1e7; // tokens or ms; nothing told is held to be longer
    private static final double SAMPLES = 5, MEMORY_MS = 20_000; // a recent mean goes back so many, so long
    private static final double SILENCE = 0.6; // of a failure, for an answer that is overdue
    private static final double FAIL_LIMIT = 0.35; // failure rate of an outlier
    private static final double OUTLIER = 2.5, SLOW_OUTLIER = 4; // times the peers' median failures, pace
    private static final double MIN_RELATIVE = 0.7; // least relative speed, so that luck draws no herd
    private static final double HURTING = 0.4; // share of the shortest aim from which being slow counts
    private static final double SPILL = 0.3; // share of the time to the aim that a matched reader may take
    private static final double ENOUGH = 3, SOME = 0.3; // samples to judge an engine; to count among peers
    private static final double REMARKABLE = 1.5; // relative pace that counts with fewer samples
    private static final double EJECT_SHARE = 0.5; // most of a role that may be ejected
    private static final double EJECT_MS = 1_000, EJECT_MAX_MS = 8_000; // first, longest; each one doubles
    private static final int HALF_OPEN_STEPS = 4; // good outcomes that close; each doubles what may be out
    private static final double FULL_MS = 150; // for which an engine that was full is passed over
    private static final double OVERDUE = 3, OVERDUE_SHARE = 0.4; // times the expected; least share of an aim
    private static final double RETRY_SHARE = 0.2, RETRY_BURST = 10; // per arrival; saved up of those lately
    private static final double BEHIND = 0.25; // of an aim, for the waits of a role: then no copies
    private static final double CALM_DRIFT = 1.01; // growth, each read, of the pace held to be free of queues
    private static final double WAIT_MS = 2_000, POOL_MS = 8_000; // in which a wait of one, of all, fades
    private static final double ADMIT = 0.7, QUEUED = 0.2; // of an aim, for a first token; for queues alone
    private static final double SHARE_MS = 5_000; // of its share that a tenant may use at once
    private static final double USUAL_MS = 10; // for which what is usual in a role is not reckoned again
    private static final double LOOK_MS = 25; // between two looks for an engine for a request that has none
    private static final double MARGIN_TICKS = 3, MARGIN_MS = 4; // that a timer is set before its limit
    private static final double COLD_LOAD = 1.2, RATE_MS = 10_000; // of its present capacity; mean of sends
    private static final double ASK_AGAIN_MS = 1_000; // between two attempts at a subscription to the list

    // ---- State ----

    private enum Phase { READING, HOLDING, WRITING, STREAMING, DONE }

    /** What a timer is for; its place is the low part of the token. */
    private enum Alarm { DEADLINE, LOOK, PINNED, OVERDUE, ASK }

    /** A mean of recent samples and the weight that they still have. */
    private final class Evidence {
        double mean;
        private double weight, atMs;

        double weight() {
            return weight * Math.exp((atMs - now) / MEMORY_MS);
        }

        void add(double value) {
            weight = Math.min(SAMPLES - 1, weight()) + 1;
            mean += (value - mean) / weight;
            atMs = now;
        }

        double orElse(double least, double other) {
            return weight() >= least ? mean : other;
        }
    }

    /** What is usual in a role, for one step: medians, and the mean rate of our sends to warm engines. */
    private record Usual(double pace, double waitMs, double stream, double failures, double warmRate) { }

    private final class Engine {
        final long id;
        Member member;
        Role role;
        boolean ready;
        /** Tokens that each client has used of what D2LPM granted it here. */
        final Map<Integer, Double> used = new TreeMap<>();
        /** Own reads out, in uncached tokens, and attempts out, oldest first. */
        double queued;
        final List<Attempt> out = new ArrayList<>();
        /** Own streams' projected tokens, and the last reported share of memory (NaN: unheard). */
        double projected;
        double reported = Double.NaN;
        /** Milliseconds for each unit of cost, in all, and of streaming for each token of the stand-in. */
        final Evidence pace = new Evidence();
        final Evidence typicalMs = new Evidence();
        final Evidence stream = new Evidence();
        /** Share of outcomes that failed. */
        final Evidence failures = new Evidence();
        double heardMs, fullUntil;
        /** When the last of those that were answered was sent: what was sent before has been overtaken. */
        double answeredSentMs = Double.NEGATIVE_INFINITY;
        /** Outlier detection: closed, or ejected until a time and then half-open. */
        boolean ejected;
        double ejectedUntil;
        int ejections, goodTrials;
        /** Own sends a millisecond (EWMA), and the bucket of sends while cold. */
        double sendRate, rateAt, coldBucket, coldAt;

        Engine(long id) { this.id = id; }
    }

    private final class Attempt {
        final Request request;
        final int number;
        final Engine engine;
        final boolean read;
        final double sentMs;
        double cost, uncached, matched;
        boolean ended, cancelled, begun, excused, late, answered;

        /** A reader takes prompts in turn: an answer to a later one says that this one's is lost. */
        boolean overtaken() { return engine.role == Role.READ && sentMs < engine.answeredSentMs; }

        Attempt(Request request, Engine engine, boolean read, double sentMs) {
            this.request = request;
            this.number = request.attempts.size();
            this.engine = engine;
            this.read = read;
            this.sentMs = sentMs;
        }
    }

    private final class Request {
        final Arrival asked;
        final RequestClass kind;
        final Limits limits = settings.limits();
        final int client;
        final double aimMs, deadlineMs, standIn;
        final long session;
        final List<Attempt> attempts = new ArrayList<>();
        Phase phase = Phase.READING;
        /** Readers held to have its beginning from other nodes. */
        List<Engine> homes = List.of();
        double assumed;
        /** Worth for each unit of work, lowered where it is over its tenant's share. */
        double worth;
        int out;
        /** The reader whose state waits, whether any may be held, and since when it counts as pinned. */
        Engine holder;
        boolean held;
        double heldMs, firstMs;
        /** The first attempt that may have run, for the repeat rules. */
        Attempt mayHaveRun;

        Request(Arrival asked, RequestClass kind, int client) {
            this.asked = asked;
            this.kind = kind;
            this.worth = kind.worth();
            this.client = client;
            this.session = asked.session() != 0 ? asked.session() : random.nextLong();
            this.aimMs = now + kind.aimMs() + kind.aimMsPerToken() * asked.promptTokens();
            this.deadlineMs = now + asked.budgetMs();
            double hinted = kind.tokenAimMs() > 0 ? asked.hintMs() / kind.tokenAimMs() : 0;
            this.standIn = hinted > 0 ? hinted : STAND_IN * asked.maxOutput();
        }
    }

    private record Holding(Engine engine, double tokens, double atMs) { }

    private Settings settings;
    private final SplittableRandom random;
    private final TreeMap<Long, Engine> engines = new TreeMap<>();
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final Map<Long, ArrayDeque<Holding>> sessions = new LinkedHashMap<>();
    private final Map<Long, ArrayDeque<Holding>> prefixes = new LinkedHashMap<>();
    /** How many of the arrivals of late had each beginning, fading; 0 stands for all. */
    private final Map<Long, double[]> heat = new LinkedHashMap<>();
    private final Map<Role, Usual> usual = new TreeMap<>();
    private double usualUntil;
    /** Waits for a first token lately, wherever; one as long as the aim for a writer that was full. */
    private final Evidence firstTokens = new Evidence();
    /** The same for reads, beyond what they take at the calm pace: the least lately seen. */
    private final Evidence reads = new Evidence();
    private double calmPace = Double.POSITIVE_INFINITY;
    /** Tokens that D2LPM has granted each client at every reader. */
    private final Map<Integer, Double> granted = new TreeMap<>();
    private double retryTokens = RETRY_BURST;
    private final Map<Integer, double[]> shares = new TreeMap<>();
    private boolean askPending;
    private double now;
    private List<Action> actions = new ArrayList<>();

    /** Makes the module of a node that has just come up. */
    public Logic(Settings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
    }

    // ---- Handlers ----

    @Override
    public List<Action> step(double nowMs, List<? extends Event> events) {
        now = nowMs;
        actions = new ArrayList<>();
        if (now >= usualUntil) usual.clear();
        for (Event event : events) {
            // What is seen of an engine counts at once; that a few milliseconds pass does not.
            if (event instanceof Ended || event instanceof FirstToken || event instanceof Seen) usual.clear();
            if (event instanceof Arrival arrival) onArrival(arrival);
            if (event instanceof Ended ended) onEnded(ended);
            if (event instanceof FirstToken first) onFirstToken(first);
            if (event instanceof Timer timer) onTimer(timer.token());
            if (event instanceof Members members) onMembers(members);
            if (event instanceof Abandoned gone) close(requests.get(gone.id()));
            if (event instanceof Retuned news) settings = news.settings();
            if (event instanceof Held held) onHeld(held);
            if (event instanceof Seen seen) onSeen(seen);
        }
        return actions;
    }

    private void onMembers(Members news) {
        if (settings.askForList() && news.kind() == ListKind.REMEMBERED) actions.add(new Subscribe());
        if (news.kind() == ListKind.FAILED) {
            if (!askPending) setTimer(0, 0, Alarm.ASK, now + ASK_AGAIN_MS);
            askPending = true;
            return;
        }
        usual.clear();
        List<Long> named = news.members().stream().map(Member::engine).toList();
        if (news.kind() != ListKind.CHANGES) engines.keySet().retainAll(named);
        for (Member member : news.members()) {
            Engine known = engines.get(member.engine());
            if (member.state() == State.GONE || member.kind() >= settings.kinds().size()) {
                engines.remove(member.engine());
                continue;
            }
            // A process that started anew holds nothing, and what was learned of it is of no use.
            if (known == null || member.startedMs() > known.member.startedMs()) {
                known = new Engine(member.engine());
                // Nodes that hear of a newcomer together must not all hold a whole send for it.
                known.coldBucket = random.nextDouble();
                known.coldAt = now;
                engines.put(member.engine(), known);
            }
            known.member = member;
            known.role = settings.kinds().get(member.kind()).role();
            known.ready = member.state() == State.READY;
        }
    }

    /** A length or time that can't be: 0 in place of NaN and less, and at most a bound. */
    private static double sane(double value) {
        return value > 0 ? Math.min(value, SANE) : 0;
    }

    private void onArrival(Arrival told) {
        // Absurd figures must not poison a deficit or an estimate that outlives the request.
        Arrival arrival = new Arrival(told.id(), told.kind(), told.tenant(), told.session(),
                sane(told.promptTokens()), told.prefix(), sane(told.prefixTokens()), sane(told.budgetMs()),
                sane(told.maxOutput()), sane(told.hintMs()), told.resumed());
        if (arrival.kind() >= settings.classes().size()) actions.add(new Refuse(arrival.id(), 0));
        if (arrival.kind() >= settings.classes().size()) return;
        boolean tenant = arrival.tenant() < settings.tenants().size();
        Request request = new Request(arrival, settings.classes().get(arrival.kind()),
                tenant ? arrival.tenant() : -1 - arrival.kind());
        if (tenant && overShare(arrival.tenant())) request.worth *= settings.overShareWorth();
        requests.put(arrival.id(), request);
        if (lastMoment(request) <= now) giveUp(request);
        if (request.phase == Phase.DONE) return;
        warm(0);
        if (arrival.prefix() != 0) warm(arrival.prefix());
        double lately = Math.min(RETRY_BURST, RETRY_SHARE * heatOf(0));
        double few = RETRY_BURST / Math.max(1, settings.routers() / HOME_PRIOR); // in all as large
        retryTokens = Math.min(Math.max(1, Math.max(lately, few)), retryTokens + RETRY_SHARE);
        setTimer(arrival.id(), 0, Alarm.DEADLINE, lastMoment(request));
        Engine reader = chooseReader(request, null);
        if (overloaded(request, reader)) giveUp(request);
        else readAt(request, reader);
    }

    private void onFirstToken(FirstToken first) {
        Attempt attempt = attemptOf(first.id(), first.attempt());
        if (attempt == null || attempt.request.phase == Phase.STREAMING) return;
        Request request = attempt.request;
        request.holder = null;
        request.held = false;
        request.firstMs = now;
        attempt.begun = true;
        if (request.phase != Phase.DONE) request.phase = Phase.STREAMING;
        observePace(attempt, first.spentMs());
        firstTokens.add(Math.min(sane(first.spentMs()), request.kind.aimMs()));
        good(attempt.engine);
        request.attempts.stream().filter(a -> a != attempt).forEach(this::cancel);
    }

    private void onEnded(Ended ended) {
        Attempt attempt = attemptOf(ended.id(), ended.attempt());
        if (attempt == null) return;
        Request request = attempt.request;
        attempt.ended = true;
        request.out--;
        request.heldMs = now;
        request.held |= ended.outcome() == Outcome.READ;
        account(attempt, ended);
        judge(attempt, ended);
        if (request.phase == Phase.DONE) cleanUp(request);
        else if (ended.outcome() == Outcome.SERVED || ended.closed()) close(request);
        else if (ended.outcome() == Outcome.READ) onRead(request, attempt);
        else onFailure(request, attempt, ended.outcome());
    }

    private void onTimer(long token) {
        Alarm alarm = Alarm.values()[(int) (token & 15)];
        Request request = requests.get(token >>> 12);
        askPending &= alarm != Alarm.ASK;
        if (alarm == Alarm.ASK) actions.add(new Subscribe());
        if (request == null) return;
        if (alarm == Alarm.DEADLINE) giveUp(request);
        if (alarm == Alarm.LOOK) look(request);
        if (alarm == Alarm.PINNED) pinned(request);
        if (alarm == Alarm.OVERDUE) overdue(request, (int) (token >>> 4 & 255));
    }

    private void onHeld(Held h) {
        Engine engine = engines.get(h.engine());
        if (engine != null) put(h.session() ? sessions : prefixes, h.key(), engine, h.tokens(), h.atMs());
    }

    /** A peer's reads count in a reader's pace as ours do; only what this node sees itself ejects. */
    private void onSeen(Seen seen) {
        Engine engine = engines.get(seen.engine());
        if (engine == null || engine.role == Role.WRITE || !(sane(seen.spentMs()) > 0)) return;
        engine.pace.add(seen.spentMs() / (sane(seen.tokens()) + READ_OVERHEAD));
        engine.typicalMs.add(seen.spentMs());
    }

    private Attempt attemptOf(long id, int number) {
        Request request = requests.get(id);
        if (request == null || number >= request.attempts.size()) return null;
        return request.attempts.get(number).ended ? null : request.attempts.get(number);
    }

    private void setTimer(long id, int attempt, Alarm alarm, double at) {
        actions.add(new SetTimer(id << 12 | (long) (attempt & 255) << 4 | alarm.ordinal(), at));
    }

    // ---- Reader: D2LPM ----

    /** Sends the prompt to a reader, or looks again a little later if none can take it. */
    private void read(Request request, Engine not) {
        request.phase = Phase.READING;
        readAt(request, chooseReader(request, not));
    }

    private void readAt(Request request, Engine reader) {
        if (reader == null) wait(request);
        if (reader == null) return;
        double matched = matchedTokens(request, reader);
        double uncached = Math.max(0, request.asked.promptTokens() - matched);
        charge(reader, request.client, request.asked.promptTokens());
        if (send(request, reader, true, uncached, matched)) learn(request, reader);
    }

    private Engine chooseReader(Request request, Engine not) {
        List<Engine> able = able(request, not, e -> reads(e));
        if (able.isEmpty()) return null;
        int zone = zone(request, able);
        List<Engine> near = able.stream().filter(e -> e.member.zone() == zone).toList();
        if (!near.isEmpty() && near.size() < able.size()) {
            int nodes = settings.routers() / (int) able.stream().map(e -> e.member.zone()).distinct().count();
            Engine here = d2lpm(request, near, longestMatch(request, near, nodes));
            if (!strained(request, here)) return here;
        }
        List<Engine> matched = longestMatch(request, able, settings.routers());
        return spill(request, d2lpm(request, able, matched), able);
    }

    /** The zone to read in: its own, unless writers elsewhere have that much more room. Guards against a
     * price for each crossing between sites; following the writers, states leave no zone short of them. */
    private int zone(Request request, List<Engine> readers) {
        double average = reportedAverage();
        List<Engine> writers = able(request, null, e -> e.role != Role.READ
                && readers.stream().anyMatch(r -> r.member.zone() == e.member.zone()));
        Engine best = least(writers, e -> load(e, request, average)
                + (e.member.zone() == settings.zone() ? 0 : FAR_ZONE), 0);
        return best == null ? settings.zone() : best.member.zone();
    }

    /** What a writer has taken on, as a share of its memory; its waits count too. */
    private double load(Engine writer, Request request, double average) {
        return projectedShare(writer, request, average) + WAIT_SHARE * waitMs(writer) / request.kind.aimMs();
    }

    private double reportedAverage() {
        return engines.values().stream().filter(e -> e.ready && !Double.isNaN(e.reported))
                .mapToDouble(e -> e.reported).average().orElse(0);
    }

    private boolean reads(Engine engine) {
        return engine.role != Role.WRITE || settings.limits().writersRead()
                && engines.values().stream().noneMatch(e -> e.ready && e.role != Role.WRITE);
    }

    /** SelectWorker of the paper's Algorithm 2. */
    private Engine d2lpm(Request request, List<Engine> able, List<Engine> matched) {
        int client = request.client;
        double most = able.stream().mapToDouble(e -> credit(e, client)).max().orElse(0);
        if (most <= 0) granted.merge(client, QUANTUM * (Math.floor(-most / QUANTUM) + 1), Double::sum);
        Engine held = leastQueued(matched, request);
        return held != null ? held : leastQueued(able, request);
    }

    /** What a client has left at a reader; one not used yet, as a newcomer, has a quantum at most. */
    private double credit(Engine engine, int client) {
        double all = granted.getOrDefault(client, 0.0);
        return all - engine.used.getOrDefault(client, Math.max(0, all - QUANTUM));
    }

    private void charge(Engine engine, int client, double tokens) {
        engine.used.put(client, granted.getOrDefault(client, 0.0) - credit(engine, client) + tokens);
    }

    /**
     * Exception to D2LPM: a matched reader that is expected to use up the aim gives way to the least queued
     * one if that is expected to take under half as long. Guards against a hot beginning, a slow holder and
     * queues of other nodes; could harm by spreading a beginning over readers that then evict others.
     */
    private Engine spill(Request request, Engine chosen, List<Engine> able) {
        if (!strained(request, chosen)) return chosen;
        double limit = expectedMs(request, chosen) / (relativePace(chosen) >= REMARKABLE ? 1 : 2);
        Engine other = least(able, e -> expectedMs(request, e), random.nextLong());
        return expectedMs(request, other) < limit ? other : chosen;
    }

    /** Slow, or expected to use up the aim. */
    private boolean strained(Request request, Engine at) {
        return relativePace(at) >= REMARKABLE || expectedMs(request, at) > SPILL * (request.aimMs - now);
    }

    private double expectedMs(Request request, Engine reader) {
        return readMs(reader, reader.queued + needed(request, reader));
    }

    /** What a request has to have read at a reader, with the fixed cost of a read. */
    private double needed(Request request, Engine reader) {
        return Math.max(0, request.asked.promptTokens() - matchedTokens(request, reader)) + READ_OVERHEAD;
    }

    private double readMs(Engine reader, double tokens) {
        double pace = usual(reader).pace;
        return Double.isNaN(pace) ? 0 : pace * relativePace(reader) * tokens;
    }

    /** By own reads queued, in uncached tokens, by the speed seen; equals by the session's hash. */
    private Engine leastQueued(List<Engine> among, Request request) {
        return least(among.stream().filter(e -> credit(e, request.client) > 0).toList(),
                e -> (e.queued + READ_OVERHEAD) * relativePace(e), request.session);
    }

    /** The able readers that hold the longest match, as far as known or likely; else the key's homes. */
    private List<Engine> longestMatch(Request request, List<Engine> able, int nodes) {
        // With more history than beginning the session's home is what all nodes agree on.
        boolean most = request.asked.promptTokens() > 2 * request.asked.prefixTokens();
        boolean history = most && request.asked.session() != 0;
        long key = history ? request.asked.session() : request.asked.prefix();
        double seen = heatOf(key), all = HOME_SPREAD * able.size(); // one arrival alone asks for one home
        double count = history ? 1 : Math.ceil(all * seen / (heatOf(0) + Math.max(HOME_PRIOR, all)));
        List<Engine> homes = key == 0 ? List.of() : able.stream()
                .sorted(Comparator.comparingLong(e -> mix(key ^ mix(e.id)))).limit((long) Math.max(1, count))
                .toList();
        double byOthers = (nodes < settings.routers() ? seen - 1 : seen) * (nodes - 1); // here, in one zone
        request.homes = nodes > 1 && (history || byOthers > homes.size()) ? homes : List.of();
        request.assumed = history ? HISTORY * request.asked.promptTokens() : request.asked.prefixTokens();
        double longest = able.stream().mapToDouble(e -> matchedTokens(request, e)).max().orElse(0);
        return longest > 0 ? able.stream().filter(e -> matchedTokens(request, e) >= longest).toList() : homes;
    }

    /** Arrivals with a beginning within the ageing time, about; 0 stands for all. */
    private double heatOf(long key) {
        double[] known = heat.get(key);
        return known == null ? 0 : known[0] * Math.exp((known[1] - now) / ENTRY_AGE);
    }

    private void warm(long key) {
        double seen = heatOf(key) + 1;
        heat.remove(key);
        heat.put(key, new double[] {seen, now});
        trim(heat, h -> h[1] <= now - MEMORY_MS - ENTRY_AGE);
    }

    /** Tables are in the order of use; guards against a day of new keys that nobody comes back with. */
    private static <T> void trim(Map<Long, T> table, Predicate<T> aged) {
        var eldest = table.values().iterator();
        while (eldest.hasNext() && (aged.test(eldest.next()) || table.size() > MAX_KEYS)) eldest.remove();
    }

    private static long mix(long value) {
        long z = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return (z ^ z >>> 31) >>> 1;
    }

    private double matchedTokens(Request request, Engine engine) {
        double session = heldTokens(sessions, request.asked.session(), engine);
        double prefix = heldTokens(prefixes, request.asked.prefix(), engine);
        if (request.homes.contains(engine)) prefix = Math.max(prefix, request.assumed);
        return Math.min(Math.max(session, prefix), request.asked.promptTokens());
    }

    private double heldTokens(Map<Long, ArrayDeque<Holding>> table, long key, Engine engine) {
        ArrayDeque<Holding> holdings = key == 0 ? null : table.get(key);
        if (holdings == null) return 0;
        for (Holding h : holdings) {
            if (h.engine() == engine && h.atMs() > now - ENTRY_AGE) return h.tokens();
        }
        return 0;
    }

    private void learn(Request request, Engine reader) {
        put(sessions, request.asked.session(), reader, request.asked.promptTokens(), now);
        put(prefixes, request.asked.prefix(), reader, request.asked.prefixTokens(), now);
    }

    private void put(Map<Long, ArrayDeque<Holding>> table, long key, Engine engine, double tokens,
            double atMs) {
        if (key == 0 || !(tokens > 0)) return;
        ArrayDeque<Holding> holdings = Objects.requireNonNullElseGet(table.remove(key), ArrayDeque::new);
        table.put(key, holdings);
        holdings.removeIf(h -> h.engine() == engine || h.atMs() <= now - ENTRY_AGE);
        holdings.addLast(new Holding(engine, tokens, atMs));
        if (holdings.size() > MAX_HOLDERS) holdings.removeFirst();
        trim(table, h -> h.isEmpty() || h.peekLast().atMs() <= now - ENTRY_AGE);
    }

    private void drop(Request request, Engine engine) {
        var session = sessions.getOrDefault(request.asked.session(), new ArrayDeque<>());
        var prefix = prefixes.getOrDefault(request.asked.prefix(), new ArrayDeque<>());
        List.of(session, prefix).forEach(held -> held.removeIf(h -> h.engine() == engine));
    }

    // ---- Writer: lowest projected memory, chosen when the read has ended ----

    private void onRead(Request request, Attempt attempt) {
        if (request.phase == Phase.WRITING || request.phase == Phase.HOLDING) return;
        request.holder = attempt.engine;
        request.attempts.stream().filter(a -> a != attempt).forEach(this::cancel);
        write(request, null);
    }

    private void write(Request request, Engine not) {
        request.phase = Phase.HOLDING;
        Engine writer = chooseWriter(request, not);
        if (writer != null && send(request, writer, false, 0, 0)) request.phase = Phase.WRITING;
        else if (request.phase == Phase.HOLDING) wait(request);
    }

    private Engine chooseWriter(Request request, Engine not) {
        double average = reportedAverage();
        List<Engine> able = able(request, not, e -> e.role != Role.READ);
        int near = able.isEmpty() ? 0 : nearCell(request.holder, able);
        return least(able, e -> load(e, request, average) + distance(request.holder, e, near),
                random.nextLong());
    }

    /** The cell that counts as near: the reader's own, or where that has few writers so often another that
     * all writers get as much. Guards against nodes that never see them full; harms where cells differ. */
    private int nearCell(Engine holder, List<Engine> able) {
        if (holder == null) return -1;
        List<Engine> readers = peers(holder);
        int own = holder.member.cell();
        if (random.nextDouble() * share(own, readers) >= -spare(own, able, readers)) return own;
        // A race of exponential times: each cell wins as often as its spare share says.
        return least(able, e -> -Math.log(random.nextDouble()) * share(e.member.cell(), able)
                / Math.max(0, spare(e.member.cell(), able, readers)), 0).member.cell();
    }

    private static double spare(int cell, List<Engine> writers, List<Engine> readers) {
        return share(cell, writers) - share(cell, readers);
    }

    private static double share(int cell, List<Engine> among) {
        return among.stream().filter(e -> e.member.cell() == cell).count() / Math.max(1.0, among.size());
    }

    /** Own streams, each as its prompt and the stand-in for its output, this one, and the last report. */
    private double projectedShare(Engine engine, Request request, double average) {
        double memory = Math.max(1, settings.kinds().get(engine.member.kind()).memoryTokens());
        double own = (engine.projected + request.asked.promptTokens() + request.standIn) / memory;
        return own * relativeStream(engine) + (Double.isNaN(engine.reported) ? average : engine.reported);
    }

    private static double distance(Engine from, Engine to, int near) {
        if (from == null || to.member.cell() == near) return 0;
        return from.member.zone() == to.member.zone() ? FAR_CELL : FAR_ZONE;
    }

    // ---- Health: outlier detection against peers of the role ----

    private void judge(Attempt attempt, Ended ended) {
        Engine engine = attempt.engine;
        if (!Double.isNaN(ended.load().memoryShare())) engine.reported = ended.load().memoryShare();
        switch (ended.outcome()) {
            case READ -> {
                attempt.answered = true;
                // What was really read: other nodes' prompts decide what is kept.
                double read = Math.max(0, attempt.request.asked.promptTokens() - sane(ended.kept()));
                attempt.cost += read - attempt.uncached;
                observePace(attempt, ended.spentMs());
                good(engine);
                if (ended.kept() < KEPT_SHARE * attempt.matched) {
                    // A cache that was flushed or is too small: what else we think is there is doubtful too.
                    drop(attempt.request, engine);
                    learn(attempt.request, engine);
                }
            }
            case SERVED -> {
                good(engine);
                double seen = (now - attempt.request.firstMs) / attempt.request.standIn;
                if (attempt.request.standIn >= 1 && seen >= 0) engine.stream.add(seen);
            }
            case FULL -> {
                engine.fullUntil = now + FULL_MS;
                (attempt.read ? reads : firstTokens).add(attempt.request.kind.aimMs());
            }
            case ERROR, RESET, UNREACHABLE, TIMEOUT -> bad(engine, attempt);
        }
    }

    private void observePace(Attempt attempt, double spentMs) {
        if (!(spentMs > 0 && spentMs < SANE) || !(attempt.cost > 0)) return;
        Engine engine = attempt.engine;
        engine.answeredSentMs = Math.max(engine.answeredSentMs, attempt.sentMs);
        if (attempt.read) {
            calmPace = Math.min(spentMs / attempt.cost, calmPace * CALM_DRIFT);
            reads.add(Math.min(spentMs - calmPace * attempt.cost, attempt.request.kind.aimMs()));
        }
        engine.pace.add(spentMs / attempt.cost);
        engine.typicalMs.add(spentMs);
        // So slow that aims are at stake: a queue alone does not eject.
        double floor = HURTING * settings.classes().stream().mapToDouble(RequestClass::aimMs).min().orElse(0);
        boolean slow = relativePace(engine) > SLOW_OUTLIER && engine.typicalMs.mean > floor;
        if (slow && !cold(engine)) eject(engine, "slow"); // a newcomer is slow by nature, and has its limit
    }

    /** How slowly an engine streams against its peers, running streams counted; 1 if unknown. */
    private double relativeStream(Engine engine) {
        double usual = usual(engine).stream;
        double running = engine.out.stream().filter(a -> a.begun && a.request.standIn >= 1)
                .mapToDouble(a -> (now - a.request.firstMs) / a.request.standIn).average().orElse(0);
        double begun = usual > 0 ? running / usual : 0;
        return Math.max(MIN_RELATIVE, Math.max(begun, relative(engine.stream, usual)));
    }

    /** An engine's pace against the median of its peers; 1 while too little is known. */
    private double relativePace(Engine engine) {
        return relative(engine.pace, usual(engine).pace);
    }

    /** Few samples count against one usual one, and not at all while they are unremarkable. */
    private static double relative(Evidence seen, double usual) {
        double weight = seen.weight();
        double relative = usual > 0 ? (weight * seen.mean / usual + 1) / (weight + 1) : 1;
        return weight < ENOUGH && relative < REMARKABLE ? 1 : relative;
    }

    private Usual usual(Engine engine) {
        if (usual.isEmpty()) usualUntil = now + USUAL_MS;
        return usual.computeIfAbsent(engine.role, role -> {
            List<Engine> peers = peers(engine);
            double rate = peers.stream().filter(e -> !cold(e)).mapToDouble(this::rateOf).average().orElse(0);
            return new Usual(median(peers, e -> e.pace), median(peers, e -> e.typicalMs),
                    median(peers, e -> e.stream), median(peers, e -> e.failures), rate);
        });
    }

    private static double median(List<Engine> among, Function<Engine, Evidence> of) {
        double[] values = among.stream().map(of).mapToDouble(v -> v.orElse(SOME, Double.NaN))
                .filter(v -> v >= 0).sorted().toArray();
        return values.length == 0 ? Double.NaN : values[(values.length - 1) / 2];
    }

    private List<Engine> peers(Engine engine) {
        return engines.values().stream().filter(e -> e.ready && e.role == engine.role).toList();
    }

    private void good(Engine engine) {
        engine.heardMs = now;
        engine.failures.add(0);
        if (!engine.ejected || now < engine.ejectedUntil || ++engine.goodTrials < HALF_OPEN_STEPS) return;
        engine.ejected = false;
        engine.ejections = 0;
    }

    private void bad(Engine engine, Attempt attempt) {
        // Silence says less of an engine that we seldom hear anyway.
        engine.failures.add(attempt.ended || engine.failures.weight() >= ENOUGH ? 1 : SILENCE);
        if (attempt.read) drop(attempt.request, engine);
        double weight = engine.failures.weight();
        double rate = engine.failures.mean * weight / (weight + 1);
        if (rate > FAIL_LIMIT && !(rate <= OUTLIER * usual(engine).failures)) eject(engine, "failing");
    }

    private void eject(Engine engine, String why) {
        if (engine.ejected && now < engine.ejectedUntil || !engine.ready) return;
        List<Engine> peers = peers(engine);
        if (peers.stream().filter(e -> e.ejected || e == engine).count() > EJECT_SHARE * peers.size()) return;
        engine.ejected = true;
        double least = Math.max(EJECT_MS * (1 << Math.min(engine.ejections, 10)), 1 / usual(engine).warmRate);
        engine.ejectedUntil = now + Math.min(EJECT_MAX_MS, least);
        engine.ejections++;
        engine.goodTrials = 0;
        engine.pace.weight = 1;
        engine.failures.weight = 0;
        actions.add(new Log("ejected " + Long.toHexString(engine.id) + ": " + why));
    }

    /** Full: not now. Closed: yes. Ejected: no. Half-open: as many out as its good trials allow. */
    private boolean admits(Engine engine, Request request) {
        if (now < engine.fullUntil || !engine.ejected) return now >= engine.fullUntil;
        // Guards against a trial with work that could not be sent again; where no other comes, it has to do.
        boolean costly = request.kind.repeat() == Repeat.UNSAFE && engine.role != Role.READ;
        return now >= engine.ejectedUntil + (costly ? EJECT_MAX_MS : 0)
                && engine.out.size() < 1 << engine.goodTrials;
    }

    // ---- Guards: every send passes here ----

    /** Engines of a role that may be sent to; healthy ones, and others than the last, if there are any. */
    private List<Engine> able(Request request, Engine not, Predicate<Engine> role) {
        List<Engine> open = engines.values().stream()
                .filter(e -> e.ready && role.test(e) && coldRoom(e) && repeatAllowed(request, e)).toList();
        List<Engine> others = open.stream().filter(e -> e != not).toList();
        List<Engine> healthy = others.stream().filter(e -> admits(e, request)).toList();
        List<Engine> fresh = healthy.stream().filter(e -> !tried(request, e)).toList();
        return !fresh.isEmpty() ? fresh : !healthy.isEmpty() ? healthy : others.isEmpty() ? open : others;
    }

    /** Guards against going back to an engine that loses what is sent to it, in turns with another such. */
    private boolean tried(Request request, Engine engine) {
        return request.attempts.stream().anyMatch(a -> a.engine == engine && !a.answered);
    }

    private boolean send(Request request, Engine engine, boolean read, double uncached, double matched) {
        if (request.attempts.size() >= request.limits.maxAttempts() || request.phase == Phase.DONE
                || request.out > 0 && !request.limits.secondCopies()) {
            giveUp(request);
            return false;
        }
        count(engine, 1);
        if (cold(engine)) engine.coldBucket -= 1;
        Attempt attempt = new Attempt(request, engine, read, now);
        attempt.cost = read ? engine.queued + uncached + READ_OVERHEAD : 1;
        attempt.uncached = uncached;
        attempt.matched = matched;
        request.attempts.add(attempt);
        request.out++;
        engine.out.add(attempt);
        engine.queued += uncached;
        if (!read) engine.projected += request.asked.promptTokens() + request.standIn;
        // An attempt at a pure reader has no effect, however it ends.
        if (engine.role != Role.READ && request.mayHaveRun == null) request.mayHaveRun = attempt;
        actions.add(new Send(request.asked.id(), engine.id, request.deadlineMs));
        setTimer(request.asked.id(), attempt.number, Alarm.OVERDUE, now + patience(attempt));
        return true;
    }

    /** Unsafe work that may have run, or keyed work of which the repeats are no longer dropped. */
    private boolean unrepeatable(Request request) {
        Attempt first = request.mayHaveRun;
        if (first == null || request.kind.repeat() == Repeat.PURE) return false;
        return request.kind.repeat() == Repeat.UNSAFE || now >= first.sentMs + request.kind.keyTtlMs();
    }

    /** Unsafe work that may have run goes nowhere; keyed work that may, or is out, where it is dropped. */
    private boolean repeatAllowed(Request request, Engine engine) {
        RequestClass kind = request.kind;
        if (kind.repeat() != Repeat.KEYED) return engine.role == Role.READ || !unrepeatable(request);
        return request.attempts.stream().allMatch(a -> a.ended && a != request.mayHaveRun
                || now < a.sentMs + kind.keyTtlMs() && grouped(kind.scope(), a.engine.member, engine.member));
    }

    private static boolean grouped(Scope scope, Member a, Member b) {
        return scope == Scope.ALL || (scope == Scope.ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
    }

    private boolean cold(Engine engine) {
        double startedMs = engine.member.startedMs();
        return startedMs > 0 && now < startedMs + settings.rules().warmAfterMs();
    }

    /** Our share of what a cold engine can do, judged by what its warm peers get from us on average; it grows
     * evenly until it is warm. Guards against few warm peers that drown while newcomers have room. */
    private boolean coldRoom(Engine engine) {
        if (!cold(engine)) return true;
        double least = settings.rules().startCapacity();
        double grown = (now - engine.member.startedMs()) / settings.rules().warmAfterMs();
        double perMs = Math.max(1.0 / (1000 * settings.routers()), usual(engine).warmRate)
                * (least + (1 - least) * Math.max(0, grown)) * COLD_LOAD;
        engine.coldBucket = Math.min(1, engine.coldBucket + (now - engine.coldAt) * perMs);
        engine.coldAt = now;
        return engine.coldBucket >= 1;
    }

    private void count(Engine engine, double sends) {
        engine.sendRate = Math.max(0, rateOf(engine) + sends / RATE_MS);
        engine.rateAt = now;
    }

    private double rateOf(Engine engine) {
        return engine.sendRate * Math.exp((engine.rateAt - now) / RATE_MS);
    }

    // ---- Attempts: waiting, overdue, failed ----

    /** How long an attempt may be out: some times what its peers take, or what its own engine took lately. */
    private double patience(Attempt attempt) {
        double pace = usual(attempt.engine).pace;
        double expected = Math.max(Double.isNaN(pace) ? 0 : pace * attempt.cost, waitMs(attempt.engine));
        // What we only assume to be kept there may have to be read.
        boolean assumed = pace > 0 && attempt.request.homes.contains(attempt.engine);
        double whole = assumed ? pace * attempt.request.asked.promptTokens() / 2 : 0;
        return Math.max(OVERDUE_SHARE * attempt.request.kind.aimMs(), OVERDUE * Math.max(expected, whole));
    }

    /** Silence, or a known outlier: an attempt is out far longer than peers take. Try elsewhere. */
    private void overdue(Request request, int number) {
        Attempt attempt = number < request.attempts.size() ? request.attempts.get(number) : null;
        if (attempt == null || attempt.ended || attempt.cancelled || request.phase == Phase.DONE
                || request.phase == Phase.STREAMING
                || request.attempts.size() >= request.limits.maxAttempts() - 1) {
            return;
        }
        // Retries are rationed against storms, but an answer that is lost comes from no lack of capacity.
        boolean lost = attempt.overtaken();
        if (retryTokens < 1 && !lost) {
            setTimer(request.asked.id(), number, Alarm.OVERDUE, now + patience(attempt));
            return;
        }
        boolean unsafe = request.kind.repeat() == Repeat.UNSAFE;
        if (unsafe && attempt == request.mayHaveRun) {
            // It may have begun to answer and can go nowhere else: calling it off in time could only lose it.
            attempt.late = true;
            boolean early = now < request.aimMs;
            if (early && !attempt.read) setTimer(request.asked.id(), number, Alarm.OVERDUE, request.aimMs);
            if (early || attempt.read) return;
        }
        // Where the whole role is behind, a copy only adds to it.
        double behind = pooled(attempt.read ? reads : firstTokens);
        if (!lost && unmet(attempt.engine) && behind > BEHIND * request.kind.aimMs()) return;
        boolean silent = attempt.engine.heardMs < attempt.sentMs;
        if (!silent && !lost && !attempt.excused && relativePace(attempt.engine) < OUTLIER) {
            // Others were answered: a queue, or an answer that was lost. The second time it counts as lost.
            attempt.excused = true;
            setTimer(request.asked.id(), number, Alarm.OVERDUE, 2 * now - attempt.sentMs);
            return;
        }
        // A full writer's queue is quiet too: only silence as long as an aim counts against the engine.
        if (silent && now - attempt.engine.heardMs > request.kind.aimMs()) bad(attempt.engine, attempt);
        retryTokens = Math.max(0, retryTokens - 1);
        // Guards against a second send that nothing drops while the first is out, a read's too: call it off.
        boolean copy = attempt.read && request.limits.secondCopies() && !unsafe;
        if (copy && repeatAllowed(request, attempt.engine)) read(request, attempt.engine);
        else request.attempts.forEach(this::cancel);
    }

    private void cancel(Attempt attempt) {
        if (!attempt.ended && !attempt.cancelled && attempt.request.limits.cancel()) {
            attempt.cancelled = true;
            actions.add(new Cancel(attempt.request.asked.id(), attempt.number));
        }
    }

    private void onFailure(Request request, Attempt attempt, Outcome outcome) {
        if (outcome.neverRan && request.mayHaveRun == attempt) request.mayHaveRun = null;
        if (request.phase == Phase.STREAMING || request.out > 0) return;
        if (outcome == Outcome.STATE_GONE) request.holder = null;
        // Guards against holding back an answer, and a state that no engine may take any more: what may have
        // had its effect can be neither repeated nor taken elsewhere.
        boolean spent = request.attempts.size() >= request.limits.maxAttempts() || unrepeatable(request);
        if (spent || lastMoment(request) <= now) giveUp(request);
        // Guards against work that overtakes, on its way, the end of the read called off before it.
        else if (outcome == Outcome.CANCELLED && attempt.read && request.kind.repeat() != Repeat.PURE)
            wait(request);
        else if (request.holder != null) write(request, attempt.engine);
        else read(request, attempt.engine);
    }

    /** No engine can be sent to now: look again soon, within what the pin rule allows. */
    private void wait(Request request) {
        double pin = request.heldMs + settings.rules().pinLimitMs() - margin();
        if (request.held) setTimer(request.asked.id(), request.attempts.size(), Alarm.PINNED, pin);
        setTimer(request.asked.id(), 0, Alarm.LOOK, now + LOOK_MS);
    }

    private void look(Request request) {
        if (request.out > 0) return;
        if (now > Math.max(request.aimMs, request.heldMs + 2 * LOOK_MS)) giveUp(request);
        if (request.phase == Phase.HOLDING) write(request, null);
        if (request.phase == Phase.READING) read(request, null);
    }

    /** The state has waited as long as the rule allows: let it go and end the request. */
    private void pinned(Request request) {
        boolean waits = request.held && request.out == 0;
        if (waits && now >= request.heldMs + settings.rules().pinLimitMs() - margin()) giveUp(request);
    }

    private double margin() {
        return MARGIN_TICKS * settings.tickMs() + MARGIN_MS;
    }

    private double lastMoment(Request request) {
        return request.deadlineMs - margin();
    }

    // ---- Admission: load shedding by worth ----

    /** Work gives way when its first token is expected near its own aim, or near that of work worth more.
     * Guards against every lasting lack of capacity; could harm where a short burst would have passed. */
    private boolean overloaded(Request request, Engine reader) {
        // The rest of a stream that broke is let in: refused, what was served of it would be lost too.
        if (reader == null || request.asked.resumed()) return false;
        double[] waits = able(request, null, e -> e.role != Role.READ).stream().mapToDouble(this::lately)
                .sorted().toArray();
        double median = waits.length == 0 ? 0 : waits[(waits.length - 1) / 2];
        double own = Math.max(readMs(reader, reader.queued), oldestMs(reader));
        double all = unmet(reader) ? pooled(reads) : 0;
        double queue = Math.max(own, all) + Math.max(median, pooled(firstTokens));
        double limit = Math.min(request.aimMs, lastMoment(request)) - now;
        // A long prompt takes its time without a queue: what it needs itself is no overload.
        double whole = queue + (calmPace < SANE ? calmPace * needed(request, reader) : 0);
        if (queue > QUEUED * limit && whole > ADMIT * limit) return true;
        for (RequestClass other : settings.classes()) {
            if (other.worth() > request.worth) limit = Math.min(limit, other.aimMs());
        }
        return queue > ADMIT * limit;
    }

    /** Met so seldom, the more so the more nodes, that its waits say little: its role's stand in. */
    private boolean unmet(Engine engine) {
        return usual(engine).warmRate * WAIT_MS < Math.min(ENOUGH, Math.max(1, settings.routers() / 4.0));
    }

    private double pooled(Evidence waits) {
        return waits.mean * Math.exp((waits.atMs - now) / POOL_MS);
    }

    /** A bucket for each tenant, filled at this node's part of its share; empty means over it. */
    private boolean overShare(int tenant) {
        double perSecond = settings.tenants().get(tenant).quotaPerSecond();
        double perMs = perSecond / 1000 / Math.max(1, settings.routers());
        if (!(perMs > 0)) return false;
        double burst = Math.max(1, SHARE_MS * perMs);
        double[] bucket = shares.computeIfAbsent(tenant, t -> new double[] {burst, now});
        double left = Math.min(burst, bucket[0] + (now - bucket[1]) * perMs) - 1;
        bucket[0] = Math.max(0, left);
        bucket[1] = now;
        return left < 0;
    }

    /** What an engine makes us wait: its recent times, or the age of what still waits there. */
    private double waitMs(Engine engine) {
        double usual = usual(engine).waitMs > 0 ? usual(engine).waitMs : 0;
        // Remembered for longer than the gap between two samples, however many engines share our work.
        double fadeMs = Math.max(WAIT_MS, Math.min(MEMORY_MS, 1 / usual(engine).warmRate));
        double excess = usual * (relative(engine.typicalMs, usual) - 1);
        double seen = usual + excess * Math.exp((engine.heardMs - now) / fadeMs);
        return Math.max(oldestMs(engine), seen);
    }

    /** A jam is believed no longer than it is seen: admission, once shut, would get no news to open on. */
    private double lately(Engine engine) {
        return Math.max(oldestMs(engine), waitMs(engine) * Math.exp((engine.heardMs - now) / POOL_MS));
    }

    /** Guards against a lost answer that would pass for a queue and shut admission for a deadline. */
    private double oldestMs(Engine engine) {
        return engine.out.stream().filter(a -> !a.begun && !a.cancelled && !a.late && !a.overtaken())
                .findFirst().map(a -> now - a.sentMs).orElse(0.0);
    }

    // ---- End of request ----

    /** Ends a request unserved, at once; refused if a retry is harmless, to come later, not all at once. */
    private void giveUp(Request request) {
        if (request.phase == Phase.DONE || request.phase == Phase.STREAMING) return;
        boolean unsure = request.mayHaveRun != null || request.out > 0; // a read that is out has no proof yet
        boolean harmless = !unsure || request.kind.repeat() == Repeat.PURE
                || request.kind.repeat() == Repeat.KEYED && request.kind.scope() == Scope.ALL;
        double most = Math.min(settings.limits().maxRetryAfterMs(), WAIT_MS);
        double later = settings.limits().retryAfter() ? most * (1 - random.nextDouble() / 2) : 0;
        actions.add(harmless ? new Refuse(request.asked.id(), later) : new Fail(request.asked.id()));
        request.attempts.forEach(this::cancel);
        close(request);
    }

    private void close(Request request) {
        if (request == null || request.phase == Phase.DONE) return;
        request.phase = Phase.DONE;
        cleanUp(request);
    }

    /** A release passes over what an attempt still waits for, so each that ends later brings another. */
    private void cleanUp(Request request) {
        if (request.held) actions.add(new Release(request.asked.id()));
        if (request.out == 0) requests.remove(request.asked.id());
    }

    private void account(Attempt attempt, Ended ended) {
        Request request = attempt.request;
        Engine engine = attempt.engine;
        engine.out.remove(attempt);
        // What was turned away is no measure of what a warm engine can carry.
        if (ended.outcome().neverRan && ended.outcome() != Outcome.READ) count(engine, -1);
        engine.queued = Math.max(0, engine.queued - attempt.uncached);
        double tokens = attempt.read ? 0 : request.asked.promptTokens() + request.standIn;
        engine.projected = Math.max(0, engine.projected - tokens);
        if (ended.outcome() != Outcome.SERVED) return;
        request.attempts.stream().filter(a -> a.read).reduce((a, b) -> b)
                .ifPresent(a -> charge(a.engine, request.client, OUTPUT_WEIGHT * request.standIn));
    }

    @Override
    public int avoided() {
        return (int) engines.values().stream().filter(e -> e.ready && e.ejected).count();
    }

    @Override
    public List<Held> learned() {
        List<Held> to = new ArrayList<>();
        sessions.forEach((k, v) -> v.forEach(h -> to.add(new Held(true, k, h.engine.id, h.tokens, h.atMs))));
        prefixes.forEach((k, v) -> v.forEach(h -> to.add(new Held(false, k, h.engine.id, h.tokens, h.atMs))));
        return to;
    }

    /** Entries in the tables, for watching that they stay bounded. */
    int held() {
        return requests.size() + sessions.size() + prefixes.size() + heat.size() + engines.size();
    }

    /** The engine of the lowest value; equals by the key's rendezvous hash, so that nodes don't herd. */
    private static Engine least(Collection<Engine> among, ToDoubleFunction<Engine> by, long key) {
        Engine best = null;
        double lowest = Double.POSITIVE_INFINITY;
        for (Engine engine : among) {
            double value = by.applyAsDouble(engine);
            if (best == null || value < lowest
                    || value == lowest && mix(key ^ mix(engine.id)) < mix(key ^ mix(best.id))) {
                best = engine;
                lowest = value;
            }
        }
        return best;
    }
}
