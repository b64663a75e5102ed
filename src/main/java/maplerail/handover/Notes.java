package maplerail.handover;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import maplerail.config.ConfigException;
import maplerail.config.Tree;
import maplerail.routing.RoutingEvent.PrefixCached;

/** What a process that leaves knows, as a text for the one that serves on. Nothing in it is needed: it only saves work. */
public record Notes(double writtenMs, List<PrefixCached> held) {
    private static final int FORM = 1;
    private static final int MOST = 20_000; // entries
    private static final double MOST_AGE_MS = 5_000; // of a text that is still believed
    private static final double CLOCKS_MS = 50; // by which two processes may differ
    private static final double MOST_TOKENS = 1e7;
    private static final JsonFactory JSON = new JsonFactory();

    /** The text. */
    public String text() {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeNumberField("form", FORM);
            json.writeNumberField("written_ms", writtenMs);
            json.writeArrayFieldStart("held");
            for (PrefixCached one : held.subList(Math.max(0, held.size() - MOST), held.size())) {
                json.writeStartArray();
                json.writeNumber(one.session() ? 1 : 0);
                json.writeString(Long.toHexString(one.key()));
                json.writeString(Long.toHexString(one.engine()));
                json.writeNumber(Math.round(one.tokens()));
                json.writeNumber(Math.round(one.atMs()));
                json.writeEndArray();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e); // a string takes whatever is written
        }
        return out.toString();
    }

    /**
     * Reads a text; null for one that is of another form, broken or too old. What engines keep is replaced in seconds, so
     * old knowledge sends requests astray.
     */
    public static Notes read(String text, double nowMs) {
        try {
            Tree root = Tree.object("notes", text);
            double writtenMs = root.need("written_ms").number();
            if (root.need("form").number() != FORM || writtenMs > nowMs + CLOCKS_MS || nowMs - writtenMs > MOST_AGE_MS)
                return null;
            List<PrefixCached> held = new ArrayList<>();
            for (Tree one : root.need("held").list()) {
                if (held.size() == MOST) return null;
                double tokens = one.at(3).number();
                double atMs = one.at(4).number();
                if (!(tokens >= 0 && tokens <= MOST_TOKENS && atMs <= nowMs + CLOCKS_MS)) return null;
                held.add(new PrefixCached(one.at(0).number() == 1, key(one.at(1)), key(one.at(2)), tokens, atMs));
            }
            return new Notes(writtenMs, held);
        } catch (ConfigException | NumberFormatException e) {
            return null;
        }
    }

    private static long key(Tree hex) {
        return Long.parseUnsignedLong(hex.text(), 16);
    }
}
