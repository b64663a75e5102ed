package maplerail.front.jsonrpc;

import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.AbstractMap.SimpleImmutableEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import maplerail.config.ConfigException;
import maplerail.config.EngineIds;
import maplerail.config.Json;
import maplerail.config.Names;
import maplerail.config.Tree;
import maplerail.core.Broker;
import maplerail.core.InferenceRequest;
import maplerail.core.RequestHandle;
import maplerail.net.HttpRequestPayload;

/** The method answers/stream: a completion from the platform's engines, by the platform's own broker. */
final class Answers {
    private static final double TOKEN_BYTES = 4;
    private static final double MOST_TOKENS = 1e7;

    private final Broker broker;
    private Names names;

    Answers(Broker broker, Names names) {
        this.broker = broker;
        this.names = names;
    }

    void retune(Names to) {
        names = to;
    }

    RequestHandle start(RpcMessage message, String team, Session.Pending pending) {
        Tree params = Session.params(message);
        String kind = params.need("kind").text();
        int place = names.classes().indexOf(kind);
        if (place < 0) throw new ConfigException("params.kind: unknown value '" + kind + "'");
        int tenant = names.tenants().isEmpty() ? 0 : names.tenants().indexOf(team);
        if (tenant < 0) throw new ConfigException("this team is no tenant of the deployment");
        if (!params.need("body").isObject()) throw new ConfigException("params.body: not an object");
        byte[] body = Json.fields(message.params()).get("body").getBytes(StandardCharsets.UTF_8);
        double deadlineMs = figure(params.need("deadline_ms"), 3_600_000);
        double prompt = params.at("prompt_len").present()
                ? figure(params.at("prompt_len"), MOST_TOKENS)
                : body.length / TOKEN_BYTES;
        double most = params.at("max_out").present() ? figure(params.at("max_out"), MOST_TOKENS) : 0;
        String key = params.at("key").text("");
        String id = UUID.randomUUID().toString();
        List<Map.Entry<HttpString, String>> headers = new ArrayList<>();
        add(headers, "Req-Id", id);
        add(headers, "Req-Kind", kind);
        add(headers, "Req-Owner", team);
        if (key.matches("[0-9A-Za-z._~-]{1,128}")) add(headers, "Req-Key", key);
        headers.add(new SimpleImmutableEntry<>(Headers.CONTENT_TYPE, "application/json"));
        InferenceRequest ask = new InferenceRequest(
                id,
                place,
                tenant,
                EngineIds.key(key),
                prompt,
                0,
                0,
                deadlineMs,
                most,
                0,
                false,
                body.length,
                new HttpRequestPayload(io.undertow.util.Methods.POST, "/v1/chat/completions", headers, body));
        return broker.submit(ask, new AnswerCaller(pending));
    }

    private static double figure(Tree number, double most) {
        double value = number.number();
        if (!(value > 0 && value <= most))
            throw new ConfigException(number.path() + ": not above 0 and up to " + (long) most);
        return value;
    }

    private static void add(List<Map.Entry<HttpString, String>> to, String name, String value) {
        to.add(new SimpleImmutableEntry<>(new HttpString(name), value));
    }
}
