package maplerail.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** JSON texts that are passed on to the letter: no number or escape is worded anew on its way through. */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /** The fields of an object, each as the text that stands there; null if the text is no single object. */
    public static Map<String, String> fields(String text) {
        Map<String, String> out = new LinkedHashMap<>();
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) return null;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                int from = (int) parser.currentTokenLocation().getCharOffset();
                parser.skipChildren();
                parser.finishToken();
                int to = (int) parser.currentLocation().getCharOffset();
                // Two values under one name: which of them counts would be anybody's guess.
                if (out.put(name, text.substring(from, to).strip()) != null) return null;
            }
            return parser.nextToken() == null ? out : null;
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * A string or number of an object whose text may be cut off, as it stands there; empty if it isn't found before that.
     */
    public static Optional<String> leadingScalar(String text, String field) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) return Optional.empty();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                boolean isSought = parser.currentName().equals(field);
                JsonToken value = parser.nextToken();
                if (isSought) return scalarText(parser, text, value);
                parser.skipChildren();
            }
            return Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static Optional<String> scalarText(JsonParser parser, String text, JsonToken value) throws IOException {
        if (value == null || value != JsonToken.VALUE_STRING && !value.isNumeric()) return Optional.empty();
        int from = (int) parser.currentTokenLocation().getCharOffset();
        parser.finishToken();
        int to = (int) parser.currentLocation().getCharOffset();
        boolean mayGoOn = value.isNumeric() && to >= text.length(); // behind the cut
        return mayGoOn ? Optional.empty() : Optional.of(text.substring(from, to).strip());
    }

    /** The elements of an array, each as the text that stands there; null if the text is no single array. */
    public static List<String> elements(String text) {
        List<String> out = new ArrayList<>();
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_ARRAY) return null;
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                int from = (int) parser.currentTokenLocation().getCharOffset();
                parser.skipChildren();
                parser.finishToken();
                out.add(text.substring(from, (int) parser.currentLocation().getCharOffset())
                        .strip());
            }
            return parser.nextToken() == null ? out : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** True for a text that is one JSON value. */
    public static boolean valid(String text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) return false;
            parser.skipChildren();
            return parser.nextToken() == null;
        } catch (IOException e) {
            return false;
        }
    }

    /** A text as a JSON string. */
    public static String quote(String text) {
        return '"' + String.valueOf(JsonStringEncoder.getInstance().quoteAsString(text)) + '"';
    }
}
