package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import maplerail.Router.Outcome;
import maplerail.config.ConfigException;
import maplerail.config.Tree;
import maplerail.core.Ask;
import maplerail.core.Engines;
import maplerail.core.Loop;

/** Attempts and releases on the platform's wire. */
public final class EngineClient implements Engines {
    private static final HttpString DEADLINE = new HttpString("Req-Deadline");
    private static final double AGAIN_MS = 60; // between two tries at a release
    private static final double SILENT_MS = 200; // after which a release that was not answered is tried again
    private static final int MOST_READ = 64 * 1024; // of an answer that is no stream

    private final Pool pool;
    private final XnioLoop loop;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();

    /** Makes a client that opens its connections from a pool. */
    public EngineClient(Pool pool) {
        this.pool = pool;
        this.loop = pool.loop();
    }

    /** Where engines are; one that left the list stays known, as something may be held there. */
    public void addresses(Map<Long, InetSocketAddress> news) {
        addresses.putAll(news);
    }

    @Override
    public Sending send(long engine, Ask ask, double untilMs, Answer answer) {
        HttpCargo cargo = (HttpCargo) ask.cargo();
        InetSocketAddress to = addresses.get(engine);
        ClientRequest request = Requests.to(to, cargo.method(), cargo.target());
        for (Map.Entry<HttpString, String> header : cargo.headers()) {
            request.getRequestHeaders().add(header.getKey(), header.getValue());
        }
        double left = Math.max(1, untilMs - loop.nowMs()) / 1_000;
        request.getRequestHeaders().put(DEADLINE, String.format(Locale.ROOT, "%.3f", left));
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, cargo.body().length);
        Call call = pool.start(to, request, cargo.body(), new Incoming(answer));
        return new Sent(call);
    }

    /** An engine's answer, told as an outcome. */
    private static final class Incoming implements Reply {
        private final Answer answer;
        private final EventSplitter events = new EventSplitter();
        private final ByteArrayOutputStream text = new ByteArrayOutputStream();
        private Outcome meaning;
        private boolean framed;
        private boolean unfit;

        Incoming(Answer answer) {
            this.answer = answer;
        }

        @Override
        public void head(int status, HeaderMap headers) {
            meaning = Outcomes.of(status, headers);
            unfit = Outcomes.unfit(status);
            // Without framing the end of the connection is no sign of a whole answer.
            framed = headers.contains(Headers.TRANSFER_ENCODING) || headers.contains(Headers.CONTENT_LENGTH);
        }

        @Override
        public void body(ByteBuffer piece) {
            if (meaning == Outcome.SERVED) {
                if (!events.feed(piece, answer::event)) framed = false;
            } else if (text.size() < MOST_READ) {
                while (piece.hasRemaining()) text.write(piece.get());
            }
        }

        @Override
        public void end() {
            if (unfit) {
                answer.unfit();
                return;
            }
            if (meaning == Outcome.SERVED && framed && events.rest().length > 0) answer.event(events.rest());
            answer.ended(meaning == Outcome.SERVED && !framed ? Outcome.RESET : meaning, kept());
        }

        private double kept() {
            if (meaning != Outcome.READ) return 0;
            try {
                return Tree.any("read", text.toString(StandardCharsets.UTF_8)).at("cached_tokens").number(0);
            } catch (ConfigException e) {
                return 0;
            }
        }

        @Override
        public void failed(boolean neverSent) {
            answer.ended(Outcomes.broken(meaning, neverSent), 0);
        }
    }

    @Override
    public void release(long engine, String id, double untilMs) {
        InetSocketAddress to = addresses.get(engine);
        if (to != null) new Release(to, "/internal/reservations/" + id, untilMs).attempt();
    }

    /** A release goes on until it is answered or too late: the time runs while connections fail to come up. */
    private final class Release implements Reply {
        private final InetSocketAddress to;
        private final String target;
        private final double untilMs;
        private Call call;
        private Loop.Alarm silence;

        Release(InetSocketAddress to, String target, double untilMs) {
            this.to = to;
            this.target = target;
            this.untilMs = untilMs;
        }

        void attempt() {
            call = pool.start(to, Requests.to(to, Methods.DELETE, target), new byte[0], this);
            silence = loop.at(loop.nowMs() + SILENT_MS, this::silent);
        }

        private void silent() {
            // One that still waits for a connection keeps its place; the pool says so when it has none in time.
            if (call.unsent()) {
                silence = loop.at(loop.nowMs() + SILENT_MS, this::silent);
                return;
            }
            call.abort();
            again(0);
        }

        private void again(double afterMs) {
            silence.cancel();
            if (loop.nowMs() + afterMs < untilMs) loop.at(loop.nowMs() + afterMs, this::attempt);
        }

        @Override
        public void head(int status, HeaderMap headers) {
            silence.cancel();
        }

        @Override
        public void body(ByteBuffer piece) { }

        @Override
        public void end() { }

        @Override
        public void failed(boolean neverSent) {
            again(AGAIN_MS);
        }
    }
}
