package maplerail.core;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import maplerail.metrics.Metrics;
import maplerail.metrics.Metrics.Verdict;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.LoadReport;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;

/** Fourth stage: makes the attempts that the module asks for, ends them, and tells how each one ended. */
final class Send {
    private static final LoadReport UNTOLD = new LoadReport(Double.NaN);
    /** Past the settings' time a state may be held for 300 ms more on sockets; this leaves the rest for its release. */
    private static final double HELD_SLACK_MS = 180;

    private final Engines engines;
    private final Loop loop;
    private final Fleet fleet;
    private final Book book;
    private final Relay relay;
    private final Metrics metrics;
    private final Set<Entry> touched = new LinkedHashSet<>();
    private Route route;
    private Witness witness;
    private Runnable freshen = () -> {};

    Send(Engines engines, Loop loop, Fleet fleet, Book book, Relay relay, Metrics metrics) {
        this.engines = engines;
        this.loop = loop;
        this.fleet = fleet;
        this.book = book;
        this.relay = relay;
        this.metrics = metrics;
    }

    void use(Route to) {
        route = to;
    }

    void attempt(RoutingAction.StartAttempt order) {
        // Guards against a loop that is behind: what has been told by now counts, though its turn is yet to come.
        freshen.run();
        Entry entry = book.find(order.requestId());
        if (entry == null) return;
        notice(entry);
        Entry.Try attempt = new Entry.Try(entry, order.engine(), fleet.reader(order.engine()), loop.nowMs());
        entry.tries.add(attempt);
        double until = order.deadlineMs() > 0 ? Math.min(order.deadlineMs(), entry.deadlineMs) : entry.deadlineMs;
        // Guards against a send for what is over, or to an engine that the list has told to leave alone.
        if (entry.answered
                || until <= loop.nowMs()
                || attempt.number >= entry.terms.maxAttempts()
                || !fleet.ready(order.engine())) {
            ended(attempt, AttemptOutcome.NOT_SENT, 0);
            return;
        }
        if (entry.lapsed && !attempt.reader) {
            ended(attempt, AttemptOutcome.STATE_LOST, 0);
            return;
        }
        attempt.timeout = loop.at(until, () -> expire(attempt));
        attempt.sending = engines.send(order.engine(), entry.ask, until, new Engines.Answer() {
            @Override
            public boolean wanted() {
                notice(entry);
                // Guards against a repeat that the module decided in its window, and that waited past it for a
                // connection.
                if (entry.windowOver(attempt, loop.nowMs())) cut(attempt, AttemptOutcome.CANCELLED);
                return !attempt.ended;
            }

            @Override
            public void written() {
                metrics.sent();
            }

            @Override
            public void event(byte[] event) {
                if (!attempt.ended) heard(attempt, event);
            }

            @Override
            public void unfit() {
                if (!attempt.ended) reject(attempt);
            }

            @Override
            public void ended(AttemptOutcome outcome, double kept) {
                if (witness != null && !attempt.ended) witness.ended(attempt.engine, outcome);
                Send.this.ended(attempt, outcome, kept);
            }
        });
    }

    private void heard(Entry.Try attempt, byte[] event) {
        Entry entry = attempt.entry;
        attempt.heardMs = loop.nowMs();
        if (entry.winner == null && !entry.answered) {
            entry.winner = attempt;
            attempt.timeout.cancel();
            watch(attempt, entry.ask.cargo().stallMs());
            entry.guard.cancel();
            // What is held goes by itself now; what a reader that was not told to stop leaves later does not.
            entry.mayHold.keySet().retainAll(entry.broken);
            entry.holds.clear();
            route.tell(new RoutingEvent.FirstToken(
                    entry.number, attempt.number, attempt.engine, loop.nowMs() - attempt.sentMs));
        }
        if (entry.winner == attempt) relay.event(attempt, event);
        else cut(attempt, AttemptOutcome.CANCELLED);
    }

    /**
     * Guards against an engine that falls silent in the middle of a stream: its connection stays open, no deadline
     * runs any more, and the client would wait for good instead of asking for the rest elsewhere.
     */
    private void watch(Entry.Try attempt, double afterMs) {
        attempt.timeout = loop.at(loop.nowMs() + afterMs, () -> {
            poll(attempt);
            double quietMs = attempt.paused ? 0 : loop.nowMs() - attempt.heardMs;
            double stallMs = attempt.entry.ask.cargo().stallMs();
            if (quietMs >= stallMs) cut(attempt, AttemptOutcome.RESET);
            else if (!attempt.ended) watch(attempt, stallMs - quietMs);
        });
    }

    /**
     * Guards against a loop that is behind: its timers come before what engines answered in time, which would be given up
     * unheard, and could be had nowhere else if it may have an effect.
     */
    private static void poll(Entry.Try attempt) {
        if (!attempt.ended) attempt.sending.poll();
    }

    /** Hears what has come by now for a request. */
    void poll(Entry entry) {
        List.copyOf(entry.tries).forEach(Send::poll);
    }

    private void expire(Entry.Try attempt) {
        poll(attempt);
        if (attempt.entry.winner != attempt) cut(attempt, AttemptOutcome.TIMEOUT);
    }

    /**
     * Guards against a request that no engine can use: sent to one after another it would use up all its attempts,
     * and the module would hold each of them to be failing.
     */
    private void reject(Entry.Try attempt) {
        Entry entry = attempt.entry;
        boolean last = book.answer(entry, Verdict.ERRORED);
        ended(attempt, AttemptOutcome.CANCELLED, 0);
        if (!last) return;
        cutAll(entry);
        route.tell(new RoutingEvent.RequestAbandoned(entry.number));
        entry.caller.fail(Caller.Why.INVALID);
    }

    /** Calls an attempt off, unless its stream is the caller's already. */
    void cancel(RoutingAction.CancelAttempt order) {
        Entry entry = book.find(order.requestId());
        if (entry == null || order.attempt() >= entry.tries.size()) return;
        Entry.Try attempt = entry.tries.get(order.attempt());
        if (entry.winner != attempt) cut(attempt, AttemptOutcome.CANCELLED);
    }

    /** Guards against an attempt for a caller that has left, while that waits for its turn on the loop. */
    private void notice(Entry entry) {
        if (!entry.answered && !entry.caller.here()) gone(entry);
    }

    /** Nobody waits for the answer any more. */
    void gone(Entry entry) {
        if (book.answer(entry, Verdict.UNWANTED)) leave(entry);
    }

    /** It has its final answer, or needs none: what is still out for it ends. */
    void leave(Entry entry) {
        cutAll(entry);
        route.tell(new RoutingEvent.RequestAbandoned(entry.number));
        book.settle(entry);
    }

    /** The caller has left: nobody reads a stream either. */
    private void cutAll(Entry entry) {
        for (Entry.Try attempt : List.copyOf(entry.tries)) cut(attempt, AttemptOutcome.CANCELLED);
    }

    /** What has not left this machine must not follow the news that its engine wants nothing more. */
    void withdrawUnsent() {
        for (Entry entry : book.all()) {
            // Guards against the module's answer to a cut, which may be another attempt of the same request at once.
            for (Entry.Try attempt : List.copyOf(entry.tries)) {
                boolean unsent = !attempt.ended && attempt.sending != null && attempt.sending.unsent();
                if (unsent && !fleet.ready(attempt.engine)) cut(attempt, AttemptOutcome.UNREACHABLE);
            }
        }
    }

    /** A state is held from now on, or again, as what was out for it has ended. */
    private void hold(Entry entry) {
        entry.heldMs = loop.nowMs();
        loop.at(entry.heldMs + entry.terms.pinLimitMs() + HELD_SLACK_MS, () -> lapse(entry));
    }

    /**
     * Guards against a state that is held while one connection after another fails to come up: a write takes it only
     * once it has arrived. It is let go, and the module hears what a writer would tell it then: the state is gone.
     */
    private void lapse(Entry entry) {
        boolean held = !entry.holds.isEmpty() && !entry.answered && entry.winner == null;
        boolean waits = loop.nowMs() >= entry.heldMs + entry.terms.pinLimitMs() + HELD_SLACK_MS;
        if (!held || !waits || entry.tries.stream().anyMatch(t -> !t.ended && !t.sending.unsent())) return;
        entry.lapsed = true;
        book.letGoHeld(entry);
        for (Entry.Try attempt : List.copyOf(entry.tries)) {
            if (attempt.ended) continue;
            attempt.sending.abort();
            ended(attempt, AttemptOutcome.STATE_LOST, 0);
        }
    }

    private void cut(Entry.Try attempt, AttemptOutcome outcome) {
        if (attempt.ended) return;
        AttemptOutcome proven =
                attempt.sending.unsent() && outcome == AttemptOutcome.CANCELLED ? AttemptOutcome.NOT_SENT : outcome;
        attempt.sending.abort();
        attempt.entry.lastCutMs = loop.nowMs();
        ended(attempt, proven, 0);
    }

    private void ended(Entry.Try attempt, AttemptOutcome outcome, double kept) {
        if (attempt.ended) return;
        boolean wasOut = outcome != AttemptOutcome.UNREACHABLE && outcome != AttemptOutcome.NOT_SENT;
        attempt.ended = true;
        touched.add(attempt.entry);
        if (attempt.timeout != null) attempt.timeout.cancel();
        Entry entry = attempt.entry;
        attempt.mayHaveRun = !attempt.reader && !outcome.provesNoEffect();
        boolean read = outcome == AttemptOutcome.PROMPT_READ;
        if (read) {
            entry.holds.add(attempt.engine);
            entry.lapsed = false;
        }
        if (read || wasOut && !entry.holds.isEmpty()) hold(entry);
        // A read that was cut off may have ended well just then.
        if (read || attempt.reader && !outcome.provesNoEffect()) entry.mayHold.put(attempt.engine, loop.nowMs());
        if (attempt.reader && (outcome == AttemptOutcome.RESET || outcome == AttemptOutcome.ERROR))
            entry.broken.add(attempt.engine);
        // An answer may be whole without an event; it is the caller's all the same.
        if (outcome == AttemptOutcome.COMPLETED && entry.winner == null && !entry.answered) entry.winner = attempt;
        if (entry.winner == attempt) relay.ended(attempt, outcome);
        if (read && witness != null) {
            witness.read(attempt.engine, loop.nowMs() - attempt.sentMs, Math.max(0, entry.ask.promptTokens() - kept));
        }
        route.tell(new RoutingEvent.AttemptEnded(
                entry.number,
                attempt.number,
                attempt.engine,
                outcome,
                loop.nowMs() - attempt.sentMs,
                kept,
                entry.answered,
                UNTOLD));
    }

    /** What takes in news of the engines that has come, before each attempt. */
    void freshen(Runnable how) {
        freshen = how;
    }

    /** Who hears how attempts ended, or null. */
    void witness(Witness to) {
        witness = to;
    }

    /**
     * Closes the books on attempts that ended, once the module has said all that it wants. Guards against letting
     * go of a cut read's state at a reader to which the module sends the same request in its next breath.
     */
    void settle() {
        touched.forEach(book::settle);
        touched.clear();
    }
}
