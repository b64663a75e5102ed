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
 * What a process that stops knows, as a JSON text for the one that serves on.
 *
 * @param writtenMs when it was written
 * @param cachedPrefixes the prefixes that are assumed to be cached at engines
 */
public record HandoverSnapshot(double writtenMs, List<PrefixCached> cachedPrefixes) {
    private static final int FORM = 1;
    private static final int MAX_ENTRIES = 20_000;
    private static final double MAX_AGE_MS = 5_000; // caches change in seconds: old knowledge sends requests astray
    private static final double MAX_CLOCK_SKEW_MS = 50; // between two processes
    private static final double MAX_TOKENS = 1e7;
    private static final int HEX = 16;
    private static final JsonFactory JSON = new JsonFactory();

    /** The text; of too many entries the last ones. */
    public String toJson() {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeNumberField("form", FORM);
            json.writeNumberField("written_ms", writtenMs);
            json.writeArrayFieldStart("held");
            for (PrefixCached entry :
                    cachedPrefixes.subList(Math.max(0, cachedPrefixes.size() - MAX_ENTRIES), cachedPrefixes.size())) {
                write(json, entry);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // not possible, as a string takes whatever is written
        }
        return out.toString();
    }

    private static void write(JsonGenerator json, PrefixCached entry) throws IOException {
        json.writeStartArray();
        json.writeNumber(entry.session() ? 1 : 0);
        json.writeString(Long.toHexString(entry.key()));
        json.writeString(Long.toHexString(entry.engine()));
        json.writeNumber(Math.round(entry.tokens()));
        json.writeNumber(Math.round(entry.atMs()));
        json.writeEndArray();
    }

    /** Reads a text; empty for one that is of another form, broken or too old. */
    public static Optional<HandoverSnapshot> parse(String text, double nowMs) {
        try {
            Tree root = Tree.object("notes", text);
            double writtenMs = root.need("written_ms").number();
            boolean current = writtenMs <= nowMs + MAX_CLOCK_SKEW_MS && nowMs - writtenMs <= MAX_AGE_MS;
            if (root.need("form").number() != FORM || !current) return Optional.empty();
            List<Tree> rows = root.need("held").list();
            if (rows.size() > MAX_ENTRIES) return Optional.empty();
            List<PrefixCached> cached = new ArrayList<>();
            for (Tree row : rows) cached.add(entry(row));
            boolean plausible = cached.stream().allMatch(entry -> isPlausible(entry, nowMs));
            return plausible ? Optional.of(new HandoverSnapshot(writtenMs, cached)) : Optional.empty();
        } catch (ConfigException | NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static PrefixCached entry(Tree row) {
        boolean session = row.at(0).number() == 1;
        return new PrefixCached(
                session,
                hex(row.at(1)),
                hex(row.at(2)),
                row.at(3).number(),
                row.at(4).number());
    }

    private static boolean isPlausible(PrefixCached entry, double nowMs) {
        return entry.tokens() >= 0 && entry.tokens() <= MAX_TOKENS && entry.atMs() <= nowMs + MAX_CLOCK_SKEW_MS;
    }

    private static long hex(Tree text) {
        return Long.parseUnsignedLong(text.text(), HEX);
    }
}
