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

/** The method answers/stream: a completion that the platform's broker requests from the engines. */
final class AnswerMethods {
    private static final double BYTES_PER_TOKEN = 4;
    private static final double MAX_TOKENS = 1e7;

    private final Broker broker;
    private Names names;

    AnswerMethods(Broker broker, Names names) {
        this.broker = broker;
        this.names = names;
    }

    void updateNames(Names newNames) {
        names = newNames;
    }

    RequestHandle start(RpcMessage message, String team, Session.PendingRequest pending) {
        Tree params = Session.params(message);
        String className = params.need("kind").text();
        int requestClass = names.classes().indexOf(className);
        if (requestClass < 0) throw new ConfigException("params.kind: unknown value '" + className + "'");
        int tenant = names.tenants().isEmpty() ? 0 : names.tenants().indexOf(team);
        if (tenant < 0) throw new ConfigException("this team is no tenant of the deployment");
        if (!params.need("body").isObject()) throw new ConfigException("params.body: not an object");
        byte[] body = Json.fields(message.params()).get("body").getBytes(StandardCharsets.UTF_8);
        double deadlineMs = positiveNumber(params.need("deadline_ms"), 3_600_000);
        double promptTokens = params.at("prompt_len").present()
                ? positiveNumber(params.at("prompt_len"), MAX_TOKENS)
                : body.length / BYTES_PER_TOKEN;
        double maxOutputTokens = params.at("max_out").present() ? positiveNumber(params.at("max_out"), MAX_TOKENS) : 0;
        String key = params.at("key").text("");
        String id = UUID.randomUUID().toString();
        List<Map.Entry<HttpString, String>> headers = new ArrayList<>();
        addHeader(headers, "Req-Id", id);
        addHeader(headers, "Req-Kind", className);
        addHeader(headers, "Req-Owner", team);
        if (key.matches("[0-9A-Za-z._~-]{1,128}")) addHeader(headers, "Req-Key", key);
        headers.add(new SimpleImmutableEntry<>(Headers.CONTENT_TYPE, "application/json"));
        InferenceRequest request = new InferenceRequest(
                id,
                requestClass,
                tenant,
                EngineIds.key(key),
                promptTokens,
                0,
                0,
                deadlineMs,
                maxOutputTokens,
                0,
                false,
                body.length,
                new HttpRequestPayload(io.undertow.util.Methods.POST, "/v1/chat/completions", headers, body));
        return broker.submit(request, new AnswerResponse(pending));
    }

    private static double positiveNumber(Tree number, double max) {
        double value = number.number();
        if (!(value > 0 && value <= max))
            throw new ConfigException(number.path() + ": not above 0 and up to " + (long) max);
        return value;
    }

    private static void addHeader(List<Map.Entry<HttpString, String>> headers, String name, String value) {
        headers.add(new SimpleImmutableEntry<>(new HttpString(name), value));
    }
}
