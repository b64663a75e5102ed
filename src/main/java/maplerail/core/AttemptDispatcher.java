package maplerail.core;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import maplerail.metrics.Metrics.Verdict;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.LoadReport;
import maplerail.routing.RoutingAction.CancelAttempt;
import maplerail.routing.RoutingAction.StartAttempt;
import maplerail.routing.RoutingEvent;

/** Fourth stage: starts and cancels attempts as the routing policy decides, and reports how each one ended. */
final class AttemptDispatcher {
    private final EngineTransport transport;
    private final EventLoop loop;
    private final EngineDirectory directory;
    private final RequestRegistry registry;
    private final ExecutedRequests executed;
    private final ReservationManager reservations;
    private final ResponseRelay relay;
    private final Metrics metrics;
    private final RequestEventLog events;
    private final Set<RequestRecord> awaitingCleanup = new LinkedHashSet<>();
    private RoutingStage routing;
    private AttemptListener listener = AttemptListener.NONE;
    private Runnable refreshEndpoints = () -> {};

    AttemptDispatcher(
            EngineTransport transport,
            EventLoop loop,
            EngineDirectory directory,
            RequestRegistry registry,
            ExecutedRequests executed,
            ReservationManager reservations,
            ResponseRelay relay,
            Metrics metrics,
            RequestEventLog events) {
        this.transport = transport;
        this.loop = loop;
        this.directory = directory;
        this.registry = registry;
        this.executed = executed;
        this.reservations = reservations;
        this.relay = relay;
        this.metrics = metrics;
        this.events = events;
        reservations.setAttemptControl(new ReservationAttemptControl());
    }

    /** Sets the stage to which events are reported; to be called once, before any other method. */
    void setRoutingStage(RoutingStage stage) {
        routing = stage;
    }

    /** Sets the task that applies endpoint updates that have arrived; it is run before each attempt. */
    void setEndpointRefresh(Runnable refresh) {
        refreshEndpoints = refresh;
    }

    void setListener(AttemptListener newListener) {
        listener = newListener;
    }

    void start(StartAttempt action) {
        // A lagging loop may not yet have processed an update that forbids this attempt.
        refreshEndpoints.run();
        RequestRecord record = registry.find(action.requestId());
        if (record == null) return;
        boolean clientKnown = checkClient(record);
        boolean readsPrompt = directory.isReader(action.engine());
        Attempt attempt = new Attempt(record, action.engine(), readsPrompt, loop.nowMs());
        record.attempts.add(attempt);
        double deadlineMs =
                action.deadlineMs() > 0 ? Math.min(action.deadlineMs(), record.deadlineMs) : record.deadlineMs;
        if (!clientKnown || !isAllowed(attempt, deadlineMs)) {
            end(attempt, AttemptOutcome.NOT_SENT, 0);
        } else if (record.reservations.isExpired() && !readsPrompt) {
            end(attempt, AttemptOutcome.STATE_LOST, 0);
        } else {
            attempt.timeout = loop.schedule(deadlineMs, () -> onDeadline(attempt));
            attempt.handle = new UnsentAttempt();
            if (readsPrompt) reservations.sendReadWhenSafe(record, () -> send(attempt, deadlineMs));
            else send(attempt, deadlineMs);
        }
    }

    /** Sends an attempt, unless it ended while it waited for an earlier release. */
    private void send(Attempt attempt, double deadlineMs) {
        if (attempt.ended) return;
        RequestRecord record = attempt.record;
        if (record.winner != null || !attempt.readsPrompt && !executed.claim(record)) {
            end(attempt, AttemptOutcome.NOT_SENT, 0);
            return;
        }
        // After an attempt without any response, the other open connections may be dead as well.
        ConnectionChoice connection = record.hasAbortedWithoutResponse() ? ConnectionChoice.NEW : ConnectionChoice.ANY;
        if (attempt.readsPrompt) reservations.onReadStarted(attempt);
        attempt.handle = transport.send(attempt.engine, record.request, deadlineMs, connection, new Observer(attempt));
        reservations.review(record);
    }

    private boolean isAllowed(Attempt attempt, double deadlineMs) {
        RequestRecord record = attempt.record;
        return !record.finished
                && record.winner == null
                && deadlineMs > loop.nowMs()
                && attempt.number < record.terms.maxAttempts()
                && directory.isReady(attempt.engine);
    }

    /** Cancels an attempt, unless it already streams to the client. */
    void cancel(CancelAttempt action) {
        RequestRecord record = registry.find(action.requestId());
        if (record == null || action.attempt() >= record.attempts.size()) return;
        Attempt attempt = record.attempts.get(action.attempt());
        if (record.winner != attempt) abort(attempt, AttemptOutcome.CANCELLED, AbortReason.POLICY);
    }

    /** Ends a request whose client has disconnected. */
    void onClientDisconnected(RequestRecord record) {
        if (registry.finish(record, Verdict.UNWANTED)) abandon(record);
    }

    /** Aborts the attempts of a request that has its final response or needs none. */
    void abandon(RequestRecord record) {
        abortAll(record);
        routing.report(new RoutingEvent.RequestAbandoned(record.number));
        registry.cleanUp(record);
    }

    /** Aborts attempts that are not sent yet and whose engines no longer accept new work. */
    void withdrawUnsent() {
        for (RequestRecord record : registry.all()) {
            // A copy, as the policy may react to an aborted attempt by starting another one of the same request.
            for (Attempt attempt : List.copyOf(record.attempts)) {
                if (attempt.isUnsent() && !directory.isReady(attempt.engine)) {
                    abort(attempt, AttemptOutcome.UNREACHABLE, AbortReason.ENGINE_NOT_READY);
                }
            }
        }
    }

    /**
     * Cleans up the requests of which an attempt ended. To be called after the policy has made its decisions, since it
     * may send the same request to a reader whose state would be released here.
     */
    void cleanUp() {
        awaitingCleanup.forEach(registry::cleanUp);
        awaitingCleanup.clear();
    }

    /**
     * Detects a client that has disconnected although the loop has not handled the event of its connection yet; false if it
     * can't be known whether it has.
     */
    private boolean checkClient(RequestRecord record) {
        if (record.finished) return true;
        ClientPresence presence = record.observer.clientPresence();
        if (presence == ClientPresence.DISCONNECTED) onClientDisconnected(record);
        if (presence == ClientPresence.UNKNOWN) metrics.count(EventCount.ATTEMPTS_WITHHELD);
        return presence != ClientPresence.UNKNOWN;
    }

    private void onEvent(Attempt attempt, byte[] event) {
        RequestRecord record = attempt.record;
        attempt.lastEventMs = loop.nowMs();
        attempt.engineResponded = true;
        if (record.winner == null && !record.finished) startStream(attempt);
        if (record.winner == attempt) relay.onEvent(attempt, event);
        else abort(attempt, AttemptOutcome.CANCELLED, AbortReason.ANOTHER_STREAMS);
    }

    private void startStream(Attempt attempt) {
        RequestRecord record = attempt.record;
        record.winner = attempt;
        attempt.timeout.cancel();
        startStallTimer(attempt, record.request.payload().stallTimeoutMs());
        record.deadlineTimer.cancel();
        reservations.onStreamStarted(record);
        record.releasePayload();
        double elapsedMs = loop.nowMs() - attempt.sentMs;
        routing.report(new RoutingEvent.FirstToken(record.number, attempt.number, attempt.engine, elapsedMs));
    }

    /**
     * Aborts the stream if its engine sends no event within the stall timeout. The connection may stay open, and no
     * deadline applies once a stream has begun: the client would wait forever instead of resuming the stream elsewhere.
     */
    private void startStallTimer(Attempt attempt, double delayMs) {
        attempt.timeout = loop.schedule(loop.nowMs() + delayMs, () -> {
            double idleMs = attempt.paused ? 0 : loop.nowMs() - attempt.lastEventMs;
            double limitMs = attempt.record.request.payload().stallTimeoutMs();
            if (idleMs >= limitMs) abort(attempt, AttemptOutcome.RESET, AbortReason.STALLED);
            else if (!attempt.ended) startStallTimer(attempt, limitMs - idleMs);
        });
    }

    private void onDeadline(Attempt attempt) {
        if (attempt.record.winner != attempt) abort(attempt, AttemptOutcome.TIMEOUT, AbortReason.DEADLINE);
    }

    /** Fails an invalid request: retries would use up all its attempts, and each engine would count as failing. */
    private void onInvalidRequest(Attempt attempt) {
        RequestRecord record = attempt.record;
        boolean finished = registry.finish(record, Verdict.ERRORED);
        end(attempt, AttemptOutcome.CANCELLED, 0);
        if (!finished) return;
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
        awaitingCleanup.add(record);
        reservations.onAttemptEnded(attempt, outcome);
        // A response may complete without any event; it is delivered to the client as well.
        boolean completed = outcome == AttemptOutcome.COMPLETED;
        if (completed && record.winner == null && !record.finished) record.winner = attempt;
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
                record.finished,
                LoadReport.NONE));
    }

    /** Aborts attempts and reports events on behalf of the reservation manager. */
    private final class ReservationAttemptControl implements ReservationManager.AttemptControl {
        @Override
        public void abortUnresponsive(Attempt read) {
            transport.closeIdleConnections(read.engine);
            abort(read, AttemptOutcome.CANCELLED, AbortReason.UNHEARD);
        }

        @Override
        public void onUnresponsive(Attempt read) {
            routing.report(new RoutingEvent.ReadOverdue(read.record.number, read.number));
        }

        @Override
        public void onPlaceReserved(RequestRecord record, long writer) {
            routing.report(new RoutingEvent.PlaceReserved(record.number, writer));
        }

        /** Reports the outcome to the policy that a writer would report. */
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
            if (!checkClient(attempt.record)) abort(attempt, AttemptOutcome.CANCELLED, AbortReason.CLIENT_UNKNOWN);
            // Its idempotency key may have expired while the attempt waited for a connection.
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
