package maplerail.front.jsonrpc;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.stream.Collectors;
import maplerail.config.ConfigException;
import maplerail.config.Json;
import maplerail.config.ToolsConfig;
import maplerail.config.Tree;
import maplerail.core.Broker;
import maplerail.core.EventLoop;
import maplerail.core.InferenceRequest;
import maplerail.core.RequestHandle;
import maplerail.net.ToolCallPayload;
import maplerail.rpc.Pagination;
import maplerail.rpc.ProgressTracker;

/** The methods tools/call and tools/list. Calls go to the broker of the tool's service. */
final class ToolMethods {
    private static final double BYTES_PER_TOKEN = 4;

    private final ToolsConfig config;
    private final Map<String, Broker> brokers;
    private final EventLoop loop;
    private final TreeMap<String, ToolsConfig.Tool> tools;

    ToolMethods(ToolsConfig config, Map<String, Broker> brokers, EventLoop loop) {
        this.loop = loop;
        this.tools = new TreeMap<>(config.tools());
        this.config = config;
        this.brokers = brokers;
    }

    RequestHandle call(RpcMessage message, int team, Session.PendingRequest pending) {
        Tree params = Session.params(message);
        String name = params.need("name").text();
        ToolsConfig.Tool tool = config.tools().get(name);
        if (tool == null) throw new ConfigException("params.name: unknown tool '" + name + "'");
        if (params.at("arguments").present() && !params.at("arguments").isObject()) {
            throw new ConfigException("params.arguments: not an object");
        }
        String arguments = Json.fields(message.params()).getOrDefault("arguments", "{}");
        ToolsConfig.Contract contract = config.contracts().get(tool.contract());
        String clientToken = progressToken(params, Json.fields(message.params()).get("_meta"));
        String id = UUID.randomUUID().toString();
        String meta = clientToken == null ? "" : ",\"_meta\":{\"progressToken\":" + Json.quote(id) + "}";
        byte[] body = ("{\"jsonrpc\":\"2.0\",\"id\":" + Json.quote(id)
                        + ",\"method\":\"tools/call\",\"params\":{\"name\":" + Json.quote(name) + ",\"arguments\":"
                        + arguments + meta + "}}")
                .getBytes(StandardCharsets.UTF_8);
        int argumentBytes = arguments.getBytes(StandardCharsets.UTF_8).length;
        InferenceRequest request = new InferenceRequest(
                id,
                tool.contract(),
                team,
                0,
                argumentBytes / BYTES_PER_TOKEN,
                0,
                0,
                contract.deadlineMs(),
                contract.mostReply() / BYTES_PER_TOKEN,
                0,
                false,
                argumentBytes,
                new ToolCallPayload(
                        config.services().get(tool.service()).path(),
                        body,
                        contract.mostReply(),
                        contract.deadlineMs()));
        return brokers.get(tool.service())
                .submit(
                        request,
                        new ToolResponse(
                                pending,
                                new ProgressTracker(id, loop.nowMs(), contract.mostDeadlineMs()),
                                clientToken,
                                loop));
    }

    /** The JSON text of the client's progress token; null for none. */
    private static String progressToken(Tree params, String meta) {
        Tree token = params.at("_meta").at("progressToken");
        if (!token.present()) return null;
        if (token.text(null) == null && !token.isWhole()) {
            throw new ConfigException(token.path() + ": neither a text nor a whole number");
        }
        Map<String, String> fields = Json.fields(meta);
        if (fields == null) throw new ConfigException("params._meta: a name twice");
        return fields.get("progressToken");
    }

    String list(RpcMessage message) {
        Tree cursor = Session.params(message).at("cursor");
        Pagination.Page page = Pagination.page(tools, cursor.present() ? cursor.text() : null, config.pageSize());
        if (page == null) throw new ConfigException("params.cursor: was never given");
        return page.names().stream()
                .map(name -> "{\"name\":" + Json.quote(name) + ",\"contract\":"
                        + Json.quote(config.contracts()
                                .get(tools.get(name).contract())
                                .name())
                        + ",\"inputSchema\":{\"type\":\"object\"}}")
                .collect(Collectors.joining(
                        ",",
                        "{\"tools\":[",
                        "]" + (page.nextCursor() == null ? "" : ",\"nextCursor\":" + Json.quote(page.nextCursor()))
                                + "}"));
    }
}
