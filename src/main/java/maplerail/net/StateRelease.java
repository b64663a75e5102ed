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
 * One release of what engines hold for a request. It is repeated until its own engine has answered or its time is over: that
 * a call was written proves nothing, as its connection may have fallen silent. What its engine does not answer at once is
 * asked on a new connection, and of other engines too, two at a time, as any engine can release a state. Once one of those
 * has answered, only what its own engine leaves later is open: see {@link SilentHolders}.
 */
final class StateRelease {
    private static final Logger LOG = LoggerFactory.getLogger(StateRelease.class);
    private static final double RETRY_MS = 60; // after a call that failed, at first; doubled each time
    private static final double MAX_RETRY_MS = 240;
    private static final double SILENT_MS = 150; // after which a call without an answer is given up and made again
    private static final double UNANSWERED_MS = 60; // after which others are asked too, a few at a time
    private static final int OTHERS_AT_ONCE = 2;

    private final Pool pool;
    private final EventLoop loop;
    private final Metrics metrics;
    private final SilentHolders silentHolders;
    private final InetSocketAddress holder;
    private final List<InetSocketAddress> others;
    private final ArrayDeque<InetSocketAddress> unasked = new ArrayDeque<>();
    private final String requestId;
    private final Runnable onOver;
    private final Set<ReleaseCall> open = new HashSet<>();
    private ReleaseControl gate;
    private double untilMs;
    private double retryMs = RETRY_MS;
    private boolean retryPending;
    private boolean askedAnew;
    private boolean answered;
    private boolean holderAnswered;
    private boolean ended;
    private double startedMs;
    private int calls;

    /**
     * Creates a release; nothing is sent before {@link #start}.
     *
     * @param holder the engine that may hold the state
     * @param others the engines that may be asked as well, in the order in which they are
     * @param untilMs the time until which it is repeated
     * @param gate says whether it may be sent again; it goes on once it may
     * @param onOver is run once, when it has been answered by its holder or its time is over
     */
    StateRelease(
            Pool pool,
            Metrics metrics,
            SilentHolders silentHolders,
            InetSocketAddress holder,
            List<InetSocketAddress> others,
            String requestId,
            double untilMs,
            ReleaseControl gate,
            Runnable onOver) {
        this.pool = pool;
        this.loop = pool.loop();
        this.metrics = metrics;
        this.silentHolders = silentHolders;
        this.holder = holder;
        this.others = others;
        this.requestId = requestId;
        this.untilMs = untilMs;
        this.gate = gate;
        this.onOver = onOver;
    }

    /** Makes the first call, on a new connection if the open ones are suspected of being silent. */
    void start(ConnectionChoice connection) {
        metrics.count(EventCount.RELEASES);
        startedMs = loop.nowMs();
        unasked.addAll(others);
        loop.schedule(untilMs, this::checkEnd);
        askedAnew = connection == ConnectionChoice.NEW;
        call(holder, connection);
        loop.schedule(loop.nowMs() + UNANSWERED_MS, this::askAnew);
    }

    /** The same release is wanted again, by a gate that takes the place of the one before: it is made once more at once. */
    void renew(double newUntilMs, ReleaseControl newGate) {
        ReleaseControl before = gate;
        gate = newGate;
        answered = false;
        untilMs = Math.max(untilMs, newUntilMs);
        if (!before.equals(newGate)) before.onEnded(false);
        unasked.clear();
        unasked.addAll(others);
        call(holder, askedAnew ? ConnectionChoice.NEW : ConnectionChoice.ANY);
        loop.schedule(loop.nowMs() + UNANSWERED_MS, this::askAnew);
    }

    private void checkEnd() {
        if (ended) return;
        boolean goesOn = loop.nowMs() < untilMs || !answered && !gate.maySend();
        if (goesOn) loop.schedule(Math.max(untilMs, loop.nowMs() + SILENT_MS), this::checkEnd);
        else end();
    }

    private void end() {
        if (ended) return;
        ended = true;
        silentHolders.remove(holder, this);
        onOver.run();
        gate.onEnded(holderAnswered);
        if (answered) return;
        metrics.count(EventCount.RELEASES_UNANSWERED);
        LOG.info("release unanswered request={} holder={} calls={}", requestId, holder, calls);
    }

    /** A release that took more than one call is one line of the log: who answered in the end, and when. */
    private void logFirstAnswer(InetSocketAddress engine) {
        double afterMs = loop.nowMs() - startedMs;
        if (afterMs < SILENT_MS) return;
        metrics.count(EventCount.RELEASES_ANSWERED_LATE);
        LOG.info(
                "release answered late request={} holder={} by={} after_ms={} calls={}",
                requestId,
                holder,
                engine,
                Math.round(afterMs),
                calls);
    }

    /** Asks its own engine again after a while, once that harms nothing. */
    private void retry() {
        if (retryPending || ended) return;
        retryPending = true;
        loop.schedule(loop.nowMs() + retryMs, () -> {
            retryPending = false;
            if (ended) return;
            boolean urgent = !answered;
            if (gate.maySend() && (urgent || silentHolders.mayTry(holder, this))) call(holder, ConnectionChoice.NEW);
            else retry();
        });
        retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
    }

    /** The holder has answered another release: it runs again. */
    private void onHolderReachable() {
        if (!ended && gate.maySend()) call(holder, ConnectionChoice.ANY);
    }

    private void call(InetSocketAddress engine, ConnectionChoice connection) {
        if (ended) return;
        metrics.count(EventCount.RELEASE_CALLS);
        calls++;
        ReleaseCall made = new ReleaseCall(engine);
        open.add(made);
        made.start(connection);
    }

    /** Asks on a new connection, and other engines, for as long as nobody has answered. */
    private void askAnew() {
        if (answered || ended) return;
        if (gate.maySend()) {
            if (!askedAnew) call(holder, ConnectionChoice.NEW);
            askedAnew = true;
            askOthers();
        }
        loop.schedule(loop.nowMs() + UNANSWERED_MS, this::askAnew);
    }

    /** Each in turn; where all have failed, from the first again, but no more at once than a few. */
    private void askOthers() {
        if (unasked.isEmpty() && open.size() < OTHERS_AT_ONCE) unasked.addAll(others);
        for (int i = 0; i < OTHERS_AT_ONCE && !unasked.isEmpty(); i++) call(unasked.poll(), ConnectionChoice.NEW);
    }

    /** A call could not be made or its connection broke: its engine is no use for now. */
    private void onFailed(InetSocketAddress engine) {
        if (engine.equals(holder)) retry();
        if (!answered && !ended && gate.maySend()) askOthers();
    }

    private void onAnswer(InetSocketAddress engine) {
        boolean first = !answered;
        answered = true;
        if (first) logFirstAnswer(engine);
        boolean byHolder = engine.equals(holder);
        if (byHolder) holderAnswered = true;
        if (first) gate.onReleased();
        if (!byHolder) return;
        gate.onHolderResponded();
        List<StateRelease> waiting = silentHolders.onAnswered(holder);
        end();
        waiting.forEach(StateRelease::onHolderReachable);
    }

    /** One call at one engine. */
    private final class ReleaseCall implements Reply {
        private final InetSocketAddress engine;
        private Call call;
        private EventLoop.Timer silence;
        private boolean over;

        ReleaseCall(InetSocketAddress engine) {
            this.engine = engine;
        }

        void start(ConnectionChoice connection) {
            var request = HttpRequests.create(engine, Methods.DELETE, "/internal/reservations/" + requestId);
            call = pool.start(engine, request, new byte[0], this, connection);
            silence = loop.schedule(loop.nowMs() + SILENT_MS, this::onSilence);
        }

        private void onSilence() {
            if (over) return;
            // One that still waits for a connection keeps its place; the pool says so when it has none in time.
            if (call.unsent()) {
                silence = loop.schedule(loop.nowMs() + SILENT_MS, this::onSilence);
                return;
            }
            LOG.debug("release not answered request={} engine={}", requestId, engine);
            finish();
            call.abort();
            // What else is open there may have fallen silent in the same moment.
            pool.closeIdle(engine);
            if (engine.equals(holder)) retry();
        }

        private void finish() {
            over = true;
            open.remove(this);
            if (silence != null) silence.cancel();
        }

        @Override
        public void head(int status, HeaderMap headers) {
            finish();
            onAnswer(engine);
        }

        @Override
        public void body(ByteBuffer piece) {}

        @Override
        public void end() {}

        @Override
        public void failed(boolean neverSent) {
            finish();
            LOG.debug("release failed request={} engine={} never_sent={}", requestId, engine, neverSent);
            onFailed(engine);
        }
    }
}
