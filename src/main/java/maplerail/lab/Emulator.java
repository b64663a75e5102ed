package maplerail.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import maplerail.config.ConfigException;
import maplerail.config.EngineIds;
import maplerail.config.SettingsReader;
import maplerail.core.RequestPayload;
import maplerail.fleet.EndpointView;
import maplerail.fleet.Membership;
import maplerail.fleet.OutlierConsensus;
import maplerail.fleet.ReaderPaceGossip;
import maplerail.lab.Ledger.End;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.LoadReport;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingPolicy;
import maplerail.routing.RoutingSettings;
import maplerail.routing.d2lpm.D2lpmPolicy;

/**
 * A discrete-event model of an experiment in virtual time: every gateway runs the real decision module ({@link D2lpmPolicy}), the
 * real {@link ReaderPaceGossip} and {@link Membership}; engines, links, clients and discovery are models of what PROTOCOL says of
 * them. One thread; the same file gives the same result. It reaches sizes that sockets don't (1,000 gateways over 1,000
 * engines), and leaves out what sockets cost: a gateway's processor time, connections, descriptors.
 *
 * <p>Modelled: a reader takes {@code slots} prompts at once, queues some, and turns the rest away; it keeps what it read.
 * A writer streams from a state that a reader holds. A cut link is silent: what is on its way comes when it heals, what is
 * new comes up nowhere within 250 ms where no connection was kept. A gateway that is killed loses what it had.
 */
public final class Emulator {
    private static final double NEAR_MS = 0.2; // one way, in a zone
    private static final double FAR_MS = 2; // between zones (BRIEF: 1.4 to 2.6)
    private static final double PEER_LEAST_MS = 1; // a datagram's way (BRIEF: 1 to 39)
    private static final double PEER_SPREAD_MS = 38;
    private static final double CONNECT_MS = 250;
    private static final double KEPT_MS = 15_000; // that a connection is kept after its last use
    private static final double STALL_MS = RequestPayload.DEFAULT_STALL_TIMEOUT_MS;
    private static final double AGAIN_MS = 50; // between looks whether a link has healed; least wait of a client
    private static final double TOLD_MS = 100; // that discovery's news take
    private static final double TAIL_MS = 30_000; // after the load's end, for what is open
    private static final int EVENT_TOKENS = 8;
    private static final int MOST_KEPT = 4_096;
    private static final int MOST_EXCHANGE = 200; // gateways: past that, datagrams to all are left out
    private static final Set<String> LEFT_OUT = Set.of("reset", "drop", "slow_link", "stop", "term", "discovery_cut");

    private record Due(double at, long number, Runnable task) {}

    private final Experiment experiment;
    private final SplittableRandom random;
    private final Ledger ledger = new Ledger();
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final List<Box> boxes = new ArrayList<>();
    private final Map<Long, Box> byId = new HashMap<>();
    private final Gate[] gates;
    private final Map<Integer, List<Integer>> byZone = new HashMap<>();
    private final Map<String, Long> faults = new TreeMap<>();
    private final Set<Integer> cutZones = new HashSet<>();
    private final Set<Integer> cutPeers = new HashSet<>();
    private final Set<Long> cutBoxes = new HashSet<>();
    private boolean outliersOn = true;
    private double peerLoss;
    private double delayMs;
    private double now;
    private long number;
    private long events;
    private int turn;

    /** For an experiment; one with a fault that is not modelled is refused by its key. */
    public Emulator(Experiment experiment) {
        this.experiment = experiment;
        random = new SplittableRandom(experiment.seed() * 7_919);
        for (Experiment.FaultSpec fault : experiment.faults()) {
            if (LEFT_OUT.contains(fault.kind()))
                throw new ConfigException(experiment.name() + ".faults: '" + fault.kind() + "' is not emulated");
        }
        for (Experiment.EngineSpec spec : experiment.engines()) {
            Box box = new Box(spec);
            boxes.add(box);
            byId.put(box.id, box);
        }
        gates = new Gate[experiment.gateways().size()];
        for (int g = 0; g < gates.length; g++)
            byZone.computeIfAbsent(experiment.gateways().get(g), z -> new ArrayList<>())
                    .add(g);
    }

    /** Without outlier detection in common: what each gateway does alone, to be set beside it. */
    public Emulator alone() {
        outliersOn = false;
        return this;
    }

    /** Plays it to its end. */
    public Ledger run() {
        ledger.begin(() -> now);
        for (int g = 0; g < gates.length; g++) gates[g] = new Gate(g);
        for (Load.Plan plan : Load.plan(experiment)) at(plan.dueMs(), () -> arrive(plan));
        for (Play.Step step : Play.steps(experiment)) at(step.atMs(), () -> change(step));
        double end = 1_000 * experiment.seconds() + TAIL_MS;
        while (!queue.isEmpty() && queue.peek().at <= end) {
            Due due = queue.poll();
            now = Math.max(now, due.at);
            events++;
            due.task.run();
        }
        return ledger;
    }

    /** What faults took, by name. */
    public Map<String, Long> faults() {
        return faults;
    }

    /** Events of the model so far. */
    public long events() {
        return events;
    }

    /** The gateways that a gateway holds to be there. */
    public int alive(int g) {
        return gates[g].membership == null ? gates.length : gates[g].membership.aliveCount();
    }

    private void at(double when, Runnable task) {
        queue.add(new Due(Math.max(now, when), number++, task));
    }

    private void count(String fault) {
        faults.merge(fault, 1L, Long::sum);
    }

    // ---- Engines ----

    private final class Box {
        final Experiment.EngineSpec spec;
        final long id;
        final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
        final Map<String, Double> kept = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
                return size() > MOST_KEPT;
            }
        };
        EndpointState told = EndpointState.READY;
        double slow = 1;
        boolean failing;
        int running;

        Box(Experiment.EngineSpec spec) {
            this.spec = spec;
            id = EngineIds.of(spec.name());
        }

        Endpoint member() {
            return new Endpoint(
                    id, told, 0, spec.zone(), spec.zone(), 1, spec.model().writes() ? 1 : 0);
        }

        void arrive(Attempt attempt) {
            LabEngine.Model model = spec.model();
            Try one = attempt.request;
            if (model.writes() && !one.held) {
                back(attempt, AttemptOutcome.STATE_LOST, 0);
            } else if (running >= model.slots() && waiting.size() >= model.queue()) {
                back(attempt, AttemptOutcome.OVERLOADED, 0);
            } else {
                ledger.reached(one.id, model.writes(), one.again, spec.name(), spec.zone());
                if (failing) back(attempt, AttemptOutcome.ERROR, 0);
                else if (running < model.slots()) begin(attempt);
                else waiting.add(attempt);
            }
        }

        private void begin(Attempt attempt) {
            running++;
            if (spec.model().writes()) write(attempt);
            else read(attempt);
        }

        private void read(Attempt attempt) {
            Try one = attempt.request;
            String session = "s" + one.plan.session();
            String prefix = one.plan.prefix() < 0 ? null : "p" + one.plan.prefix();
            double begun = prefix == null ? 0 : kept.getOrDefault(prefix, 0.0);
            double found = Math.min(one.plan.prompt(), Math.max(kept.getOrDefault(session, 0.0), begun));
            double ms = slow
                    * (spec.model().overheadMs()
                            + (one.plan.prompt() - found) / spec.model().tokensPerMs());
            at(now + ms, () -> {
                kept.put(session, one.plan.prompt());
                if (prefix != null) kept.put(prefix, experiment.load().prefixTokens());
                // A request that is over by then has nobody who would let go of it: the broker's releases do, soon
                // after.
                if (!one.over) one.held = true;
                back(attempt, AttemptOutcome.PROMPT_READ, found);
                done();
            });
        }

        private void write(Attempt attempt) {
            Try one = attempt.request;
            one.held = false;
            double perToken = slow * spec.model().msPerToken();
            double first = slow * spec.model().overheadMs() + perToken * Math.min(EVENT_TOKENS, one.tokens);
            at(now + first, () -> {
                if (attempt.ended) {
                    done();
                    return;
                }
                come(attempt, () -> attempt.gate.first(attempt));
                at(now + perToken * Math.max(0, one.tokens - EVENT_TOKENS), () -> {
                    back(attempt, AttemptOutcome.COMPLETED, 0);
                    done();
                });
            });
        }

        private void done() {
            running--;
            while (!waiting.isEmpty() && running < spec.model().slots()) {
                Attempt next = waiting.poll();
                if (!next.ended || !spec.model().writes()) begin(next); // what was called off is read all the same
            }
        }

        private void back(Attempt attempt, AttemptOutcome outcome, double found) {
            come(attempt, () -> attempt.gate.ended(attempt, outcome, found));
        }

        /** What goes back waits while the link is cut: the connection stays open. */
        private void come(Attempt attempt, Runnable task) {
            if (attempt.ended || !attempt.gate.up) return;
            if (cut(attempt.gate, this)) {
                count("silent");
                at(now + AGAIN_MS, () -> come(attempt, task));
            } else {
                at(now + way(attempt.gate, this), () -> {
                    if (!attempt.ended && attempt.gate.up) task.run();
                });
            }
        }
    }

    private boolean cut(Gate gate, Box box) {
        if (cutBoxes.contains(box.id)) return true;
        return gate.zone != box.spec.zone() && (cutZones.contains(gate.zone) || cutZones.contains(box.spec.zone()));
    }

    private double way(Gate gate, Box box) {
        return delayMs + (gate.zone == box.spec.zone() ? NEAR_MS : FAR_MS);
    }

    // ---- Gateways ----

    /** One try of a client, at one gateway. */
    private static final class Try {
        final Load.Plan plan;
        final Ledger.Page page;
        final String id;
        final int turn;
        final int tokens;
        final boolean again;
        final List<Attempt> attempts = new ArrayList<>();
        Attempt winner;
        double deadlineMs;
        boolean held;
        boolean over;

        Try(Load.Plan plan, Ledger.Page page, int turn, int tokens, boolean again) {
            this.plan = plan;
            this.page = page;
            this.turn = turn;
            this.tokens = tokens;
            this.again = again;
            id = plan.id() + (turn == 0 ? "" : "." + turn);
        }
    }

    private static final class Attempt {
        final Gate gate;
        final Try request;
        final long key;
        final int number;
        final Box box;
        final double sentMs;
        boolean ended;

        Attempt(Gate gate, Try request, long key, Box box, double sentMs) {
            this.gate = gate;
            this.request = request;
            this.key = key;
            this.number = request.attempts.size();
            this.box = box;
            this.sentMs = sentMs;
        }
    }

    private final class Gate {
        final int rank;
        final int zone;
        final RoutingSettings settings;
        final RoutingPolicy module;
        final ReaderPaceGossip exchange;
        final Membership membership;
        final OutlierConsensus outliers;
        final EndpointView view = new EndpointView();
        final Map<Long, Try> open = new LinkedHashMap<>();
        final Map<Long, Double> used = new HashMap<>();
        boolean up = true;
        private long next = 1;
        private int live;

        Gate(int rank) {
            this.rank = rank;
            zone = experiment.gateways().get(rank);
            settings = SettingsReader.read(random.nextLong(), Rig.settings(experiment, rank))
                    .settings();
            module = new D2lpmPolicy(settings);
            live = gates.length;
            tell(view.apply(new RoutingEvent.EndpointUpdate(
                    EndpointUpdateKind.SNAPSHOT,
                    1,
                    boxes.stream().map(Box::member).toList())));
            boolean peers = gates.length > 1;
            membership = peers ? new Membership(rank, gates.length, now + 1, random.nextLong()) : null;
            exchange =
                    peers && gates.length <= MOST_EXCHANGE ? new ReaderPaceGossip(rank, gates.length, now + 1) : null;
            if (membership != null) at(membership.nextTickMs(), this::probe);
            outliers = peers && outliersOn ? new OutlierConsensus(rank, gates.length, now + 1) : null;
            if (outliers != null) {
                outliers.setEngines(view.kindsByEngine());
                at(now + OutlierConsensus.PERIOD_MS * random.nextDouble(), this::compare);
            }
            if (exchange == null) return;
            exchange.setReaders(boxes.stream()
                    .filter(b -> !b.spec.model().writes())
                    .map(b -> b.id)
                    .toList());
            at(now + exchange.delayMs(random.nextDouble()), this::say);
        }

        void tell(RoutingEvent event) {
            for (RoutingAction action : module.step(now, List.of(event))) perform(action);
        }

        private void perform(RoutingAction action) {
            if (action instanceof RoutingAction.StartAttempt send) send(send);
            else if (action instanceof RoutingAction.CancelAttempt cancel) cancel(cancel);
            else if (action instanceof RoutingAction.RejectRequest refuse)
                end(refuse.requestId(), End.REFUSED, refuse.retryAfterMs());
            else if (action instanceof RoutingAction.FailRequest fail) end(fail.requestId(), End.FAILED, 0);
            else if (action instanceof RoutingAction.SetTimer timer) {
                at(timer.atMs(), () -> {
                    if (up) tell(new RoutingEvent.TimerFired(timer.token()));
                });
            } else if (action instanceof RoutingAction.ReleaseState release) {
                Try one = open.get(release.requestId());
                if (one != null) one.held = false;
            }
        }

        void take(Try one) {
            long key = next++;
            open.put(key, one);
            one.deadlineMs = now + Load.DEADLINE_MS[one.plan.kind()];
            double shared = one.plan.prefix() < 0 ? 0 : experiment.load().prefixTokens();
            tell(new RoutingEvent.RequestArrived(
                    key,
                    one.plan.kind(),
                    0,
                    EngineIds.key(one.plan.session()),
                    one.plan.prompt(),
                    one.plan.prefix() < 0 ? 0 : 0xa000 + one.plan.prefix(),
                    shared,
                    Load.DEADLINE_MS[one.plan.kind()],
                    2 * one.plan.tokens(),
                    0,
                    one.again));
            at(one.deadlineMs + AGAIN_MS, () -> {
                if (one.winner == null) end(key, End.TIMED_OUT, 0);
            });
            if (one.plan.giveUpMs() > 0) {
                at(now + one.plan.giveUpMs(), () -> {
                    if (one.winner == null) end(key, End.GAVE_UP, 0);
                });
            }
        }

        private void send(RoutingAction.StartAttempt order) {
            Try one = open.get(order.requestId());
            Box box = byId.get(order.engine());
            if (one == null) return;
            Attempt attempt = new Attempt(this, one, order.requestId(), box, now);
            one.attempts.add(attempt);
            if (one.attempts.size() > settings.limits().maxAttempts() || box.told != EndpointState.READY) {
                at(now, () -> ended(attempt, AttemptOutcome.NOT_SENT, 0));
                return;
            }
            double until = order.deadlineMs() > 0 ? Math.min(order.deadlineMs(), one.deadlineMs) : one.deadlineMs;
            at(until, () -> {
                if (one.winner != attempt) ended(attempt, AttemptOutcome.TIMEOUT, 0);
            });
            boolean kept = now - used.getOrDefault(box.id, -KEPT_MS) < KEPT_MS;
            used.put(box.id, now);
            if (!cut(this, box)) {
                at(now + Emulator.this.way(this, box), () -> {
                    if (!attempt.ended) box.arrive(attempt);
                });
            } else {
                count("silent");
                if (!kept) at(now + CONNECT_MS, () -> ended(attempt, AttemptOutcome.UNREACHABLE, 0));
            }
        }

        private void cancel(RoutingAction.CancelAttempt order) {
            Try one = open.get(order.requestId());
            if (one == null || order.attempt() >= one.attempts.size()) return;
            Attempt attempt = one.attempts.get(order.attempt());
            if (one.winner != attempt) at(now, () -> ended(attempt, AttemptOutcome.CANCELLED, 0));
        }

        void first(Attempt attempt) {
            Try one = attempt.request;
            if (one.winner != null || one.over) {
                ended(attempt, AttemptOutcome.CANCELLED, 0);
                return;
            }
            one.winner = attempt;
            if (Double.isNaN(one.page.firstMs)) one.page.firstMs = now;
            tell(new RoutingEvent.FirstToken(attempt.key, attempt.number, attempt.box.id, now - attempt.sentMs));
        }

        void ended(Attempt attempt, AttemptOutcome outcome, double found) {
            if (attempt.ended || !up) return;
            attempt.ended = true;
            Try one = attempt.request;
            boolean last = one.winner == attempt;
            boolean good = outcome == AttemptOutcome.PROMPT_READ || outcome == AttemptOutcome.COMPLETED;
            if (outliers != null && (good || outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.RESET))
                outliers.recordOutcome(attempt.box.id, good, now);
            if (outcome == AttemptOutcome.PROMPT_READ && exchange != null) {
                exchange.recordRead(attempt.box.id, now - attempt.sentMs, Math.max(0, one.plan.prompt() - found));
            }
            if (last) finish(one, outcome == AttemptOutcome.COMPLETED ? End.SERVED : End.BROKEN, 0);
            tell(new RoutingEvent.AttemptEnded(
                    attempt.key,
                    attempt.number,
                    attempt.box.id,
                    outcome,
                    now - attempt.sentMs,
                    found,
                    one.over,
                    new LoadReport(Double.NaN)));
            if (one.over && one.attempts.stream().allMatch(a -> a.ended)) open.remove(attempt.key);
        }

        /** The final answer, whoever gives it; what is out is called off. */
        private void end(long key, End how, double laterMs) {
            Try one = open.get(key);
            if (one == null || one.over) return;
            finish(one, how, laterMs);
            if (how == End.GAVE_UP || how == End.TIMED_OUT) tell(new RoutingEvent.RequestAbandoned(key));
            for (Attempt attempt : List.copyOf(one.attempts))
                at(now, () -> ended(attempt, AttemptOutcome.CANCELLED, 0));
            if (one.attempts.isEmpty()) open.remove(key);
        }

        void stall(Box box) {
            for (Try one : List.copyOf(open.values())) {
                Attempt stream = one.winner;
                if (stream == null || stream.ended || stream.box != box) continue;
                at(now + STALL_MS, () -> {
                    if (cut(this, box)) ended(stream, AttemptOutcome.RESET, 0);
                });
            }
        }

        void die() {
            up = false;
            for (Try one : List.copyOf(open.values())) {
                one.attempts.forEach(a -> a.ended = true);
                if (!one.over) finish(one, one.winner != null ? End.BROKEN : End.CLOSED, 0);
            }
            open.clear();
        }

        // ---- What gateways tell each other ----

        private void probe() {
            if (!up) return;
            gossip(membership.tick(now));
            at(membership.nextTickMs(), this::probe);
            shift();
        }

        private void compare() {
            if (!up) return;
            outliers.nextDatagram().ifPresent(datagram -> {
                for (Gate other : gates) {
                    if (other == this) continue;
                    way(other, () -> {
                        if (other.up) other.outliers.receive(rank, datagram, datagram.length, now);
                    });
                }
            });
            view.setEjected(outliers.updateEjections(now, g -> membership.state(g) == Membership.State.ALIVE))
                    .ifPresent(this::tell);
            at(now + OutlierConsensus.PERIOD_MS, this::compare);
        }

        private void say() {
            if (!up) return;
            exchange.nextDatagram().ifPresent(datagram -> {
                for (Gate other : gates) if (other != this) way(other, () -> other.heard(this, datagram));
            });
            at(now + exchange.delayMs(random.nextDouble()), this::say);
        }

        private void gossip(List<Membership.OutgoingDatagram> out) {
            for (Membership.OutgoingDatagram one : out) {
                ledger.count("gossip");
                int to = one.recipient();
                way(gates[to], () -> gates[to].gossiped(rank, one.bytes()));
            }
        }

        private void way(Gate to, Runnable task) {
            boolean apart = cutPeers.contains(rank) != cutPeers.contains(to.rank)
                    || zone != to.zone && (cutZones.contains(zone) || cutZones.contains(to.zone));
            if (apart || random.nextDouble() < peerLoss) count("datagrams dropped");
            else at(now + PEER_LEAST_MS + PEER_SPREAD_MS * random.nextDouble(), task);
        }

        void gossiped(int from, byte[] bytes) {
            if (up) gossip(membership.receive(from, bytes, bytes.length, now));
        }

        void heard(Gate from, byte[] bytes) {
            if (!up) return;
            for (RoutingEvent.PeerRead seen : exchange.receive(from.rank, bytes, bytes.length)) tell(seen);
            membership.recordDatagramFrom(from.rank, exchange.incarnationOf(from.rank), now);
        }

        private void shift() {
            int alive = membership.loadSharingGateways();
            if (alive == live) return;
            live = alive;
            tell(new RoutingEvent.SettingsChanged(settings.withGateways(live)));
        }
    }

    // ---- Clients ----

    private void arrive(Load.Plan plan) {
        Ledger.Page page =
                new Ledger.Page(plan.id(), Load.KINDS[plan.kind()], plan.zone(), plan.kind() == 1, plan.dueMs());
        ledger.open(page);
        come(new Try(plan, page, 0, plan.tokens(), false), turn++);
    }

    private void come(Try one, int from) {
        one.page.tries.incrementAndGet();
        if (one.turn > 0) ledger.count("retries");
        List<Integer> there = byZone.get(one.plan.zone());
        Gate gate = gates[there.get((from + one.turn) % there.size())];
        if (gate.up) gate.take(one);
        else finish(one, End.UNREACHABLE, 0);
    }

    /** A client's try has ended: it comes again as {@link Load}'s clients do. */
    private void finish(Try one, End how, double laterMs) {
        if (one.over) return;
        one.over = true;
        one.held = false;
        ledger.count("end " + how.name().toLowerCase(java.util.Locale.ROOT));
        one.page.end = how;
        one.page.endMs = now;
        if (!Load.comesAgain(one.page, how) || one.turn + 1 >= experiment.load().tries()) return;
        one.page.end = null;
        Try next = new Try(
                one.plan,
                one.page,
                one.turn + 1,
                how == End.BROKEN ? Math.max(8, one.tokens / 2) : one.tokens,
                one.again || how == End.BROKEN);
        at(now + (how == End.BROKEN ? 0 : Math.max(AGAIN_MS, laterMs)), () -> come(next, turn));
    }

    // ---- Faults ----

    private void change(Play.Step step) {
        Experiment.FaultSpec f = step.fault();
        boolean on = step.on();
        List<Box> chosen = boxes.stream()
                .filter(b -> f.engine().isEmpty()
                        ? f.zone() < 0 || b.spec.zone() == f.zone()
                        : b.spec.name().equals(f.engine()))
                .toList();
        switch (f.kind()) {
            case "cut" -> {
                if (!f.engine().isEmpty()) chosen.forEach(b -> set(cutBoxes, b.id, on));
                else if (f.zone() >= 0) set(cutZones, f.zone(), on);
                if (on) for (Gate gate : gates) for (Box box : boxes) if (cut(gate, box)) gate.stall(box);
            }
            case "delay" -> delayMs = on ? f.amount() : 0;
            case "slow" -> chosen.forEach(b -> b.slow = on ? Math.max(1, f.amount()) : 1);
            case "fail" -> chosen.forEach(b -> b.failing = on);
            case "flush" -> chosen.forEach(b -> b.kept.clear());
            case "drain" -> {
                chosen.forEach(b -> b.told = on ? EndpointState.DRAINING : EndpointState.READY);
                List<Endpoint> news = chosen.stream().map(Box::member).toList();
                for (Gate gate : gates) {
                    at(now + TOLD_MS * random.nextDouble(), () -> {
                        if (gate.up)
                            gate.tell(gate.view.apply(
                                    new RoutingEvent.EndpointUpdate(EndpointUpdateKind.DELTA, 2, news)));
                    });
                }
            }
            case "peers_cut" -> Play.chosen(experiment, f).forEach(g -> set(cutPeers, g, on));
            case "peers_drop" -> peerLoss = on ? f.amount() : 0;
            case "kill" -> {
                for (int g : Play.chosen(experiment, f)) {
                    if (on) gates[g].die();
                    else gates[g] = new Gate(g);
                }
            }
            default -> throw new IllegalStateException(f.kind());
        }
    }

    private static <T> void set(Set<T> among, T one, boolean in) {
        if (in) among.add(one);
        else among.remove(one);
    }
}
