package maplerail.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import maplerail.core.ResponseObserver.Reason;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import maplerail.metrics.Metrics.Verdict;
import maplerail.routing.RoutingAction.CancelAttempt;
import maplerail.routing.RoutingAction.FailRequest;
import maplerail.routing.RoutingAction.Handler;
import maplerail.routing.RoutingAction.LogMessage;
import maplerail.routing.RoutingAction.RejectRequest;
import maplerail.routing.RoutingAction.ReleaseState;
import maplerail.routing.RoutingAction.ReservePlace;
import maplerail.routing.RoutingAction.SetTimer;
import maplerail.routing.RoutingAction.StartAttempt;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingEvent.EndpointUpdate;
import maplerail.routing.RoutingEvent.PeerRead;
import maplerail.routing.RoutingEvent.PrefixCached;
import maplerail.routing.RoutingPolicy;
import maplerail.routing.RoutingSettings;

/**
 * Serves requests as one routing policy decides. A request passes through intake, admission, routing, dispatch, relay
 * and registry. All methods must be called on the event loop.
 */
public final class Broker {
    /** How long after its deadline the broker fails a request; the policy normally ends it before the deadline. */
    private static final double DEADLINE_SLACK_MS = 4;

    private final EventLoop loop;
    private final EngineDirectory directory;
    private final AdmissionStage admission;
    private final ReservationManager reservations;
    private final RequestRegistry registry;
    private final ExecutedRequests executed;
    private final RequestIntake intake;
    private final RoutingStage routing;
    private final AttemptDispatcher dispatcher;
    private final ResponseRelay relay;
    private final AdoptedStreams adoptedStreams;
    private final Metrics metrics;
    private final Consumer<String> log;
    private final RequestEventLog events;
    private RequestTerms terms;
    private double latestDeadlineMs = Double.POSITIVE_INFINITY;

    /**
     * Creates a broker without requests.
     *
     * @param policy a policy that was created from {@code settings}
     * @param log receives the log lines of the policy and the broker
     * @param classNames the names of the request classes in the metrics, by class index
     */
    public Broker(
            RoutingPolicy policy,
            RoutingSettings settings,
            AdmissionStage admission,
            EventLoop loop,
            EngineTransport transport,
            Consumer<String> log,
            Metrics metrics,
            List<String> classNames) {
        this.loop = loop;
        this.admission = admission;
        this.log = log;
        this.metrics = metrics;
        events = new RequestEventLog(loop, log, metrics);
        terms = RequestTerms.of(settings, classNames, metrics);
        adoptedStreams = new AdoptedStreams(loop, metrics);
        directory = new EngineDirectory(settings.engineKinds());
        reservations = new ReservationManager(transport, loop, directory, events);
        registry = new RequestRegistry(admission, reservations, metrics);
        executed = new ExecutedRequests(loop, metrics);
        intake = new RequestIntake(loop, registry, executed);
        relay = new ResponseRelay(registry, loop);
        dispatcher = new AttemptDispatcher(
                transport, loop, directory, registry, executed, reservations, relay, metrics, events);
        routing = new RoutingStage(policy, loop, new ActionHandler(), dispatcher::cleanUp, log);
        dispatcher.setRoutingStage(routing);
    }

    // ---- Requests ----

    /** Accepts or rejects a request; its observer always receives exactly one final response. */
    public RequestHandle submit(InferenceRequest request, ResponseObserver observer) {
        Optional<RequestRecord> opened = intake.open(request, observer, terms, latestDeadlineMs);
        if (opened.isEmpty()) {
            terms.of(request).tally().count(Verdict.ERRORED);
            metrics.count(EventCount.REQUESTS_DUPLICATE);
            observer.onFailed(Reason.DUPLICATE);
            return RequestHandle.CLOSED;
        }
        RequestRecord record = opened.get();
        Optional<AdmissionStage.Rejection> rejection = admission.admit(record);
        if (rejection.isPresent()) {
            reject(record, rejection.get());
            return RequestHandle.CLOSED;
        }
        record.admitted = true;
        record.deadlineTimer = loop.schedule(record.deadlineMs + DEADLINE_SLACK_MS, () -> onDeadlineExpired(record));
        routing.report(arrivalOf(record));
        return new OpenRequest(record);
    }

    /** Rejects a request whose payload could not be received for lack of memory. */
    public void rejectForMemory(InferenceRequest request, ResponseObserver observer) {
        AdmissionStage.Rejection rejection = admission.rejectForMemory();
        terms.of(request).tally().count(Verdict.DEFERRED);
        observer.onRejected(rejection.reason(), rejection.retryAfterMs());
    }

    private void reject(RequestRecord record, AdmissionStage.Rejection rejection) {
        registry.finish(record, rejection.reason() == Reason.INVALID ? Verdict.ERRORED : Verdict.DEFERRED);
        registry.cleanUp(record);
        if (rejection.reason() == Reason.DRAINING) metrics.count(EventCount.REQUESTS_REFUSED_DRAINING);
        events.requestEnded(record, "rejected", rejection.reason());
        record.observer.onRejected(rejection.reason(), rejection.retryAfterMs());
    }

    private RoutingEvent.RequestArrived arrivalOf(RequestRecord record) {
        InferenceRequest request = record.request;
        return new RoutingEvent.RequestArrived(
                record.number,
                request.requestClass(),
                request.tenant(),
                request.session(),
                request.promptTokens(),
                request.prefix(),
                request.prefixTokens(),
                record.deadlineMs - loop.nowMs(),
                request.maxOutputTokens(),
                request.expectedStreamMs(),
                request.resumed());
    }

    /** Fails a request that the policy did not end in time, so that the final response is never late. */
    private void onDeadlineExpired(RequestRecord record) {
        if (record.finished || record.winner != null) return;
        log.accept("request not answered by its deadline request=" + record.number);
        fail(record.number, Reason.DEADLINE);
        dispatcher.abandon(record);
    }

    private void fail(long number, Reason reason) {
        RequestRecord record = registry.find(number);
        if (record == null || !registry.finish(record, Verdict.ERRORED)) return;
        events.requestEnded(record, "failed", reason);
        registry.cleanUp(record);
        record.observer.onFailed(reason);
    }

    // ---- Settings, endpoints and cached prefixes ----

    /**
     * Replaces the settings for new requests; open requests keep the settings under which they were accepted. The
     * engine kinds are not replaced, as the endpoint list was interpreted by them.
     */
    public void changeSettings(RoutingSettings settings, List<String> classNames) {
        terms = RequestTerms.of(settings, classNames, metrics);
        routing.report(new RoutingEvent.SettingsChanged(settings));
    }

    /** Limits the deadlines of new requests, however long their clients would wait, because the process exits. */
    public void limitDeadlines(double latestMs) {
        latestDeadlineMs = latestMs;
    }

    /** Applies an update of the endpoint list, also to attempts that are not sent yet. */
    public void updateEndpoints(EndpointUpdate update) {
        directory.apply(update);
        routing.report(update);
        dispatcher.withdrawUnsent();
    }

    /** Sets the task that applies endpoint updates that have arrived; it is run before each attempt. */
    public void setEndpointRefresh(Runnable refresh) {
        dispatcher.setEndpointRefresh(refresh);
    }

    /** Sets the log by which the processes of this gateway tell each other what they may have executed. */
    public void setExecutionLog(ExecutionLog shared) {
        executed.setLog(shared);
    }

    /** Sets how engines are named in the log. */
    public void setEngineNames(LongFunction<String> names) {
        events.setEngineNames(names);
    }

    /** Sets the listener that is notified of the ends of attempts. */
    public void setAttemptListener(AttemptListener listener) {
        dispatcher.setListener(listener);
    }

    /** The prefixes that are assumed to be cached at engines, for handover to the next process. */
    public List<PrefixCached> cachedPrefixes() {
        return routing.policy().cachedPrefixes();
    }

    /** Restores the prefixes that the previous process assumed to be cached. */
    public void restoreCachedPrefixes(List<PrefixCached> cached) {
        cached.forEach(routing::report);
    }

    /** Reports reads that other gateways have observed. */
    public void reportPeerReads(List<PeerRead> reads) {
        reads.forEach(reservations::onPeerRead);
        reads.forEach(routing::report);
    }

    // ---- Handover and termination of streams ----

    /**
     * Aborts a share of the running streams, oldest first, when the process has no time to finish them; their clients
     * resume them elsewhere. Requests that do not stream yet continue. To be called from a timer of the loop, so that
     * streams that engines have finished are completed first. Suspended streams are passed over.
     */
    public void abortStreams(double share) {
        List<RequestRecord> streams = registry.streaming().stream()
                .filter(record -> !record.suspended)
                .toList();
        streams.subList(0, (int) Math.ceil(share * streams.size())).forEach(this::abortStream);
        adoptedStreams.abort(share);
    }

    private void abortStream(RequestRecord record) {
        if (!registry.finish(record, Verdict.ERRORED)) return;
        dispatcher.abandon(record);
        record.observer.onBroken();
    }

    /**
     * Suspends at most {@code limit} running streams, so that another process can be asked to continue them. The latest
     * come first, as they have the longest to run. Streams in the middle of an event, or with a slow client, are not
     * suspended. A stream that is released is counted by the process in which it ends.
     */
    public List<SuspendedStream> suspendStreams(int limit) {
        List<SuspendedStream> suspended = new ArrayList<>();
        List<RequestRecord> latestFirst = new ArrayList<>(registry.streaming());
        Collections.reverse(latestFirst);
        for (RequestRecord record : latestFirst) {
            if (suspended.size() == limit) break;
            suspend(record).ifPresent(suspended::add);
        }
        suspended.addAll(adoptedStreams.suspend(limit - suspended.size()));
        return suspended;
    }

    private Optional<SuspendedStream> suspend(RequestRecord record) {
        Attempt attempt = record.winner;
        if (record.suspended || attempt.ended || attempt.paused || !attempt.handle.isBetweenEvents())
            return Optional.empty();
        return record.observer.suspend().map(client -> {
            record.suspended = true;
            attempt.paused = true;
            String className = record.terms.of(record.request).name();
            return new SuspendedStream(
                    className, record.request.id(), client, attempt.handle.suspend(), new StreamOwner(record));
        });
    }

    /** Continues a stream that another process released; {@code connect} connects its engine's response. */
    public RequestHandle adoptStream(
            String requestClass,
            String requestId,
            ResponseObserver observer,
            double stallTimeoutMs,
            Function<AttemptObserver, AttemptHandle> connect) {
        return adoptedStreams.adopt(requestClass, requestId, observer, stallTimeoutMs, connect);
    }

    // ---- Statistics ----

    /** The number of streams that another process started and this one continues. */
    public int adoptedStreams() {
        return adoptedStreams.size();
    }

    /** The readers in the endpoint list. */
    public Set<Long> readers() {
        return directory.readers();
    }

    /** The number of listed engines to which the policy currently sends no new work. */
    public int ejectedEngines() {
        return routing.policy().ejectedEngines();
    }

    /** The number of engines in the endpoint list. */
    public int listedEngines() {
        return directory.size();
    }

    /** The number of requests without a final response. */
    public int unfinishedRequests() {
        return registry.unfinished() + adoptedStreams.size();
    }

    /** The number of requests with a record, including finished ones whose attempts are still in flight. */
    public int openRequests() {
        return registry.size() + adoptedStreams.size();
    }

    /** The number of unfinished releases; a process that exits before may leave states reserved at engines. */
    public int pendingReleases() {
        return reservations.pendingReleases();
    }

    /** Executes the policy's actions; ignores requests for endpoint updates, which are always subscribed to. */
    private final class ActionHandler implements Handler {
        @Override
        public void onStartAttempt(StartAttempt action) {
            dispatcher.start(action);
        }

        @Override
        public void onCancelAttempt(CancelAttempt action) {
            dispatcher.cancel(action);
        }

        @Override
        public void onReleaseState(ReleaseState action) {
            RequestRecord record = registry.find(action.requestId());
            if (record != null) reservations.releaseUnused(record);
        }

        @Override
        public void onReservePlace(ReservePlace action) {
            RequestRecord record = registry.find(action.requestId());
            if (record != null && directory.isReady(action.engine()))
                reservations.reservePlace(record, action.engine());
        }

        @Override
        public void onRejectRequest(RejectRequest action) {
            RequestRecord record = registry.find(action.requestId());
            if (record == null || !registry.finish(record, Verdict.DEFERRED)) return;
            events.requestEnded(record, "rejected", Reason.OVERLOAD);
            registry.cleanUp(record);
            record.observer.onRejected(Reason.OVERLOAD, action.retryAfterMs());
        }

        @Override
        public void onFailRequest(FailRequest action) {
            fail(action.requestId(), Reason.ENGINE);
        }

        @Override
        public void onSetTimer(SetTimer action) {
            loop.schedule(action.atMs(), () -> routing.report(new RoutingEvent.TimerFired(action.token())));
        }

        @Override
        public void onLogMessage(LogMessage action) {
            log.accept(action.text());
        }
    }

    /** Goes on with a request's stream, or lets it go, after another process was asked to continue it. */
    private final class StreamOwner implements SuspendedStream.Owner {
        private final RequestRecord record;

        StreamOwner(RequestRecord record) {
            this.record = record;
        }

        @Override
        public void release() {
            record.winner.handle.release();
            record.observer.release();
            dispatcher.onClientDisconnected(record);
        }

        @Override
        public void resume() {
            record.suspended = false;
            record.observer.resume();
            relay.onClientWritable(record);
        }

        @Override
        public void breakOff() {
            record.suspended = false;
            abortStream(record);
        }
    }

    private final class OpenRequest implements RequestHandle {
        private final RequestRecord record;

        OpenRequest(RequestRecord record) {
            this.record = record;
        }

        @Override
        public void onClientDisconnected() {
            dispatcher.onClientDisconnected(record);
        }

        @Override
        public void onClientWritable() {
            relay.onClientWritable(record);
        }
    }
}
