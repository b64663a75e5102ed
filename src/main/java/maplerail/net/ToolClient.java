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

/** Sends attempts to tool servers: one HTTP POST each, whose response counts once it is complete. */
public final class ToolClient implements EngineTransport {
    /** Replaces a response that is larger than its contract allows; the call has run. */
    public static final String TOO_LARGE_RESPONSE =
            "{\"error\":{\"code\":-32004,\"message\":\"the reply is larger than its"
                    + " contract allows\",\"data\":{\"outcome\":\"failed\",\"mayHaveRun\":true}}}";

    private static final HttpString ID = new HttpString("Req-Id");
    private static final HttpString DEADLINE = new HttpString("Req-Deadline");

    private final ConnectionPool pool;
    private final XnioEventLoop loop;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();

    /** Creates a client that takes its connections from a pool. */
    public ToolClient(ConnectionPool pool) {
        this.pool = pool;
        this.loop = pool.loop();
    }

    /** Replaces the addresses of all tool servers of the service. */
    public void setAddresses(Map<Long, InetSocketAddress> newAddresses) {
        addresses.clear();
        addresses.putAll(newAddresses);
    }

    @Override
    public AttemptHandle send(
            long engine,
            InferenceRequest inferenceRequest,
            double deadlineMs,
            ConnectionChoice connection,
            AttemptObserver observer) {
        ToolCallPayload payload = (ToolCallPayload) inferenceRequest.payload();
        ClientRequest httpRequest = HttpRequests.create(addresses.get(engine), Methods.POST, payload.path());
        httpRequest.getRequestHeaders().put(ID, inferenceRequest.id());
        double remainingSeconds = Math.max(1, deadlineMs - loop.nowMs()) / 1_000;
        httpRequest.getRequestHeaders().put(DEADLINE, String.format(Locale.ROOT, "%.3f", remainingSeconds));
        httpRequest.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        httpRequest.getRequestHeaders().put(Headers.ACCEPT, "application/json, text/event-stream");
        httpRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, payload.message().length);
        ToolResponseHandler handler = new ToolResponseHandler(observer, payload.maxResponseBytes());
        handler.call = pool.start(addresses.get(engine), httpRequest, payload.message(), handler, connection);
        return new EngineAttempt(handler.call, () -> false);
    }

    private static final class ToolResponseHandler implements ResponseHandler {
        private final AttemptObserver observer;
        private final int maxBytes;
        private final ByteArrayOutputStream bodyBytes = new ByteArrayOutputStream();
        private AttemptOutcome outcome;
        private boolean framed;
        private boolean invalidRequest;
        private boolean streaming;
        private final EventSplitter eventSplitter = new EventSplitter();
        private Call call;

        ToolResponseHandler(AttemptObserver observer, int maxBytes) {
            this.observer = observer;
            this.maxBytes = maxBytes;
        }

        @Override
        public boolean isWanted() {
            return observer.isNeeded();
        }

        @Override
        public void onWritten() {
            observer.onSent();
        }

        @Override
        public void onHead(int status, HeaderMap headers) {
            // A tool server has no state to hand over, so 202 is not a valid response to a call.
            outcome = status == 202 ? AttemptOutcome.ERROR : AttemptOutcomes.of(status, headers);
            invalidRequest = AttemptOutcomes.isInvalidRequest(status);
            String type = headers.getFirst(Headers.CONTENT_TYPE);
            streaming = type != null && type.startsWith("text/event-stream");
            framed = headers.contains(Headers.TRANSFER_ENCODING) || headers.contains(Headers.CONTENT_LENGTH);
        }

        /** The broker limits a stream by its messages, and any other response by the call's deadline. */
        @Override
        public boolean isLimitedByParts() {
            return outcome != AttemptOutcome.COMPLETED;
        }

        @Override
        public void onBody(ByteBuffer piece) {
            if (outcome != AttemptOutcome.COMPLETED) return;
            if (streaming) {
                if (!eventSplitter.feed(
                        piece, events -> EventSplitter.extractData(events).forEach(this::onMessage))) framed = false;
                return;
            }
            if (bodyBytes.size() + piece.remaining() > maxBytes) {
                completeAsTooLarge();
                return;
            }
            ResponseHandler.copy(piece, bodyBytes);
        }

        /** Handles a message of a streaming response: a notification such as progress, or the final response. */
        private void onMessage(String data) {
            byte[] text = data.getBytes(StandardCharsets.UTF_8);
            if (call.isDone()) return;
            if (text.length > maxBytes) {
                completeAsTooLarge();
                return;
            }
            observer.onEvent(text);
            Map<String, String> fields = Json.fields(data);
            if (fields == null || fields.containsKey("method")) return;
            // A server may leave its stream open after the final response; the call must not stay open with it.
            call.abort();
            observer.onEnded(AttemptOutcome.COMPLETED, 0);
        }

        private void completeAsTooLarge() {
            call.abort();
            observer.onEvent(TOO_LARGE_RESPONSE.getBytes(StandardCharsets.UTF_8));
            observer.onEnded(AttemptOutcome.COMPLETED, 0);
        }

        @Override
        public void onComplete() {
            if (invalidRequest) {
                // Otherwise a server would count as failing, and be ejected, for one client's invalid calls.
                observer.onInvalidRequest();
                return;
            }
            // A stream that has its final response never comes here: its call was ended with it.
            boolean complete = outcome == AttemptOutcome.COMPLETED && framed && !streaming;
            if (complete) observer.onEvent(bodyBytes.toByteArray());
            observer.onEnded(outcome == AttemptOutcome.COMPLETED && !complete ? AttemptOutcome.RESET : outcome, 0);
        }

        @Override
        public void onFailed(boolean neverSent) {
            observer.onEnded(AttemptOutcomes.ofIncomplete(outcome, neverSent), 0);
        }
    }

    /** Only used for reads, which tool servers don't do. */
    @Override
    public void closeIdleConnections(long engine) {}

    /** Tool servers hold no state for a request that has ended. */
    @Override
    public void release(long engine, Set<Long> others, String requestId, double untilMs, ReleaseControl control) {}
}
