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
 * Waits for a tool server's reply and passes its result or error on to the letter; on the way it passes on the progress
 * that the server tells, under the client's own token.
 */
final class ToolCaller extends RpcCaller {
    private final ProgressTracker progress;
    private final String clientToken;
    private final EventLoop loop;
    private EventLoop.Timer limit;

    /** {@code clientToken} is the text of the token under which the client wants to hear of progress, null for none. */
    ToolCaller(Session.Pending pending, ProgressTracker progress, String clientToken, EventLoop loop) {
        super(pending);
        this.progress = progress;
        this.clientToken = clientToken;
        this.loop = loop;
    }

    @Override
    public boolean onEvent(byte[] event) {
        // The first event ends the deadline that the broker keeps: from here on the contract's most counts.
        if (limit == null) limit = loop.schedule(loop.nowMs() + progress.remainingMs(loop.nowMs()), pending::expire);
        String text = new String(event, StandardCharsets.UTF_8);
        Map<String, String> fields = Json.fields(text);
        if (fields != null && fields.containsKey("method")) return step(fields);
        boolean result = fields != null && fields.containsKey("result");
        boolean error = fields != null && fields.containsKey("error");
        if (result == error) {
            close(RpcError.FAILED.failed(pending.id, "the tool's reply is no JSON-RPC answer"));
        } else {
            String kind = result ? "result" : "error";
            close("{\"jsonrpc\":\"2.0\",\"id\":" + pending.id + ",\"" + kind + "\":" + fields.get(kind) + "}");
        }
        return true;
    }

    private boolean step(Map<String, String> fields) {
        if (clientToken == null || !"\"notifications/progress\"".equals(fields.get("method"))) return true;
        Map<String, String> params = Json.fields(fields.getOrDefault("params", "{}"));
        if (params == null) return true;
        try {
            Tree told = Tree.object("params", fields.get("params"));
            if (!progress.accept(
                    told.at("progressToken").text(""), told.at("progress").number(Double.NaN))) return true;
        } catch (ConfigException e) {
            return true; // it is told of nothing that could be passed on
        }
        params.put("progressToken", clientToken);
        return pending.tell("{\"jsonrpc\":\"2.0\",\"method\":\"notifications/progress\",\"params\":{"
                + params.entrySet().stream()
                        .map(e -> Json.quote(e.getKey()) + ":" + e.getValue())
                        .collect(Collectors.joining(","))
                + "}}");
    }

    /** The final answer, at once: whatever the server's stream goes on to say is not waited for. */
    private void close(String answer) {
        progress.complete();
        if (limit != null) limit.cancel();
        pending.finish(answer);
    }

    @Override
    public void onCompleted() {
        close(RpcError.FAILED.failed(pending.id, "the tool's reply ended without an answer"));
    }

    @Override
    public void onBroken() {
        progress.complete();
        if (limit != null) limit.cancel();
        pending.finish(Reason.ENGINE, false, 0);
    }
}
