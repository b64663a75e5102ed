package maplerail.front.jsonrpc;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Collectors;
import maplerail.config.ConfigException;
import maplerail.config.Json;
import maplerail.config.Tree;
import maplerail.core.EventLoop;
import maplerail.rpc.ProgressTracker;

/**
 * Forwards the result or error of a tool server's reply unchanged, and its progress notifications under the client's
 * own token.
 */
final class ToolResponse extends RpcResponse {
    private final ProgressTracker progress;
    private final String clientToken;
    private final EventLoop loop;
    private EventLoop.Timer timeout;

    /** Creates a response; {@code clientToken} is the JSON text of the client's progress token, null for none. */
    ToolResponse(Session.PendingRequest pending, ProgressTracker progress, String clientToken, EventLoop loop) {
        super(pending);
        this.progress = progress;
        this.clientToken = clientToken;
        this.loop = loop;
    }

    @Override
    public boolean onEvent(byte[] event) {
        // The broker's deadline ends with the first event; from then on the contract's maximum deadline applies.
        if (timeout == null)
            timeout = loop.schedule(loop.nowMs() + progress.remainingMs(loop.nowMs()), pending::expire);
        String text = new String(event, StandardCharsets.UTF_8);
        Map<String, String> fields = Json.fields(text);
        if (fields != null && fields.containsKey("method")) return forwardProgress(fields);
        boolean hasResult = fields != null && fields.containsKey("result");
        boolean hasError = fields != null && fields.containsKey("error");
        if (hasResult == hasError) {
            finish(RpcError.FAILED.failedResponse(pending.id, "the tool's reply is no JSON-RPC answer"));
        } else {
            String field = hasResult ? "result" : "error";
            finish("{\"jsonrpc\":\"2.0\",\"id\":" + pending.id + ",\"" + field + "\":" + fields.get(field) + "}");
        }
        return true;
    }

    private boolean forwardProgress(Map<String, String> fields) {
        if (clientToken == null || !"\"notifications/progress\"".equals(fields.get("method"))) return true;
        Map<String, String> params = Json.fields(fields.getOrDefault("params", "{}"));
        if (params == null) return true;
        try {
            Tree received = Tree.object("params", fields.get("params"));
            if (!progress.accept(
                    received.at("progressToken").text(""),
                    received.at("progress").number(Double.NaN))) return true;
        } catch (ConfigException e) {
            return true; // malformed progress is not forwarded
        }
        params.put("progressToken", clientToken);
        return pending.sendNotification("{\"jsonrpc\":\"2.0\",\"method\":\"notifications/progress\",\"params\":{"
                + params.entrySet().stream()
                        .map(e -> Json.quote(e.getKey()) + ":" + e.getValue())
                        .collect(Collectors.joining(","))
                + "}}");
    }

    /** Sends the final response immediately, without waiting for the end of the server's stream. */
    private void finish(String response) {
        progress.complete();
        if (timeout != null) timeout.cancel();
        pending.finish(response);
    }

    @Override
    public void onCompleted() {
        finish(RpcError.FAILED.failedResponse(pending.id, "the tool's reply ended without an answer"));
    }

    @Override
    public void onBroken() {
        progress.complete();
        if (timeout != null) timeout.cancel();
        pending.finish(Reason.ENGINE, false, 0);
    }
}
