package maplerail.front.jsonrpc;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import maplerail.config.Json;

/** Waits for a tool server's reply and passes its result or error on to the letter. */
final class ToolCaller extends RpcCaller {
    private String reply = "";

    ToolCaller(Session.Pending pending) {
        super(pending);
    }

    @Override
    public boolean event(byte[] event) {
        reply += new String(event, StandardCharsets.UTF_8);
        return true;
    }

    @Override
    public void end() {
        Map<String, String> fields = Json.fields(reply);
        String kind = fields == null ? "" : fields.containsKey("result") ? "result" : "error";
        if (fields == null || !fields.containsKey(kind) || fields.containsKey("result") && fields.containsKey("error")) {
            pending.finish(RpcError.FAILED.failed(pending.id, "the tool's reply is no JSON-RPC answer"));
            return;
        }
        pending.finish("{\"jsonrpc\":\"2.0\",\"id\":" + pending.id + ",\"" + kind + "\":" + fields.get(kind) + "}");
    }

    @Override
    public void broken() {
        pending.finish(Why.ENGINE, false, 0);
    }
}
