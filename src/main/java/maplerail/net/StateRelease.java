package maplerail.net;

import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import maplerail.core.ConnectionChoice;
import maplerail.core.EventLoop;
import maplerail.core.ReleaseControl;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One release of the state that an engine holds for a request. It is repeated until that engine, the holder, has
 * answered or its time is over: a call that was written proves nothing, as its connection may have failed without an
 * error. If the holder does not answer at once, the release is also sent on a new connection, and to other engines, two
 * at a time, as any engine can release a state. Once one of those has answered, the release is only repeated for state
 * that the holder may create later: see {@link UnresponsiveHolders}.
 */
final class StateRelease {
    private static final Logger LOG = LoggerFactory.getLogger(StateRelease.class);
    private static final double FIRST_RETRY_DELAY_MS = 60; // after the first failed call; doubled each time
    private static final double MAX_RETRY_DELAY_MS = 240;
    private static final double CALL_TIMEOUT_MS = 150; // after which an unanswered call is aborted and repeated
    private static final double FALLBACK_INTERVAL_MS = 60; // after which other engines are tried too, a few at a time
    private static final int MAX_OTHERS_AT_ONCE = 2;

    private final ConnectionPool pool;
    private final EventLoop loop;
    private final Metrics metrics;
    private final UnresponsiveHolders unresponsiveHolders;
    private final InetSocketAddress holder;
    private final List<InetSocketAddress> otherEngines;
    private final ArrayDeque<InetSocketAddress> untriedEngines = new ArrayDeque<>();
    private final String requestId;
    private final Runnable onEnd;
    private final Set<ReleaseCall> openCalls = new HashSet<>();
    private ReleaseControl control;
    private double untilMs;
    private double retryDelayMs = FIRST_RETRY_DELAY_MS;
    private boolean retryPending;
    private boolean triedNewConnection;
    private boolean answered;
    private boolean holderAnswered;
    private boolean ended;
    private double startedMs;
    private int callCount;

    /**
     * Creates a release; nothing is sent before {@link #start}.
     *
     * @param holder the engine that may hold the state
     * @param otherEngines other engines to send it to, in order of preference
     * @param untilMs the time until which it is repeated
     * @param control decides whether it may be sent again; while it may not, the release waits
     * @param onEnd is run once, when its holder has answered or its time is over
     */
    StateRelease(
            ConnectionPool pool,
            Metrics metrics,
            UnresponsiveHolders unresponsiveHolders,
            InetSocketAddress holder,
            List<InetSocketAddress> otherEngines,
            String requestId,
            double untilMs,
            ReleaseControl control,
            Runnable onEnd) {
        this.pool = pool;
        this.loop = pool.loop();
        this.metrics = metrics;
        this.unresponsiveHolders = unresponsiveHolders;
        this.holder = holder;
        this.otherEngines = otherEngines;
        this.requestId = requestId;
        this.untilMs = untilMs;
        this.control = control;
        this.onEnd = onEnd;
    }

    /** Starts the first call, on a new connection if the open ones may have failed without an error. */
    void start(ConnectionChoice connection) {
        metrics.count(EventCount.RELEASES);
        startedMs = loop.nowMs();
        untriedEngines.addAll(otherEngines);
        loop.schedule(untilMs, this::checkExpiry);
        triedNewConnection = connection == ConnectionChoice.NEW;
        startCall(holder, connection);
        loop.schedule(loop.nowMs() + FALLBACK_INTERVAL_MS, this::tryFallbacks);
    }

    /** Sends the release again at once, under a control that replaces the previous one. */
    void renew(double newUntilMs, ReleaseControl newControl) {
        ReleaseControl previousControl = control;
        control = newControl;
        answered = false;
        untilMs = Math.max(untilMs, newUntilMs);
        if (!previousControl.equals(newControl)) previousControl.onEnded(false);
        untriedEngines.clear();
        untriedEngines.addAll(otherEngines);
        startCall(holder, triedNewConnection ? ConnectionChoice.NEW : ConnectionChoice.ANY);
        loop.schedule(loop.nowMs() + FALLBACK_INTERVAL_MS, this::tryFallbacks);
    }

    private void checkExpiry() {
        if (ended) return;
        boolean continues = loop.nowMs() < untilMs || !answered && !control.maySend();
        if (continues) loop.schedule(Math.max(untilMs, loop.nowMs() + CALL_TIMEOUT_MS), this::checkExpiry);
        else end();
    }

    private void end() {
        if (ended) return;
        ended = true;
        unresponsiveHolders.remove(holder, this);
        onEnd.run();
        control.onEnded(holderAnswered);
        if (answered) return;
        metrics.count(EventCount.RELEASES_UNANSWERED);
        LOG.info("release unanswered request={} holder={} calls={}", requestId, holder, callCount);
    }

    /** Logs a release that took more than one call: which engine answered first, and when. */
    private void logLateAnswer(InetSocketAddress engine) {
        double afterMs = loop.nowMs() - startedMs;
        if (afterMs < CALL_TIMEOUT_MS) return;
        metrics.count(EventCount.RELEASES_ANSWERED_LATE);
        LOG.info(
                "release answered late request={} holder={} by={} after_ms={} calls={}",
                requestId,
                holder,
                engine,
                Math.round(afterMs),
                callCount);
    }

    /** Calls the holder again after a delay, as soon as the release may be sent. */
    private void scheduleRetry() {
        if (retryPending || ended) return;
        retryPending = true;
        loop.schedule(loop.nowMs() + retryDelayMs, () -> {
            retryPending = false;
            if (ended) return;
            boolean urgent = !answered;
            if (control.maySend() && (urgent || unresponsiveHolders.mayRetry(holder, this)))
                startCall(holder, ConnectionChoice.NEW);
            else scheduleRetry();
        });
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelayMs);
    }

    /** Called when the holder has answered another release, so that it is reachable again. */
    private void onHolderReachable() {
        if (!ended && control.maySend()) startCall(holder, ConnectionChoice.ANY);
    }

    private void startCall(InetSocketAddress engine, ConnectionChoice connection) {
        if (ended) return;
        metrics.count(EventCount.RELEASE_CALLS);
        callCount++;
        ReleaseCall releaseCall = new ReleaseCall(engine);
        openCalls.add(releaseCall);
        releaseCall.start(connection);
    }

    /** Tries a new connection to the holder, and other engines, for as long as no engine has answered. */
    private void tryFallbacks() {
        if (answered || ended) return;
        if (control.maySend()) {
            if (!triedNewConnection) startCall(holder, ConnectionChoice.NEW);
            triedNewConnection = true;
            tryOtherEngines();
        }
        loop.schedule(loop.nowMs() + FALLBACK_INTERVAL_MS, this::tryFallbacks);
    }

    /** Calls the other engines in turn, a few at a time; after the last, it starts over once few calls are open. */
    private void tryOtherEngines() {
        if (untriedEngines.isEmpty() && openCalls.size() < MAX_OTHERS_AT_ONCE) untriedEngines.addAll(otherEngines);
        for (int i = 0; i < MAX_OTHERS_AT_ONCE && !untriedEngines.isEmpty(); i++)
            startCall(untriedEngines.poll(), ConnectionChoice.NEW);
    }

    /** Called when a call could not be sent or its connection broke: its engine is unavailable for now. */
    private void onCallFailed(InetSocketAddress engine) {
        if (engine.equals(holder)) scheduleRetry();
        if (!answered && !ended && control.maySend()) tryOtherEngines();
    }

    private void onCallAnswered(InetSocketAddress engine) {
        boolean first = !answered;
        answered = true;
        if (first) logLateAnswer(engine);
        boolean byHolder = engine.equals(holder);
        if (byHolder) holderAnswered = true;
        if (first) control.onReleased();
        if (!byHolder) return;
        control.onHolderResponded();
        List<StateRelease> waiting = unresponsiveHolders.onAnswered(holder);
        end();
        waiting.forEach(StateRelease::onHolderReachable);
    }

    /** One call to one engine. */
    private final class ReleaseCall implements ResponseHandler {
        private final InetSocketAddress engine;
        private Call call;
        private EventLoop.Timer timeoutTimer;
        private boolean finished;

        ReleaseCall(InetSocketAddress engine) {
            this.engine = engine;
        }

        void start(ConnectionChoice connection) {
            var request = HttpRequests.create(engine, Methods.DELETE, "/internal/reservations/" + requestId);
            call = pool.start(engine, request, new byte[0], this, connection);
            timeoutTimer = loop.schedule(loop.nowMs() + CALL_TIMEOUT_MS, this::onTimeout);
        }

        private void onTimeout() {
            if (finished) return;
            // A call that still waits for a connection stays queued; the pool fails it if it gets none in time.
            if (call.isUnsent()) {
                timeoutTimer = loop.schedule(loop.nowMs() + CALL_TIMEOUT_MS, this::onTimeout);
                return;
            }
            LOG.debug("release not answered request={} engine={}", requestId, engine);
            finish();
            call.abort();
            // Other connections to this engine may have failed at the same time.
            pool.closeIdle(engine);
            if (engine.equals(holder)) scheduleRetry();
        }

        private void finish() {
            finished = true;
            openCalls.remove(this);
            if (timeoutTimer != null) timeoutTimer.cancel();
        }

        @Override
        public void onHead(int status, HeaderMap headers) {
            finish();
            onCallAnswered(engine);
        }

        @Override
        public void onBody(ByteBuffer piece) {}

        @Override
        public void onComplete() {}

        @Override
        public void onFailed(boolean neverSent) {
            finish();
            LOG.debug("release failed request={} engine={} never_sent={}", requestId, engine, neverSent);
            onCallFailed(engine);
        }
    }
}
