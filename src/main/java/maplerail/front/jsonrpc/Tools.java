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

/** The methods tools/call and tools/list: calls go to the broker of the tool's service. */
final class Tools {
    private static final double TOKEN_BYTES = 4;

    private final ToolsConfig config;
    private final Map<String, Broker> services;
    private final EventLoop loop;
    private final TreeMap<String, ToolsConfig.Tool> tools;

    Tools(ToolsConfig config, Map<String, Broker> services, EventLoop loop) {
        this.loop = loop;
        this.tools = new TreeMap<>(config.tools());
        this.config = config;
        this.services = services;
    }

    RequestHandle call(RpcMessage message, int team, Session.Pending pending) {
        Tree params = Session.params(message);
        String name = params.need("name").text();
        ToolsConfig.Tool tool = config.tools().get(name);
        if (tool == null) throw new ConfigException("params.name: unknown tool '" + name + "'");
        if (params.at("arguments").present() && !params.at("arguments").isObject()) {
            throw new ConfigException("params.arguments: not an object");
        }
        String arguments = Json.fields(message.params()).getOrDefault("arguments", "{}");
        ToolsConfig.Contract contract = config.contracts().get(tool.contract());
        String token = token(params, Json.fields(message.params()).get("_meta"));
        String id = UUID.randomUUID().toString();
        String meta = token == null ? "" : ",\"_meta\":{\"progressToken\":" + Json.quote(id) + "}";
        byte[] body = ("{\"jsonrpc\":\"2.0\",\"id\":" + Json.quote(id)
                        + ",\"method\":\"tools/call\",\"params\":{\"name\":" + Json.quote(name) + ",\"arguments\":"
                        + arguments + meta + "}}")
                .getBytes(StandardCharsets.UTF_8);
        int size = arguments.getBytes(StandardCharsets.UTF_8).length;
        InferenceRequest ask = new InferenceRequest(
                id,
                tool.contract(),
                team,
                0,
                size / TOKEN_BYTES,
                0,
                0,
                contract.deadlineMs(),
                contract.mostReply() / TOKEN_BYTES,
                0,
                false,
                size,
                new ToolCallPayload(
                        config.services().get(tool.service()).path(),
                        body,
                        contract.mostReply(),
                        contract.deadlineMs()));
        return services.get(tool.service())
                .submit(
                        ask,
                        new ToolCaller(
                                pending,
                                new ProgressTracker(id, loop.nowMs(), contract.mostDeadlineMs()),
                                token,
                                loop));
    }

    /** The text of the token that the client wants to hear of progress under; null for none. */
    private static String token(Tree params, String meta) {
        Tree token = params.at("_meta").at("progressToken");
        if (!token.present()) return null;
        if (token.text(null) == null && !token.isWhole()) {
            throw new ConfigException(token.path() + ": neither a text nor a whole number");
        }
        return Json.fields(meta).get("progressToken");
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
