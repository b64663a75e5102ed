package maplerail.front.jsonrpc;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import maplerail.config.ConfigException;
import maplerail.config.Json;
import maplerail.config.Tree;
import maplerail.core.ClientPresence;
import maplerail.core.RequestHandle;
import maplerail.core.ResponseObserver;
import maplerail.rpc.BatchResponse;
import maplerail.rpc.SessionState;

/** One client's session over any transport, with concurrent streamed answers and tool calls. */
final class Session {
    private static final int MAX_OPEN_REQUESTS = 64;
    private static final int MAX_BATCH_SIZE = 32; // messages
    private static final double RETRY_AFTER_MS = 100;

    private final int team;
    private final Dispatcher dispatcher;
    private final SessionState state;
    private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
    private boolean closed;

    /** Dispatches the requests of sessions to their methods. */
    interface Dispatcher {
        /** Starts a request; {@code null} if it was answered immediately. */
        RequestHandle start(int team, RpcMessage message, PendingRequest pending);

        /** True while new requests are accepted. */
        boolean isAccepting();

        /** Reports that a message could not be processed for a fault of this server. */
        void onFailure(RuntimeException failure);
    }

    Session(int team, Dispatcher dispatcher, boolean handshake) {
        this.team = team;
        this.dispatcher = dispatcher;
        this.state = new SessionState(handshake);
    }

    int team() {
        return team;
    }

    SessionState state() {
        return state;
    }

    /** Processes a message or a batch; returns the number of responses that were or will be sent. */
    int receive(String text, MessageSender sender) {
        if (!text.stripLeading().startsWith("[")) return receiveSingle(text, sender);
        List<String> messages = Json.elements(text);
        if (messages == null || messages.isEmpty() || messages.size() > MAX_BATCH_SIZE) {
            sender.sendResponse(
                    messages == null
                            ? RpcError.PARSE_ERROR.response("null")
                            : RpcError.INVALID_REQUEST.response(
                                    "null", "a batch of 1 to " + MAX_BATCH_SIZE + " messages", ""));
            return 1;
        }
        BatchResponse batch = new BatchResponse(sender::sendResponse);
        MessageSender batchSender = new MessageSender() {
            @Override
            public void sendEvent(String message) {
                sender.sendEvent(message);
            }

            @Override
            public void sendResponse(String message) {
                batch.addResponse(message);
            }

            @Override
            public boolean isSlow() {
                return sender.isSlow();
            }

            @Override
            public ClientPresence pollClient() {
                return sender.pollClient();
            }
        };
        for (String message : messages) batch.expectResponses(receiveSingle(message, batchSender));
        return batch.seal();
    }

    /** Refuses a message that was not kept; its id, if it is known, is left out where a request with that id is open. */
    void refuse(Optional<String> id, String reason, MessageSender sender) {
        String responseId =
                id.filter(known -> !pendingRequests.containsKey(known)).orElse("null");
        sender.sendResponse(RpcError.refusedResponse(responseId, reason, RETRY_AFTER_MS));
    }

    private int receiveSingle(String text, MessageSender sender) {
        RpcMessage message;
        try {
            message = RpcMessage.parse(text);
        } catch (RpcMessage.MalformedMessageException e) {
            sender.sendResponse(e.errorResponse());
            return 1;
        } catch (RuntimeException e) {
            dispatcher.onFailure(e);
            sender.sendResponse(RpcError.INTERNAL_ERROR.response("null"));
            return 1;
        }
        if (message.isResponse()) return 0; // this server sends no requests that could be answered
        if (message.id() == null) {
            handleNotification(message);
            return 0; // a notification has no response
        }
        handleRequest(message, sender);
        return 1;
    }

    private void handleNotification(RpcMessage message) {
        try {
            if (message.method().equals("notifications/cancelled")) cancel(message);
            if (message.method().equals("notifications/initialized")) state.onInitialized();
        } catch (RuntimeException e) {
            dispatcher.onFailure(e);
        }
    }

    private void handleRequest(RpcMessage message, MessageSender sender) {
        if (pendingRequests.containsKey(message.id())) {
            // The client would take a response with this id for the first request's response.
            sender.sendResponse(RpcError.INVALID_REQUEST.response(
                    "null", "id is in flight", "{\"duplicateId\":" + message.id() + "}"));
            return;
        }
        if (!dispatcher.isAccepting()) state.drain();
        switch (state.decide(message.method())) {
            case ACCEPT -> startRequest(message, sender);
            case NOT_INITIALIZED ->
                sender.sendResponse(
                        RpcError.INVALID_REQUEST.response(message.id(), "the session is not initialized", ""));
            case ALREADY_INITIALIZED ->
                sender.sendResponse(
                        RpcError.INVALID_REQUEST.response(message.id(), "the session is initialized already", ""));
            default -> sender.sendResponse(RpcError.refusedResponse(message.id(), "draining", RETRY_AFTER_MS));
        }
    }

    private void startRequest(RpcMessage message, MessageSender sender) {
        PendingRequest pending = new PendingRequest(message.id(), sender);
        if (pendingRequests.size() >= MAX_OPEN_REQUESTS) {
            sender.sendResponse(
                    RpcError.refusedResponse(message.id(), "too many requests of this session", RETRY_AFTER_MS));
            return;
        }
        pendingRequests.put(message.id(), pending);
        try {
            if (message.method().equals("initialize")) initialize(message, pending);
            else pending.handle = dispatcher.start(team, message, pending);
        } catch (ConfigException e) {
            pending.finish(RpcError.INVALID_PARAMS.response(message.id(), e.getMessage(), ""));
        } catch (RuntimeException e) {
            dispatcher.onFailure(e);
            pending.finish(RpcError.INTERNAL_ERROR.failedResponse(message.id(), "internal"));
        }
    }

    private void initialize(RpcMessage message, PendingRequest pending) {
        Tree params = params(message);
        if (params.at("capabilities").present() && !params.at("capabilities").isObject()) {
            throw new ConfigException("params.capabilities: not an object");
        }
        String version = state.initialize(params.need("protocolVersion").text());
        pending.finishWithResult("{\"protocolVersion\":" + Json.quote(version) + ",\"capabilities\":{\"tools\":{}},"
                + "\"serverInfo\":{\"name\":\"maplerail\",\"version\":\"0.1.0\"}}");
    }

    private void cancel(RpcMessage message) {
        String id = Json.fields(message.params()).get("requestId");
        PendingRequest pending = id == null ? null : pendingRequests.get(id);
        if (pending != null) pending.cancel("cancelled");
    }

    /** Ends the session while its client may still be connected: open requests are cancelled and answered. */
    void end() {
        for (PendingRequest pending : List.copyOf(pendingRequests.values())) pending.cancel("the session has ended");
        close();
    }

    /** Closes the session after its client has disconnected for good, and cancels its requests. */
    void close() {
        if (closed) return;
        closed = true;
        state.close();
        for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
            pending.finished = true;
            if (pending.handle != null) pending.handle.onClientDisconnected();
        }
        pendingRequests.clear();
    }

    int openRequests() {
        return pendingRequests.size();
    }

    /** Resumes the paused requests once the client can take more. */
    void onClientWritable() {
        for (PendingRequest pending : List.copyOf(pendingRequests.values())) pending.onClientWritable();
    }

    /** A request without a final response. */
    final class PendingRequest {
        final String id;
        private final MessageSender sender;
        private RequestHandle handle;
        private boolean paused;
        private boolean finished;

        PendingRequest(String id, MessageSender sender) {
            this.id = id;
            this.sender = sender;
        }

        /** Sends the final response; any later one is dropped. */
        void finish(String response) {
            if (finished) return;
            finished = true;
            pendingRequests.remove(id);
            sender.sendResponse(response);
        }

        void finishWithResult(String value) {
            finish("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"result\":" + value + "}");
        }

        void finish(ResponseObserver.Reason reason, boolean rejected, double retryAfterMs) {
            finish(
                    switch (reason) {
                        case INVALID ->
                            rejected
                                    ? RpcError.INVALID_PARAMS.response(
                                            id, "the arguments are larger than the contract allows", "")
                                    : RpcError.FAILED.failedResponse(id, "the server says that the request is wrong");
                        case BUDGET -> RpcError.refusedResponse(id, "budget", retryAfterMs);
                        case DEADLINE -> RpcError.DEADLINE.failedResponse(id, "deadline");
                        case DRAINING -> RpcError.refusedResponse(id, "draining", RETRY_AFTER_MS);
                        case OVERLOAD -> RpcError.refusedResponse(id, "overload", retryAfterMs);
                        default ->
                            rejected
                                    ? RpcError.refusedResponse(id, "overload", retryAfterMs)
                                    : RpcError.FAILED.failedResponse(id, "engine");
                    });
        }

        /**
         * Looks whether the client has disconnected or cancelled the request, even if the loop has not processed that yet. A
         * disconnect that ends no request, as its client may come again for the answer, does not count.
         */
        ClientPresence clientPresence() {
            if (finished) return ClientPresence.DISCONNECTED;
            ClientPresence presence = sender.pollClient();
            if (finished) return ClientPresence.DISCONNECTED;
            return presence == ClientPresence.UNKNOWN ? presence : ClientPresence.CONNECTED;
        }

        /** Sends an event of a streamed answer; false if the stream should pause for a slow client. */
        boolean sendAnswerEvent(String data) {
            return sendNotification("{\"jsonrpc\":\"2.0\",\"method\":\"answers/event\",\"params\":{\"id\":" + id
                    + ",\"data\":" + Json.quote(data) + "}}");
        }

        /** Sends a notification before the response; false if the stream should pause for a slow client. */
        boolean sendNotification(String message) {
            if (finished) return true;
            sender.sendEvent(message);
            paused = sender.isSlow();
            return !paused;
        }

        /** Ends a started request that has exceeded its time limit. */
        void expire() {
            abort(RpcError.DEADLINE, "deadline");
        }

        private void cancel(String reason) {
            abort(RpcError.CANCELLED, reason);
        }

        private void abort(RpcError error, String reason) {
            if (finished) return;
            finish(error.failedResponse(id, reason));
            if (handle != null) handle.onClientDisconnected();
        }

        private void onClientWritable() {
            if (!paused || sender.isSlow() || handle == null) return;
            paused = false;
            handle.onClientWritable();
        }
    }

    static Tree params(RpcMessage message) {
        return Tree.object("params", message.params());
    }
}
