package maplerail.core;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import maplerail.metrics.Metrics;
import maplerail.metrics.Metrics.Verdict;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.LoadReport;
import maplerail.routing.RoutingAction.CancelAttempt;
import maplerail.routing.RoutingAction.StartAttempt;
import maplerail.routing.RoutingEvent;

/** Fourth stage: makes the attempts that the policy asks for, ends them, and reports how each one ended. */
final class AttemptDispatcher {
    private final EngineTransport transport;
    private final EventLoop loop;
    private final EngineDirectory directory;
    private final RequestRegistry registry;
    private final ReservationKeeper reservations;
    private final ResponseRelay relay;
    private final Metrics metrics;
    private final RequestEventLog events;
    private final Set<RequestRecord> unsettled = new LinkedHashSet<>();
    private RoutingStage routing;
    private AttemptListener listener = AttemptListener.NONE;
    private Runnable refreshEndpoints = () -> {};

    AttemptDispatcher(
            EngineTransport transport,
            EventLoop loop,
            EngineDirectory directory,
            RequestRegistry registry,
            ReservationKeeper reservations,
            ResponseRelay relay,
            Metrics metrics,
            RequestEventLog events) {
        this.transport = transport;
        this.loop = loop;
        this.directory = directory;
        this.registry = registry;
        this.reservations = reservations;
        this.relay = relay;
        this.metrics = metrics;
        this.events = events;
        reservations.connect(new UnwaitedAttempts());
    }

    /** Sets where events are reported; to be called once, before any other method. */
    void connect(RoutingStage stage) {
        routing = stage;
    }

    /** Sets what takes in endpoint updates that have arrived; it is run before each attempt. */
    void setEndpointRefresh(Runnable refresh) {
        refreshEndpoints = refresh;
    }

    void setListener(AttemptListener newListener) {
        listener = newListener;
    }

    void start(StartAttempt order) {
        // A loop that is behind may not have got to an update that forbids this attempt.
        refreshEndpoints.run();
        RequestRecord record = registry.find(order.requestId());
        if (record == null) return;
        checkClient(record);
        boolean readsPrompt = directory.isReader(order.engine());
        Attempt attempt = new Attempt(record, order.engine(), readsPrompt, loop.nowMs());
        record.attempts.add(attempt);
        double deadlineMs =
                order.deadlineMs() > 0 ? Math.min(order.deadlineMs(), record.deadlineMs) : record.deadlineMs;
        if (!isAllowed(attempt, deadlineMs)) {
            end(attempt, AttemptOutcome.NOT_SENT, 0);
        } else if (record.reservations.isExpired() && !readsPrompt) {
            end(attempt, AttemptOutcome.STATE_LOST, 0);
        } else {
            attempt.timeout = loop.schedule(deadlineMs, () -> onDeadline(attempt));
            attempt.handle = new UnsentAttempt();
            if (readsPrompt) reservations.beforeRead(record, () -> send(attempt, deadlineMs));
            else send(attempt, deadlineMs);
        }
    }

    /** Hands an attempt to the transport, unless it has ended while it waited for that. */
    private void send(Attempt attempt, double deadlineMs) {
        if (attempt.ended) return;
        RequestRecord record = attempt.record;
        // What an attempt of this request has met on a connection that was open, another may meet on the next.
        ConnectionChoice connection = record.hasUnheardAttempt() ? ConnectionChoice.NEW : ConnectionChoice.ANY;
        if (attempt.readsPrompt) reservations.onReadStarted(attempt);
        attempt.handle = transport.send(attempt.engine, record.request, deadlineMs, connection, new Observer(attempt));
        reservations.review(record);
    }

    private boolean isAllowed(Attempt attempt, double deadlineMs) {
        RequestRecord record = attempt.record;
        return !record.answered
                && deadlineMs > loop.nowMs()
                && attempt.number < record.terms.maxAttempts()
                && directory.isReady(attempt.engine);
    }

    /** Cancels an attempt, unless its stream is the client's already. */
    void cancel(CancelAttempt order) {
        RequestRecord record = registry.find(order.requestId());
        if (record == null || order.attempt() >= record.attempts.size()) return;
        Attempt attempt = record.attempts.get(order.attempt());
        if (record.winner != attempt) abort(attempt, AttemptOutcome.CANCELLED, AbortReason.POLICY);
    }

    /** Ends a request whose client has disconnected. */
    void onClientDisconnected(RequestRecord record) {
        if (registry.answer(record, Verdict.UNWANTED)) abandon(record);
    }

    /** Ends what is in flight for a request that has its final answer, or needs none. */
    void abandon(RequestRecord record) {
        abortAll(record);
        routing.report(new RoutingEvent.RequestAbandoned(record.number));
        registry.settle(record);
    }

    /** Ends the attempts of which nothing was sent yet, at engines that no longer take new work. */
    void withdrawUnsent() {
        for (RequestRecord record : registry.all()) {
            // A copy, as the policy may answer an aborted attempt with another one of the same request.
            for (Attempt attempt : List.copyOf(record.attempts)) {
                if (attempt.isUnsent() && !directory.isReady(attempt.engine)) {
                    abort(attempt, AttemptOutcome.UNREACHABLE, AbortReason.ENGINE_NOT_READY);
                }
            }
        }
    }

    /**
     * Settles the requests of which an attempt ended. To be called once the policy has made its decisions, since it may send
     * the same request to a reader whose state would be released here.
     */
    void settle() {
        unsettled.forEach(registry::settle);
        unsettled.clear();
    }

    /** The client may have disconnected without its connection's turn on the loop having come. */
    private void checkClient(RequestRecord record) {
        if (!record.answered && !record.observer.isConnected()) onClientDisconnected(record);
    }

    private void onEvent(Attempt attempt, byte[] event) {
        RequestRecord record = attempt.record;
        attempt.lastEventMs = loop.nowMs();
        attempt.answered = true;
        if (record.winner == null && !record.answered) beginStream(attempt);
        if (record.winner == attempt) relay.onEvent(attempt, event);
        else abort(attempt, AttemptOutcome.CANCELLED, AbortReason.ANOTHER_STREAMS);
    }

    private void beginStream(Attempt attempt) {
        RequestRecord record = attempt.record;
        record.winner = attempt;
        attempt.timeout.cancel();
        watchForStall(attempt, record.request.payload().stallTimeoutMs());
        record.deadlineTimer.cancel();
        reservations.onStreamStarted(record);
        double elapsedMs = loop.nowMs() - attempt.sentMs;
        routing.report(new RoutingEvent.FirstToken(record.number, attempt.number, attempt.engine, elapsedMs));
    }

    /**
     * Breaks a stream off whose engine has fallen silent. Its connection may stay open, and no deadline runs once a stream
     * has begun: the client would wait for ever instead of asking for the rest elsewhere.
     */
    private void watchForStall(Attempt attempt, double afterMs) {
        attempt.timeout = loop.schedule(loop.nowMs() + afterMs, () -> {
            double silentMs = attempt.paused ? 0 : loop.nowMs() - attempt.lastEventMs;
            double limitMs = attempt.record.request.payload().stallTimeoutMs();
            if (silentMs >= limitMs) abort(attempt, AttemptOutcome.RESET, AbortReason.STALLED);
            else if (!attempt.ended) watchForStall(attempt, limitMs - silentMs);
        });
    }

    private void onDeadline(Attempt attempt) {
        if (attempt.record.winner != attempt) abort(attempt, AttemptOutcome.TIMEOUT, AbortReason.DEADLINE);
    }

    /** Fails a request that no engine can use: it would use up all its attempts, and each engine would seem to fail. */
    private void onInvalidRequest(Attempt attempt) {
        RequestRecord record = attempt.record;
        boolean unanswered = registry.answer(record, Verdict.ERRORED);
        end(attempt, AttemptOutcome.CANCELLED, 0);
        if (!unanswered) return;
        abortAll(record);
        routing.report(new RoutingEvent.RequestAbandoned(record.number));
        record.observer.onFailed(ResponseObserver.Reason.INVALID);
    }

    private void abortAll(RequestRecord record) {
        for (Attempt attempt : List.copyOf(record.attempts)) {
            abort(attempt, AttemptOutcome.CANCELLED, AbortReason.REQUEST_ENDED);
        }
    }

    private void abort(Attempt attempt, AttemptOutcome outcome, AbortReason reason) {
        if (attempt.ended) return;
        attempt.abortReason = reason;
        boolean neverSent = attempt.isUnsent() && outcome == AttemptOutcome.CANCELLED;
        attempt.handle.abort();
        attempt.record.lastCancelMs = loop.nowMs();
        end(attempt, neverSent ? AttemptOutcome.NOT_SENT : outcome, 0);
    }

    private void end(Attempt attempt, AttemptOutcome outcome, double cachedTokens) {
        if (attempt.ended) return;
        attempt.ended = true;
        attempt.endedMs = loop.nowMs();
        if (attempt.timeout != null) attempt.timeout.cancel();
        events.attemptEnded(attempt, outcome, loop.nowMs() - attempt.sentMs);
        attempt.maybeExecuted = !attempt.readsPrompt && !outcome.provesNoEffect();
        RequestRecord record = attempt.record;
        unsettled.add(record);
        reservations.onAttemptEnded(attempt, outcome);
        // An answer may be complete without an event; it is the client's all the same.
        boolean completed = outcome == AttemptOutcome.COMPLETED;
        if (completed && record.winner == null && !record.answered) record.winner = attempt;
        if (record.winner == attempt) relay.onEnded(attempt, outcome);
        double elapsedMs = loop.nowMs() - attempt.sentMs;
        if (outcome == AttemptOutcome.PROMPT_READ) {
            double uncachedTokens = Math.max(0, record.request.promptTokens() - cachedTokens);
            listener.onPromptRead(attempt.engine, elapsedMs, uncachedTokens);
        }
        routing.report(new RoutingEvent.AttemptEnded(
                record.number,
                attempt.number,
                attempt.engine,
                outcome,
                elapsedMs,
                cachedTokens,
                record.answered,
                LoadReport.NONE));
    }

    /** Ends what waits for a state, or for a read, that is not to be waited for. */
    private final class UnwaitedAttempts implements ReservationKeeper.Attempts {
        @Override
        public void abortUnheard(Attempt read) {
            transport.closeIdleConnections(read.engine);
            abort(read, AttemptOutcome.CANCELLED, AbortReason.UNHEARD);
        }

        @Override
        public void onUnheard(Attempt read) {
            routing.report(new RoutingEvent.ReadOverdue(read.record.number, read.number));
        }

        @Override
        public void onPlaceHeld(RequestRecord record, long writer) {
            routing.report(new RoutingEvent.PlaceReserved(record.number, writer));
        }

        /** The policy is told what a writer would say. */
        @Override
        public void endWithStateLost(Attempt write) {
            write.handle.abort();
            write.abortReason = AbortReason.STATE_RELEASED;
            end(write, AttemptOutcome.STATE_LOST, 0);
        }
    }

    private final class Observer implements AttemptObserver {
        private final Attempt attempt;

        Observer(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public boolean isNeeded() {
            checkClient(attempt.record);
            // Decided while engines dropped repeats, it may have waited for a connection until they no longer do.
            if (attempt.record.isKeyExpiredFor(attempt, loop.nowMs())) {
                abort(attempt, AttemptOutcome.CANCELLED, AbortReason.KEY_EXPIRED);
            }
            return !attempt.ended;
        }

        @Override
        public void onSent() {
            metrics.sent();
            attempt.onWritten(loop.nowMs());
            reservations.review(attempt.record);
        }

        @Override
        public void onEvent(byte[] event) {
            if (!attempt.ended) AttemptDispatcher.this.onEvent(attempt, event);
        }

        @Override
        public void onInvalidRequest() {
            if (!attempt.ended) AttemptDispatcher.this.onInvalidRequest(attempt);
        }

        @Override
        public void onEnded(AttemptOutcome outcome, double cachedTokens) {
            if (attempt.ended) return;
            listener.onEnded(attempt.engine, outcome);
            end(attempt, outcome, cachedTokens);
        }
    }
}
