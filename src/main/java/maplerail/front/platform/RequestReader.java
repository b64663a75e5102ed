package maplerail.front.platform;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.AbstractMap.SimpleImmutableEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplerail.config.EngineIds;
import maplerail.config.Names;
import maplerail.core.InferenceRequest;
import maplerail.net.HttpRequestPayload;

/** Turns a client's headers and body into an {@link InferenceRequest}; says what is wrong with one that it can't be made of. */
final class RequestReader {
    private static final double TOKEN_BYTES = 4;
    private static final double MOST_S = 3_600; // that a client may say it waits
    private static final double MOST_TOKENS = 1e7;
    private static final Set<HttpString> OWN = Set.of(
            Headers.HOST,
            Headers.CONNECTION,
            Headers.CONTENT_LENGTH,
            Headers.TRANSFER_ENCODING,
            Headers.EXPECT,
            Headers.UPGRADE,
            Headers.TE,
            Headers.TRAILER,
            new HttpString("Keep-Alive"),
            new HttpString("Req-Deadline"));

    private final Names names;

    RequestReader(Names names) {
        this.names = names;
    }

    /** A request that cannot be taken; the message is for the client. */
    static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;

        BadRequest(String message) {
            super(message);
        }
    }

    InferenceRequest read(HttpServerExchange exchange, byte[] body) throws BadRequest {
        String id = need(exchange, "Req-Id");
        if (!id.matches("[0-9A-Za-z._~-]{1,128}")) throw new BadRequest("Req-Id: not an id");
        int kind = place(names.classes(), need(exchange, "Req-Kind"), "Req-Kind");
        int tenant = names.tenants().isEmpty() ? 0 : place(names.tenants(), need(exchange, "Req-Owner"), "Req-Owner");
        double seconds = number(need(exchange, "Req-Deadline"), "Req-Deadline", MOST_S);
        if (!(seconds > 0)) throw new BadRequest("Req-Deadline: not above 0");
        Map<String, String> extra = extra(exchange.getRequestHeaders().getFirst("Req-Extra"));
        double prompt = tokens(extra, "prompt_len", body.length / TOKEN_BYTES);
        long prefix = EngineIds.key(extra.get("prefix"));
        double most = tokens(extra, "max_out", 0);
        String hint = exchange.getRequestHeaders().getFirst("Req-Cost");
        boolean again = "again".equals(exchange.getRequestHeaders().getFirst("Req-Retry"));
        return new InferenceRequest(
                id,
                kind,
                tenant,
                EngineIds.key(exchange.getRequestHeaders().getFirst("Req-Key")),
                prompt,
                prefix,
                prefix == 0 ? 0 : tokens(extra, "prefix_len", 0),
                seconds * 1_000,
                most,
                hint == null ? 0 : number(hint, "Req-Cost", MOST_S * 1_000),
                again,
                body.length,
                new HttpRequestPayload(exchange.getRequestMethod(), target(exchange), headers(exchange), body));
    }

    private static String target(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    }

    private static List<Map.Entry<HttpString, String>> headers(HttpServerExchange exchange) {
        List<Map.Entry<HttpString, String>> out = new ArrayList<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            if (OWN.contains(values.getHeaderName())) continue;
            for (String value : values) out.add(new SimpleImmutableEntry<>(values.getHeaderName(), value));
        }
        return out;
    }

    private static String need(HttpServerExchange exchange, String name) throws BadRequest {
        String value = exchange.getRequestHeaders().getFirst(name);
        if (value == null || value.isBlank()) throw new BadRequest(name + ": missing");
        return value.trim();
    }

    private static int place(List<String> among, String name, String header) throws BadRequest {
        int at = among.indexOf(name);
        if (at < 0) throw new BadRequest(header + ": unknown");
        return at;
    }

    static Map<String, String> extra(String text) throws BadRequest {
        Map<String, String> out = new HashMap<>();
        if (text == null || text.isBlank()) return out;
        for (String pair : text.split(",")) {
            int sign = pair.indexOf('=');
            if (sign <= 0) throw new BadRequest("Req-Extra: not of the form key=value");
            out.put(pair.substring(0, sign).trim(), pair.substring(sign + 1).trim());
        }
        return out;
    }

    private static double tokens(Map<String, String> extra, String key, double other) throws BadRequest {
        String text = extra.get(key);
        return text == null ? other : number(text, "Req-Extra: " + key, MOST_TOKENS);
    }

    static double number(String text, String name, double most) throws BadRequest {
        if (!text.matches("[0-9]{1,15}(\\.[0-9]{0,15})?|\\.[0-9]{1,15}")) throw new BadRequest(name + ": not a number");
        double value = Double.parseDouble(text);
        if (value > most) throw new BadRequest(name + ": above " + (long) most);
        return value;
    }
}
