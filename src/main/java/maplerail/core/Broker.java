package maplerail.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import maplerail.core.Caller.Why;
import maplerail.metrics.Metrics;
import maplerail.metrics.Metrics.Verdict;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingPolicy;
import maplerail.routing.RoutingSettings;

/**
 * Drives one decision module on one event loop. A request passes the stages take in, admit, route, send,
 * relay and book; the broker knows requests, attempts and outcomes and no wire. All calls are made on the loop.
 */
public final class Broker {
    private static final double GUARD_MS = 4; // past a deadline; the module answers before it

    private final Loop loop;
    private final Fleet fleet;
    private final Book book;
    private final TakeIn takeIn;
    private final Admit admit;
    private final Route route;
    private final Send send;
    private final Relay relay;
    private final Consumer<String> log;
    private final Metrics metrics;
    private final Inherited inherited;
    private Terms terms;
    private double latestMs = Double.POSITIVE_INFINITY;

    /** Makes a broker round a module that has just come up with these settings; its answers count under these names. */
    public Broker(
            RoutingPolicy router,
            RoutingSettings settings,
            Admit admit,
            Loop loop,
            Engines engines,
            Consumer<String> log,
            Metrics metrics,
            List<String> classes) {
        this.metrics = metrics;
        terms = Terms.of(settings, classes, metrics);
        this.loop = loop;
        this.log = log;
        inherited = new Inherited(loop, metrics);
        fleet = new Fleet(settings.engineKinds());
        this.admit = admit;
        book = new Book(engines, loop, admit, fleet, metrics);
        takeIn = new TakeIn(loop, book);
        relay = new Relay(book, loop);
        send = new Send(engines, loop, fleet, book, relay, metrics);
        route = new Route(router, loop, this::perform, send::settle, log);
        send.use(route);
    }

    /** Takes a request; its caller gets its one final answer in any case. */
    public Ticket take(Ask ask, Caller caller) {
        Entry entry = takeIn.take(ask, caller, terms, latestMs);
        if (entry == null) {
            terms.tally(ask).count(Verdict.ERRORED);
            caller.fail(Why.DUPLICATE);
            return new Closed();
        }
        Admit.Denied denied = admit.check(ask);
        if (denied != null) {
            book.answer(entry, denied.why() == Why.INVALID ? Verdict.ERRORED : Verdict.DEFERRED);
            book.settle(entry);
            caller.refuse(denied.why(), denied.retryAfterMs());
            return new Closed();
        }
        entry.admitted = true;
        entry.guard = loop.at(entry.deadlineMs + GUARD_MS, () -> overdue(entry));
        route.tell(new RoutingEvent.RequestArrived(
                entry.number,
                ask.kind(),
                ask.tenant(),
                ask.session(),
                ask.promptTokens(),
                ask.prefix(),
                ask.prefixTokens(),
                entry.deadlineMs - loop.nowMs(),
                ask.maxOutput(),
                ask.hintMs(),
                ask.resumed()));
        return new Open(entry);
    }

    /**
     * Other settings, whole, for what is taken from now on; requests that are open keep the ones that they began under.
     * The kinds of engines stay: the list has been read by them.
     */
    public void retune(RoutingSettings settings, List<String> classes) {
        terms = Terms.of(settings, classes, metrics);
        route.tell(new RoutingEvent.SettingsChanged(settings));
    }

    /** What is taken from now on has its answer begun by then, however long its client would wait: the program ends. */
    public void endBy(double latest) {
        latestMs = latest;
    }

    /** What the module knows that one which serves here next could use. */
    public List<RoutingEvent.PrefixCached> learned() {
        return route.learned();
    }

    /** What one that served here before knew. */
    public void learn(List<RoutingEvent.PrefixCached> known) {
        known.forEach(route::tell);
    }

    /** News of the engines; what has not gone out yet obeys it too. */
    public void members(RoutingEvent.EndpointUpdate news) {
        fleet.hear(news);
        route.tell(news);
        send.withdrawUnsent();
    }

    /**
     * Ends a share of the streams that run, the oldest first, for a program that has no time to finish them: their
     * clients ask for the rest elsewhere. What has not begun to stream goes on.
     */
    public void breakOff(double share) {
        List<Entry> streams = book.all().stream()
                .filter(e -> e.winner != null && !e.answered)
                .sorted(Comparator.comparingLong(e -> e.number))
                .toList();
        for (Entry entry : streams.subList(0, (int) Math.ceil(share * streams.size()))) {
            send.poll(entry); // what its engine has finished is passed on to its end
            if (!book.answer(entry, Verdict.ERRORED)) continue;
            send.leave(entry);
            entry.caller.broken();
        }
        inherited.breakOff(share);
    }

    /** A stream between two events, on its way to another process: its class, its request's id, and its two connections. */
    public record Moving(String kind, String id, Object client, Object engine) {}

    /**
     * Gives up at most so many of the running streams, the oldest first, so that another process goes on with them; those
     * that are within an event, or whose client is behind, stay. They count nowhere here any more: whoever ends them does.
     */
    public List<Moving> yieldStreams(int most) {
        List<Moving> out = new ArrayList<>(inherited.yieldStreams(most));
        List<Entry> streams = book.all().stream()
                .filter(e -> e.winner != null && !e.answered)
                .sorted(Comparator.comparingLong(e -> e.number))
                .toList();
        for (Entry entry : streams) {
            if (out.size() == most) break;
            Entry.Try stream = entry.winner;
            if (stream.ended || stream.paused || !stream.sending.between()) continue;
            Object client = entry.caller.handOn();
            if (client == null) continue;
            Object engine = stream.sending.handOn();
            send.gone(entry);
            out.add(new Moving(entry.terms.name(entry.ask), entry.ask.id(), client, engine));
        }
        return out;
    }

    /** Goes on with a stream that another process gave up; the events of {@code begin}'s answer are the caller's. */
    public Ticket inherit(
            String kind, String id, Caller caller, double stallMs, Function<Engines.Answer, Engines.Sending> begin) {
        return inherited.take(kind, id, caller, stallMs, begin);
    }

    /** Streams that another process began and this one goes on with. */
    public int inherited() {
        return inherited.size();
    }

    /** What takes in news of the engines that has come, before each attempt. */
    public void freshen(Runnable how) {
        send.freshen(how);
    }

    /** Who hears how attempts ended: what gateways of a tier tell each other. */
    public void witness(Witness to) {
        send.witness(to);
    }

    /** What other gateways saw of readers, for the module. */
    public void seen(List<RoutingEvent.PeerRead> facts) {
        facts.forEach(route::tell);
    }

    /** The readers that the list names. */
    public Set<Long> readers() {
        return fleet.readers();
    }

    /** Engines listed that the module passes over for now. */
    public int avoided() {
        return route.avoided();
    }

    /** Engines in the list. */
    public int listed() {
        return fleet.size();
    }

    /** Requests that still wait for their final answer. */
    public int unanswered() {
        return book.unanswered() + inherited.size();
    }

    /** Requests of which anything is still remembered. */
    public int remembered() {
        return book.size() + inherited.size();
    }

    /** Releases that are still to be said once more: a program that ended before would leave states held. */
    public int lettingGo() {
        return book.lettingGo();
    }

    private void perform(RoutingAction action) {
        if (action instanceof RoutingAction.StartAttempt order) send.attempt(order);
        else if (action instanceof RoutingAction.CancelAttempt order) send.cancel(order);
        else if (action instanceof RoutingAction.ReleaseState order) release(order.requestId());
        else if (action instanceof RoutingAction.RejectRequest refuse) refuse(refuse);
        else if (action instanceof RoutingAction.FailRequest fail) fail(fail.requestId(), Why.ENGINE);
        else if (action instanceof RoutingAction.SetTimer timer) {
            loop.at(timer.atMs(), () -> route.tell(new RoutingEvent.TimerFired(timer.token())));
        } else if (action instanceof RoutingAction.LogMessage line) log.accept(line.text());
        // Subscribe and FetchList need nothing: the list is always watched.
    }

    private void release(long number) {
        Entry entry = book.find(number);
        if (entry != null) book.release(entry);
    }

    private void refuse(RoutingAction.RejectRequest order) {
        Entry entry = book.find(order.requestId());
        if (entry == null || !book.answer(entry, Verdict.DEFERRED)) return;
        book.settle(entry);
        entry.caller.refuse(Why.OVERLOAD, order.retryAfterMs());
    }

    private void fail(long number, Why why) {
        Entry entry = book.find(number);
        if (entry == null || !book.answer(entry, Verdict.ERRORED)) return;
        book.settle(entry);
        entry.caller.fail(why);
    }

    /** The module gave no answer in time: nothing may be late for want of one. */
    private void overdue(Entry entry) {
        send.poll(entry);
        if (entry.answered || entry.winner != null) return;
        log.accept("request " + entry.number + " was not answered by its deadline");
        fail(entry.number, Why.DEADLINE);
        send.leave(entry);
    }

    /** A request that was never open, or no longer is. */
    private static final class Closed implements Ticket {
        @Override
        public void gone() {}

        @Override
        public void writable() {}
    }

    private final class Open implements Ticket {
        private final Entry entry;

        Open(Entry entry) {
            this.entry = entry;
        }

        @Override
        public void gone() {
            send.gone(entry);
        }

        @Override
        public void writable() {
            relay.writable(entry);
        }
    }
}
