package maplerail.core;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import maplerail.metrics.Metrics;
import maplerail.metrics.Metrics.Verdict;
import maplerail.routing.AttemptOutcome;

/**
 * Streams that another process began and this one goes on with. They are no matter of the decision module: their one
 * attempt is the caller's already. Each ends once, as served, broken or unwanted, or is handed on again.
 */
final class Inherited {
    private final Loop loop;
    private final Metrics metrics;
    private final Set<Stream> streams = new LinkedHashSet<>();

    Inherited(Loop loop, Metrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Goes on with a stream; {@code begin} connects the engine's answer, whose events are the caller's. */
    Ticket take(
            String kind, String id, Caller caller, double stallMs, Function<Engines.Answer, Engines.Sending> begin) {
        Stream stream = new Stream(kind, id, caller, stallMs);
        streams.add(stream);
        metrics.taken();
        stream.heardMs = loop.nowMs();
        stream.sending = begin.apply(stream);
        stream.watch(stallMs);
        return stream;
    }

    int size() {
        return streams.size();
    }

    /** Hands on at most so many of those that are between two events. */
    List<Broker.Moving> yieldStreams(int most) {
        List<Broker.Moving> out = new ArrayList<>();
        for (Stream stream : List.copyOf(streams)) {
            if (out.size() == most) break;
            if (stream.paused || !stream.sending.between()) continue;
            Object client = stream.caller.handOn();
            if (client == null) continue;
            Object engine = stream.sending.handOn();
            stream.close(Verdict.UNWANTED);
            out.add(new Broker.Moving(stream.kind, stream.id, client, engine));
        }
        return out;
    }

    /** Ends a share of them, the oldest first: their clients ask for the rest elsewhere. */
    void breakOff(double share) {
        List<Stream> all = List.copyOf(streams);
        for (Stream stream : all.subList(0, (int) Math.ceil(share * all.size()))) stream.cut();
    }

    private final class Stream implements Engines.Answer, Ticket {
        private final String kind;
        private final String id;
        private final Caller caller;
        private final double stallMs;
        private Engines.Sending sending;
        private Loop.Alarm alarm;
        private double heardMs;
        private boolean paused;
        private boolean closed;

        Stream(String kind, String id, Caller caller, double stallMs) {
            this.kind = kind;
            this.id = id;
            this.caller = caller;
            this.stallMs = stallMs;
        }

        private boolean close(Verdict verdict) {
            if (closed) return false;
            closed = true;
            alarm.cancel();
            streams.remove(this);
            metrics.ended();
            metrics.of(kind).count(verdict);
            return true;
        }

        /** Guards against an engine that falls silent in the middle of a stream, as in {@link Send}. */
        private void watch(double afterMs) {
            alarm = loop.at(loop.nowMs() + afterMs, () -> {
                double quietMs = paused ? 0 : loop.nowMs() - heardMs;
                if (quietMs >= stallMs) cut();
                else watch(stallMs - quietMs);
            });
        }

        private void cut() {
            if (!close(Verdict.ERRORED)) return;
            sending.abort();
            caller.broken();
        }

        @Override
        public void written() {}

        @Override
        public void event(byte[] event) {
            if (closed) return;
            heardMs = loop.nowMs();
            if (caller.event(event)) return;
            paused = true;
            sending.pause();
        }

        @Override
        public void unfit() {
            ended(AttemptOutcome.RESET, 0);
        }

        @Override
        public void ended(AttemptOutcome outcome, double kept) {
            boolean whole = outcome == AttemptOutcome.COMPLETED;
            if (!close(whole ? Verdict.ANSWERED : Verdict.ERRORED)) return;
            if (whole) caller.end();
            else caller.broken();
        }

        @Override
        public void gone() {
            if (close(Verdict.UNWANTED)) sending.abort();
        }

        @Override
        public void writable() {
            if (closed || !paused) return;
            paused = false;
            heardMs = loop.nowMs();
            sending.resume();
        }
    }
}
