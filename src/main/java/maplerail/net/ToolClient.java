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
import java.util.Set;
import maplerail.config.Json;
import maplerail.core.AttemptHandle;
import maplerail.core.AttemptObserver;
import maplerail.core.ConnectionChoice;
import maplerail.core.EngineTransport;
import maplerail.core.InferenceRequest;
import maplerail.core.ReleaseControl;
import maplerail.routing.AttemptOutcome;

/** Attempts at tool servers: one HTTP POST each, whose reply counts when it is whole. */
public final class ToolClient implements EngineTransport {
    /** What a reply that its contract does not allow is answered with: the call has run. */
    public static final String TOO_LARGE = "{\"error\":{\"code\":-32004,\"message\":\"the reply is larger than its"
            + " contract allows\",\"data\":{\"outcome\":\"failed\",\"mayHaveRun\":true}}}";

    private static final HttpString ID = new HttpString("Req-Id");
    private static final HttpString DEADLINE = new HttpString("Req-Deadline");

    private final Pool pool;
    private final XnioLoop loop;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();

    /** Makes a client that opens its connections from a pool. */
    public ToolClient(Pool pool) {
        this.pool = pool;
        this.loop = pool.loop();
    }

    /** Where a service's tool servers are: all of them, each time. */
    public void setAddresses(Map<Long, InetSocketAddress> news) {
        addresses.clear();
        addresses.putAll(news);
    }

    @Override
    public AttemptHandle send(
            long engine, InferenceRequest ask, double untilMs, ConnectionChoice connection, AttemptObserver answer) {
        ToolCallPayload cargo = (ToolCallPayload) ask.payload();
        ClientRequest request = HttpRequests.create(addresses.get(engine), Methods.POST, cargo.path());
        request.getRequestHeaders().put(ID, ask.id());
        double left = Math.max(1, untilMs - loop.nowMs()) / 1_000;
        request.getRequestHeaders().put(DEADLINE, String.format(Locale.ROOT, "%.3f", left));
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        request.getRequestHeaders().put(Headers.ACCEPT, "application/json, text/event-stream");
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, cargo.message().length);
        Incoming incoming = new Incoming(answer, cargo.maxResponseBytes());
        incoming.call = pool.start(addresses.get(engine), request, cargo.message(), incoming, connection);
        return new EngineAttempt(incoming.call, () -> false);
    }

    private static final class Incoming implements Reply {
        private final AttemptObserver answer;
        private final int most;
        private final ByteArrayOutputStream text = new ByteArrayOutputStream();
        private AttemptOutcome meaning;
        private boolean framed;
        private boolean unfit;
        private boolean streams;
        private final EventSplitter events = new EventSplitter();
        private Call call;

        Incoming(AttemptObserver answer, int most) {
            this.answer = answer;
            this.most = most;
        }

        @Override
        public boolean wanted() {
            return answer.isNeeded();
        }

        @Override
        public void written() {
            answer.onSent();
        }

        @Override
        public void head(int status, HeaderMap headers) {
            // A tool server has no state to hand over: 202 is no answer that a call could end with.
            meaning = status == 202 ? AttemptOutcome.ERROR : Outcomes.of(status, headers);
            unfit = Outcomes.unfit(status);
            String type = headers.getFirst(Headers.CONTENT_TYPE);
            streams = type != null && type.startsWith("text/event-stream");
            framed = headers.contains(Headers.TRANSFER_ENCODING) || headers.contains(Headers.CONTENT_LENGTH);
        }

        @Override
        public void body(ByteBuffer piece) {
            if (meaning != AttemptOutcome.COMPLETED) return;
            if (streams) {
                if (!events.feed(
                        piece, whole -> EventSplitter.extractData(whole).forEach(this::message))) framed = false;
                return;
            }
            if (text.size() + piece.remaining() > most) {
                tooLarge();
                return;
            }
            while (piece.hasRemaining()) text.write(piece.get());
        }

        /** A message of a reply that comes as events: progress, or in the end the answer. */
        private void message(String data) {
            byte[] text = data.getBytes(StandardCharsets.UTF_8);
            if (call.done()) return;
            if (text.length > most) {
                tooLarge();
                return;
            }
            answer.onEvent(text);
            Map<String, String> fields = Json.fields(data);
            if (fields == null || fields.containsKey("method")) return;
            // Guards against a server that leaves its stream open behind the answer: the call would stay open with it.
            call.abort();
            answer.onEnded(AttemptOutcome.COMPLETED, 0);
        }

        private void tooLarge() {
            call.abort();
            answer.onEvent(TOO_LARGE.getBytes(StandardCharsets.UTF_8));
            answer.onEnded(AttemptOutcome.COMPLETED, 0);
        }

        @Override
        public void end() {
            if (unfit) {
                // Guards against a server held to be failing, and ejected, for one caller's wrong calls.
                answer.onInvalidRequest();
                return;
            }
            boolean whole = meaning == AttemptOutcome.COMPLETED && framed;
            if (whole && !streams) answer.onEvent(text.toByteArray());
            answer.onEnded(meaning == AttemptOutcome.COMPLETED && !whole ? AttemptOutcome.RESET : meaning, 0);
        }

        @Override
        public void failed(boolean neverSent) {
            answer.onEnded(Outcomes.broken(meaning, neverSent), 0);
        }
    }

    /** Only asked for reads, of which tool servers have none. */
    @Override
    public void closeIdleConnections(long engine) {}

    /** Tool servers hold nothing for a request that has ended. */
    @Override
    public void release(long engine, Set<Long> others, String id, double untilMs, ReleaseControl gate) {}
}
