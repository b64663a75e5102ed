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
import java.util.OptionalDouble;
import java.util.Set;
import maplerail.config.EngineIds;
import maplerail.config.Names;
import maplerail.core.InferenceRequest;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import maplerail.net.HttpRequestPayload;

/** Parses a client's headers and body into an {@link InferenceRequest}, and reports why a request is invalid. */
final class RequestParser {
    private static final double BYTES_PER_TOKEN = 4;
    private static final double MAX_SECONDS = 3_600; // of a deadline
    private static final double MAX_TOKENS = 1e7;
    private static final double MAX_EXPECTED_STREAM_MS = 3_600_000;
    private static final double MICROSECONDS_PER_MS = 1_000;
    private static final Set<HttpString> NOT_FORWARDED = Set.of(
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
    private final Metrics metrics;

    RequestParser(Names names, Metrics metrics) {
        this.names = names;
        this.metrics = metrics;
    }

    /** Thrown for an invalid request; the message is sent to the client. */
    static final class BadRequestException extends Exception {
        private static final long serialVersionUID = 1L;

        BadRequestException(String message) {
            super(message);
        }
    }

    InferenceRequest parse(HttpServerExchange exchange, byte[] body) throws BadRequestException {
        String id = requiredHeader(exchange, "Req-Id");
        if (!id.matches("[0-9A-Za-z._~-]{1,128}")) throw new BadRequestException("Req-Id: not an id");
        int requestClass = indexOf(names.classes(), requiredHeader(exchange, "Req-Kind"), "Req-Kind");
        int tenant = names.tenants().isEmpty()
                ? 0
                : indexOf(names.tenants(), requiredHeader(exchange, "Req-Owner"), "Req-Owner");
        double seconds = parseNumber(requiredHeader(exchange, "Req-Deadline"), "Req-Deadline", MAX_SECONDS);
        if (!(seconds > 0)) throw new BadRequestException("Req-Deadline: not above 0");
        Map<String, String> extra = parseExtra(exchange.getRequestHeaders().getFirst("Req-Extra"));
        double promptTokens = tokenCount(extra, "prompt_len", body.length / BYTES_PER_TOKEN);
        long prefixKey = EngineIds.key(extra.get("prefix"));
        double maxOutputTokens = tokenCount(extra, "max_out", 0);
        boolean isRetry = "again".equals(exchange.getRequestHeaders().getFirst("Req-Retry"));
        return new InferenceRequest(
                id,
                requestClass,
                tenant,
                EngineIds.key(exchange.getRequestHeaders().getFirst("Req-Key")),
                promptTokens,
                prefixKey,
                prefixKey == 0 ? 0 : tokenCount(extra, "prefix_len", 0),
                seconds * 1_000,
                maxOutputTokens,
                expectedStreamMs(exchange.getRequestHeaders().getFirst("Req-Cost")),
                isRetry,
                body.length,
                new HttpRequestPayload(exchange.getRequestMethod(), target(exchange), headers(exchange), body));
    }

    /** The client's guess at the work, which is left out and counted if it can't be used; 0 for none. */
    private double expectedStreamMs(String microseconds) {
        if (microseconds == null) return 0;
        OptionalDouble expectedMs = parseMicroseconds(microseconds.trim());
        if (expectedMs.isEmpty()) metrics.count(EventCount.COST_HINTS_IGNORED);
        return expectedMs.orElse(0);
    }

    /** A number of microseconds, in milliseconds; empty if it is none or out of range. */
    static OptionalDouble parseMicroseconds(String text) {
        try {
            double maxMicroseconds = MAX_EXPECTED_STREAM_MS * MICROSECONDS_PER_MS;
            return OptionalDouble.of(parseNumber(text, "Req-Cost", maxMicroseconds) / MICROSECONDS_PER_MS);
        } catch (BadRequestException e) {
            return OptionalDouble.empty();
        }
    }

    private static String target(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    }

    private static List<Map.Entry<HttpString, String>> headers(HttpServerExchange exchange) {
        List<Map.Entry<HttpString, String>> forwarded = new ArrayList<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            if (NOT_FORWARDED.contains(values.getHeaderName())) continue;
            for (String value : values) forwarded.add(new SimpleImmutableEntry<>(values.getHeaderName(), value));
        }
        return forwarded;
    }

    private static String requiredHeader(HttpServerExchange exchange, String name) throws BadRequestException {
        String value = exchange.getRequestHeaders().getFirst(name);
        if (value == null || value.isBlank()) throw new BadRequestException(name + ": missing");
        return value.trim();
    }

    private static int indexOf(List<String> known, String name, String header) throws BadRequestException {
        int index = known.indexOf(name);
        if (index < 0) throw new BadRequestException(header + ": unknown");
        return index;
    }

    static Map<String, String> parseExtra(String text) throws BadRequestException {
        Map<String, String> values = new HashMap<>();
        if (text == null || text.isBlank()) return values;
        for (String pair : text.split(",")) {
            int separator = pair.indexOf('=');
            if (separator <= 0) throw new BadRequestException("Req-Extra: not of the form key=value");
            values.put(
                    pair.substring(0, separator).trim(),
                    pair.substring(separator + 1).trim());
        }
        return values;
    }

    private static double tokenCount(Map<String, String> extra, String key, double defaultValue)
            throws BadRequestException {
        String text = extra.get(key);
        return text == null ? defaultValue : parseNumber(text, "Req-Extra: " + key, MAX_TOKENS);
    }

    static double parseNumber(String text, String name, double max) throws BadRequestException {
        if (!text.matches("[0-9]{1,15}(\\.[0-9]{0,15})?|\\.[0-9]{1,15}"))
            throw new BadRequestException(name + ": not a number");
        double value = Double.parseDouble(text);
        if (value > max) throw new BadRequestException(name + ": above " + (long) max);
        return value;
    }
}
