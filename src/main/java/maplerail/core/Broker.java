package maplerail.core;

import java.util.ArrayList;
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
 * Serves requests by the decisions of one routing policy. A request passes intake, admission, routing, dispatch, relay and
 * registry. All calls are made on the event loop.
 */
public final class Broker {
    /** How long after a deadline the broker itself answers; the policy does so before the deadline. */
    private static final double DEADLINE_SLACK_MS = 4;

    private final EventLoop loop;
    private final EngineDirectory directory;
    private final AdmissionStage admission;
    private final ReservationKeeper reservations;
    private final RequestRegistry registry;
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
     * @param log receives the policy's log lines
     * @param classNames the names under which the answers of each class are counted, by its index
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
        reservations = new ReservationKeeper(transport, loop, directory, events);
        registry = new RequestRegistry(admission, reservations, metrics);
        intake = new RequestIntake(loop, registry);
        relay = new ResponseRelay(registry, loop);
        dispatcher = new AttemptDispatcher(transport, loop, directory, registry, reservations, relay, metrics, events);
        routing = new RoutingStage(policy, loop, new ActionHandler(), dispatcher::settle, log);
        dispatcher.connect(routing);
    }

    // ---- Requests ----

    /** Takes a request; its observer gets exactly one final answer in any case. */
    public RequestHandle submit(InferenceRequest request, ResponseObserver observer) {
        Optional<RequestRecord> opened = intake.open(request, observer, terms, latestDeadlineMs);
        if (opened.isEmpty()) {
            terms.of(request).tally().count(Verdict.ERRORED);
            observer.onFailed(Reason.DUPLICATE);
            return RequestHandle.CLOSED;
        }
        RequestRecord record = opened.get();
        Optional<AdmissionStage.Rejection> rejection = admission.admit(request);
        if (rejection.isPresent()) {
            reject(record, rejection.get());
            return RequestHandle.CLOSED;
        }
        record.admitted = true;
        record.deadlineTimer = loop.schedule(record.deadlineMs + DEADLINE_SLACK_MS, () -> onUnansweredDeadline(record));
        routing.report(arrivalOf(record));
        return new OpenRequest(record);
    }

    private void reject(RequestRecord record, AdmissionStage.Rejection rejection) {
        registry.answer(record, rejection.reason() == Reason.INVALID ? Verdict.ERRORED : Verdict.DEFERRED);
        registry.settle(record);
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

    /** The policy gave no answer in time: none may be late for want of one. */
    private void onUnansweredDeadline(RequestRecord record) {
        if (record.answered || record.winner != null) return;
        log.accept("request not answered by its deadline request=" + record.number);
        fail(record.number, Reason.DEADLINE);
        dispatcher.abandon(record);
    }

    private void fail(long number, Reason reason) {
        RequestRecord record = registry.find(number);
        if (record == null || !registry.answer(record, Verdict.ERRORED)) return;
        events.requestEnded(record, "failed", reason);
        registry.settle(record);
        record.observer.onFailed(reason);
    }

    // ---- Settings and knowledge from outside ----

    /**
     * Sets other settings for requests from now on; open requests keep the ones that they were taken under. The kinds of
     * engines stay, as the endpoint list was read by them.
     */
    public void changeSettings(RoutingSettings settings, List<String> classNames) {
        terms = RequestTerms.of(settings, classNames, metrics);
        routing.report(new RoutingEvent.SettingsChanged(settings));
    }

    /** Sets the latest deadline of requests from now on, however long their clients would wait: the process exits. */
    public void limitDeadlines(double latestMs) {
        latestDeadlineMs = latestMs;
    }

    /** Applies an update of the endpoint list; attempts of which nothing was sent yet obey it too. */
    public void updateEndpoints(EndpointUpdate update) {
        directory.apply(update);
        routing.report(update);
        dispatcher.withdrawUnsent();
    }

    /** Sets what takes in endpoint updates that have arrived; it is run before each attempt. */
    public void setEndpointRefresh(Runnable refresh) {
        dispatcher.setEndpointRefresh(refresh);
    }

    /** Sets how engines are named in the log. */
    public void setEngineNames(LongFunction<String> names) {
        events.setEngineNames(names);
    }

    /** Sets who is told how attempts ended. */
    public void setAttemptListener(AttemptListener listener) {
        dispatcher.setListener(listener);
    }

    /** The prefixes that are assumed to be cached at engines, for the process that serves here next. */
    public List<PrefixCached> cachedPrefixes() {
        return routing.policy().cachedPrefixes();
    }

    /** Takes over what the process that served here before assumed to be cached. */
    public void restoreCachedPrefixes(List<PrefixCached> cached) {
        cached.forEach(routing::report);
    }

    /** Reports reads that other gateways have observed. */
    public void reportPeerReads(List<PeerRead> reads) {
        reads.forEach(reservations::onPeerRead);
        reads.forEach(routing::report);
    }

    // ---- Streams that change processes, or end with this one ----

    /**
     * Breaks a share of the running streams off, the oldest first, for a process that has no time to finish them: their
     * clients ask for the rest elsewhere. Requests that do not stream yet go on. To be called by a timer of the loop, so that
     * what engines have finished has been passed on to its end.
     */
    public void abortStreams(double share) {
        List<RequestRecord> streams = registry.streaming();
        for (RequestRecord record : streams.subList(0, (int) Math.ceil(share * streams.size()))) {
            if (!registry.answer(record, Verdict.ERRORED)) continue;
            dispatcher.abandon(record);
            record.observer.onBroken();
        }
        adoptedStreams.breakOff(share);
    }

    /**
     * Detaches at most {@code limit} running streams, so that another process continues them. Streams within an event, or
     * whose client is behind, stay. A detached stream is counted by the process that ends it.
     */
    public List<DetachedStream> detachStreams(int limit) {
        List<DetachedStream> detached = new ArrayList<>(adoptedStreams.detach(limit));
        for (RequestRecord record : registry.streaming()) {
            if (detached.size() == limit) break;
            detach(record).ifPresent(detached::add);
        }
        return detached;
    }

    private Optional<DetachedStream> detach(RequestRecord record) {
        Attempt attempt = record.winner;
        if (attempt.ended || attempt.paused || !attempt.handle.isBetweenEvents()) return Optional.empty();
        return record.observer.detachConnection().map(client -> {
            Object engine = attempt.handle.detachConnection();
            dispatcher.onClientDisconnected(record);
            String className = record.terms.of(record.request).name();
            return new DetachedStream(className, record.request.id(), client, engine);
        });
    }

    /** Continues a stream that another process detached; {@code connect} connects its engine's answer. */
    public RequestHandle adoptStream(
            String requestClass,
            String requestId,
            ResponseObserver observer,
            double stallTimeoutMs,
            Function<AttemptObserver, AttemptHandle> connect) {
        return adoptedStreams.adopt(requestClass, requestId, observer, stallTimeoutMs, connect);
    }

    // ---- Figures ----

    /** The number of streams that another process began and this one continues. */
    public int adoptedStreams() {
        return adoptedStreams.size();
    }

    /** The readers that are listed. */
    public Set<Long> readers() {
        return directory.readers();
    }

    /** The number of listed engines that the policy gives no new work for now. */
    public int ejectedEngines() {
        return routing.policy().ejectedEngines();
    }

    /** The number of engines that are listed. */
    public int listedEngines() {
        return directory.size();
    }

    /** The number of requests that wait for their final answer. */
    public int unfinishedRequests() {
        return registry.unanswered() + adoptedStreams.size();
    }

    /** The number of requests of which anything is still remembered. */
    public int openRequests() {
        return registry.size() + adoptedStreams.size();
    }

    /** The number of releases that are not over; a process that exited now might leave states held. */
    public int pendingReleases() {
        return reservations.pendingReleases();
    }

    /** Carries the policy's actions out. Endpoints are always subscribed to, so it ignores actions that ask for them. */
    private final class ActionHandler implements Handler {
        @Override
        public void onStartAttempt(StartAttempt order) {
            dispatcher.start(order);
        }

        @Override
        public void onCancelAttempt(CancelAttempt order) {
            dispatcher.cancel(order);
        }

        @Override
        public void onReleaseState(ReleaseState order) {
            RequestRecord record = registry.find(order.requestId());
            if (record != null) reservations.releaseUnused(record);
        }

        @Override
        public void onReservePlace(ReservePlace order) {
            RequestRecord record = registry.find(order.requestId());
            if (record != null && directory.isReady(order.engine())) reservations.askWriter(record, order.engine());
        }

        @Override
        public void onRejectRequest(RejectRequest order) {
            RequestRecord record = registry.find(order.requestId());
            if (record == null || !registry.answer(record, Verdict.DEFERRED)) return;
            events.requestEnded(record, "rejected", Reason.OVERLOAD);
            registry.settle(record);
            record.observer.onRejected(Reason.OVERLOAD, order.retryAfterMs());
        }

        @Override
        public void onFailRequest(FailRequest order) {
            fail(order.requestId(), Reason.ENGINE);
        }

        @Override
        public void onSetTimer(SetTimer order) {
            loop.schedule(order.atMs(), () -> routing.report(new RoutingEvent.TimerFired(order.token())));
        }

        @Override
        public void onLogMessage(LogMessage order) {
            log.accept(order.text());
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
