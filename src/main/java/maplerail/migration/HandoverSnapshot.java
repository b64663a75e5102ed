package maplerail.migration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import maplerail.config.ConfigException;
import maplerail.config.Tree;
import maplerail.routing.RoutingEvent.PrefixCached;

/**
 * What a stopping process passes to the process that replaces it, as JSON.
 *
 * @param writtenMs the time of writing
 * @param cachedPrefixes the prefixes that are assumed to be cached at engines
 */
public record HandoverSnapshot(double writtenMs, List<PrefixCached> cachedPrefixes) {
    private static final int FORMAT_VERSION = 1;
    private static final int MAX_ENTRIES = 20_000;
    private static final double MAX_AGE_MS = 5_000; // caches change in seconds: old entries misroute requests
    private static final double MAX_CLOCK_SKEW_MS = 50; // between two processes
    private static final double MAX_TOKENS = 1e7;
    private static final int HEX_RADIX = 16;
    private static final JsonFactory JSON = new JsonFactory();

    /** Returns the JSON text; of too many entries only the last ones. */
    public String toJson() {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeNumberField("form", FORMAT_VERSION);
            json.writeNumberField("written_ms", writtenMs);
            json.writeArrayFieldStart("held");
            for (PrefixCached entry :
                    cachedPrefixes.subList(Math.max(0, cachedPrefixes.size() - MAX_ENTRIES), cachedPrefixes.size())) {
                writeEntry(json, entry);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // not possible, as the writer is in memory
        }
        return out.toString();
    }

    private static void writeEntry(JsonGenerator json, PrefixCached entry) throws IOException {
        json.writeStartArray();
        json.writeNumber(entry.session() ? 1 : 0);
        json.writeString(Long.toHexString(entry.key()));
        json.writeString(Long.toHexString(entry.engine()));
        json.writeNumber(Math.round(entry.tokens()));
        json.writeNumber(Math.round(entry.atMs()));
        json.writeEndArray();
    }

    /** Parses a text; empty if it has another format version, is malformed or is too old. */
    public static Optional<HandoverSnapshot> parse(String text, double nowMs) {
        try {
            Tree root = Tree.object("notes", text);
            double writtenMs = root.need("written_ms").number();
            boolean fresh = writtenMs <= nowMs + MAX_CLOCK_SKEW_MS && nowMs - writtenMs <= MAX_AGE_MS;
            if (root.need("form").number() != FORMAT_VERSION || !fresh) return Optional.empty();
            List<Tree> rows = root.need("held").list();
            if (rows.size() > MAX_ENTRIES) return Optional.empty();
            List<PrefixCached> cachedPrefixes = new ArrayList<>();
            for (Tree row : rows) cachedPrefixes.add(parseEntry(row));
            boolean plausible = cachedPrefixes.stream().allMatch(entry -> isPlausible(entry, nowMs));
            return plausible ? Optional.of(new HandoverSnapshot(writtenMs, cachedPrefixes)) : Optional.empty();
        } catch (ConfigException | NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static PrefixCached parseEntry(Tree row) {
        boolean session = row.at(0).number() == 1;
        return new PrefixCached(
                session,
                parseHex(row.at(1)),
                parseHex(row.at(2)),
                row.at(3).number(),
                row.at(4).number());
    }

    private static boolean isPlausible(PrefixCached entry, double nowMs) {
        return entry.tokens() >= 0 && entry.tokens() <= MAX_TOKENS && entry.atMs() <= nowMs + MAX_CLOCK_SKEW_MS;
    }

    private static long parseHex(Tree text) {
        return Long.parseUnsignedLong(text.text(), HEX_RADIX);
    }
}
