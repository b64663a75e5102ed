package maplerail.core;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import maplerail.metrics.Metrics;
import maplerail.metrics.Metrics.Verdict;
import maplerail.routing.AttemptOutcome;

/**
 * Streams that another process began and this one continues. The routing policy has no part in them: their only attempt
 * answers already. Each ends once, as answered, errored or unwanted, or is detached again.
 */
final class AdoptedStreams {
    private final EventLoop loop;
    private final Metrics metrics;
    private final Set<Stream> streams = new LinkedHashSet<>();

    AdoptedStreams(EventLoop loop, Metrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Continues a stream; {@code connect} connects the engine's answer to the observer that it is given. */
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

    /** Detaches at most {@code limit} of the streams, those that are between two events. */
    List<DetachedStream> detach(int limit) {
        List<DetachedStream> detached = new ArrayList<>();
        for (Stream stream : List.copyOf(streams)) {
            if (detached.size() == limit) break;
            stream.detach().ifPresent(detached::add);
        }
        return detached;
    }

    /** Breaks a share of the streams off, the oldest first: their clients ask for the rest elsewhere. */
    void breakOff(double share) {
        List<Stream> all = List.copyOf(streams);
        all.subList(0, (int) Math.ceil(share * all.size())).forEach(Stream::breakOff);
    }

    private final class Stream implements AttemptObserver, RequestHandle {
        private final String requestClass;
        private final String requestId;
        private final ResponseObserver observer;
        private final double stallTimeoutMs;
        private AttemptHandle handle;
        private EventLoop.Timer stallTimer;
        private double lastEventMs;
        private boolean paused;
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
            watchForStall(stallTimeoutMs);
        }

        Optional<DetachedStream> detach() {
            if (paused || !handle.isBetweenEvents()) return Optional.empty();
            return observer.detachConnection().map(client -> {
                Object engine = handle.detachConnection();
                close(Verdict.UNWANTED);
                return new DetachedStream(requestClass, requestId, client, engine);
            });
        }

        void breakOff() {
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

        /** An engine that falls silent in the middle of a stream is given up, as in {@link AttemptDispatcher}. */
        private void watchForStall(double afterMs) {
            stallTimer = loop.schedule(loop.nowMs() + afterMs, () -> {
                if (closed) return;
                double silentMs = paused ? 0 : loop.nowMs() - lastEventMs;
                if (silentMs >= stallTimeoutMs) breakOff();
                else watchForStall(stallTimeoutMs - silentMs);
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
