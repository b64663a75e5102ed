package maplerail.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import maplerail.metrics.Metrics;
import maplerail.metrics.Metrics.Verdict;
import maplerail.routing.AttemptOutcome;

/**
 * Streams that another process started and this one continues. The routing policy is not involved, as their only
 * attempt already streams its response. Each stream ends once, as answered, errored or unwanted, or is released
 * to another process.
 */
final class AdoptedStreams {
    private final EventLoop loop;
    private final Metrics metrics;
    private final Set<Stream> streams = new LinkedHashSet<>();

    AdoptedStreams(EventLoop loop, Metrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Continues a stream; {@code connect} connects the engine's response to the given observer. */
    RequestHandle adopt(
            String requestClass,
            String requestId,
            ResponseObserver observer,
            double stallTimeoutMs,
            Function<AttemptObserver, AttemptHandle> connect) {
        Stream stream = new Stream(requestClass, requestId, observer, stallTimeoutMs);
        streams.add(stream);
        metrics.taken();
        stream.start(connect);
        return stream;
    }

    int size() {
        return streams.size();
    }

    /** Suspends at most {@code limit} streams, latest first; only streams between two events can be suspended. */
    List<SuspendedStream> suspend(int limit) {
        List<SuspendedStream> suspended = new ArrayList<>();
        List<Stream> latestFirst = new ArrayList<>(streams);
        Collections.reverse(latestFirst);
        for (Stream stream : latestFirst) {
            if (suspended.size() == limit) break;
            stream.suspend().ifPresent(suspended::add);
        }
        return suspended;
    }

    /** Aborts a share of the streams, oldest first; their clients resume them at other gateways. */
    void abort(double share) {
        List<Stream> all = streams.stream().filter(stream -> !stream.suspended).toList();
        all.subList(0, (int) Math.ceil(share * all.size())).forEach(Stream::abort);
    }

    private final class Stream implements AttemptObserver, RequestHandle, SuspendedStream.Owner {
        private final String requestClass;
        private final String requestId;
        private final ResponseObserver observer;
        private final double stallTimeoutMs;
        private AttemptHandle handle;
        private EventLoop.Timer stallTimer;
        private double lastEventMs;
        private boolean paused;
        private boolean suspended;
        private boolean closed;

        Stream(String requestClass, String requestId, ResponseObserver observer, double stallTimeoutMs) {
            this.requestClass = requestClass;
            this.requestId = requestId;
            this.observer = observer;
            this.stallTimeoutMs = stallTimeoutMs;
        }

        void start(Function<AttemptObserver, AttemptHandle> connect) {
            lastEventMs = loop.nowMs();
            handle = connect.apply(this);
            startStallTimer(stallTimeoutMs);
        }

        Optional<SuspendedStream> suspend() {
            if (paused || suspended || !handle.isBetweenEvents()) return Optional.empty();
            return observer.suspend().map(client -> {
                suspended = true;
                paused = true;
                return new SuspendedStream(requestClass, requestId, client, handle.suspend(), this);
            });
        }

        @Override
        public void release() {
            handle.release();
            observer.release();
            close(Verdict.UNWANTED);
        }

        @Override
        public void resume() {
            suspended = false;
            paused = false;
            lastEventMs = loop.nowMs();
            observer.resume();
            handle.resume();
        }

        @Override
        public void breakOff() {
            suspended = false;
            abort();
        }

        void abort() {
            if (!close(Verdict.ERRORED)) return;
            handle.abort();
            observer.onBroken();
        }

        private boolean close(Verdict verdict) {
            if (closed) return false;
            closed = true;
            stallTimer.cancel();
            streams.remove(this);
            metrics.ended();
            metrics.of(requestClass).count(verdict);
            return true;
        }

        /** Aborts a stream without events for the stall timeout, as {@link AttemptDispatcher} does. */
        private void startStallTimer(double delayMs) {
            stallTimer = loop.schedule(loop.nowMs() + delayMs, () -> {
                if (closed) return;
                double idleMs = paused ? 0 : loop.nowMs() - lastEventMs;
                if (idleMs >= stallTimeoutMs) abort();
                else startStallTimer(stallTimeoutMs - idleMs);
            });
        }

        @Override
        public void onSent() {}

        @Override
        public void onEvent(byte[] event) {
            if (closed) return;
            lastEventMs = loop.nowMs();
            if (observer.onEvent(event)) return;
            paused = true;
            handle.pause();
        }

        @Override
        public void onInvalidRequest() {
            onEnded(AttemptOutcome.RESET, 0);
        }

        @Override
        public void onEnded(AttemptOutcome outcome, double cachedTokens) {
            boolean complete = outcome == AttemptOutcome.COMPLETED;
            if (!close(complete ? Verdict.ANSWERED : Verdict.ERRORED)) return;
            if (complete) observer.onCompleted();
            else observer.onBroken();
        }

        @Override
        public void onClientDisconnected() {
            if (close(Verdict.UNWANTED)) handle.abort();
        }

        @Override
        public void onClientWritable() {
            if (closed || !paused) return;
            paused = false;
            lastEventMs = loop.nowMs();
            handle.resume();
        }
    }
}
