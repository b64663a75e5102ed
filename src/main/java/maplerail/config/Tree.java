package maplerail.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON value read by Jackson's streaming parser, which knows where it stands, so that errors name the key. */
public final class Tree {
    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(64).build())
            .build();

    private final String path;
    private final Object value;

    private Tree(String path, Object value) {
        this.path = path;
        this.value = value;
    }

    /** Reads a text that holds one JSON object. {@code name} stands for it in errors. */
    public static Tree object(String name, String text) {
        Tree tree = any(name, text);
        if (!(tree.value instanceof Map)) throw new ConfigException(name + ": not a JSON object");
        return tree;
    }

    /** Reads a text that holds one JSON value. */
    public static Tree any(String name, String text) {
        try (JsonParser parser = JSON.createParser(text)) {
            if (parser.nextToken() == null) throw new ConfigException(name + ": empty");
            Tree tree = new Tree(name, read(parser));
            if (parser.nextToken() != null) throw new ConfigException(name + ": not JSON: text after its end");
            return tree;
        } catch (JsonParseException e) {
            throw new ConfigException(name + ": not JSON: " + e.getOriginalMessage());
        } catch (JsonProcessingException e) {
            throw new ConfigException(name + ": not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new ConfigException(name + ": not readable");
        }
    }

    private static Object read(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String key = parser.currentName();
                    parser.nextToken();
                    map.put(key, read(parser));
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) list.add(read(parser));
                return list;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return parser.getNumberValue();
            }
            case VALUE_TRUE -> {
                return true;
            }
            case VALUE_FALSE -> {
                return false;
            }
            case VALUE_NULL -> {
                return null;
            }
            default -> {
                return parser.getText();
            }
        }
    }

    /** The key at which this value stands. */
    public String path() {
        return path;
    }

    /** The value under a key; one that is absent where there is none. */
    public Tree at(String key) {
        Object inner = value instanceof Map<?, ?> map ? map.get(key) : null;
        return new Tree(path + "." + key, inner);
    }

    /** The value at a place of a list. */
    public Tree at(int place) {
        boolean there = value instanceof List<?> list && place < list.size();
        return new Tree(path + "[" + place + "]", there ? ((List<?>) value).get(place) : null);
    }

    /** The value under a key, which must be there. */
    public Tree need(String key) {
        Tree inner = at(key);
        if (inner.value == null) throw new ConfigException(inner.path + ": missing");
        return inner;
    }

    /** True if there is a value. */
    public boolean present() {
        return value != null;
    }

    /** True for an object. */
    public boolean isObject() {
        return value instanceof Map;
    }

    /** True for a list. */
    public boolean isList() {
        return value instanceof List;
    }

    /** True for a whole number. */
    public boolean isWhole() {
        return value instanceof Integer || value instanceof Long;
    }

    /** The elements of a list; none where there is nothing. */
    public List<Tree> list() {
        if (value == null) return List.of();
        if (!(value instanceof List<?> list)) throw new ConfigException(path + ": not a list");
        List<Tree> out = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) out.add(at(i));
        return out;
    }

    /** The keys of an object; none where there is nothing. */
    public List<String> keys() {
        if (value == null) return List.of();
        if (!(value instanceof Map<?, ?> map)) throw new ConfigException(path + ": not an object");
        return map.keySet().stream().map(String::valueOf).toList();
    }

    /**
     * The path of the first key that another value lacks though it is here, or null. An element of a list must have what
     * all elements have here.
     */
    public String lost(Tree in) {
        if (value instanceof Map<?, ?> map) {
            for (Object key : map.keySet()) {
                Tree inner = in.at((String) key);
                if (inner.value == null) return inner.path;
                String lost = at((String) key).lost(inner);
                if (lost != null) return lost;
            }
        }
        if (!(value instanceof List<?> list) || list.isEmpty() || !(in.value instanceof List<?> others)) return null;
        if (!list.stream().allMatch(element -> element instanceof Map)) return null;
        Map<Object, Object> common = new LinkedHashMap<>((Map<?, ?>) list.get(0));
        list.forEach(element -> common.keySet().retainAll(((Map<?, ?>) element).keySet()));
        for (int i = 0; i < others.size(); i++) {
            String lost = new Tree(path, common).lost(in.at(i));
            if (lost != null) return lost;
        }
        return null;
    }

    /** This value without a key. */
    public Tree without(String key) {
        if (!(value instanceof Map<?, ?> map)) return this;
        Map<Object, Object> rest = new LinkedHashMap<>(map);
        rest.remove(key);
        return new Tree(path, rest);
    }

    /** The text, which must be one. */
    public String text() {
        if (value instanceof String text) return text;
        throw new ConfigException(path + (value == null ? ": missing" : ": not a text"));
    }

    /** The text, or another where there is no text. */
    public String text(String other) {
        return value instanceof String text ? text : other;
    }

    /** The number, which must be one. */
    public double number() {
        if (value instanceof Number number) return number.doubleValue();
        throw new ConfigException(path + (value == null ? ": missing" : ": not a number"));
    }

    /** The number, or another where there is none. */
    public double number(double other) {
        return value instanceof Number number ? number.doubleValue() : other;
    }

    /** True only where it says so. */
    public boolean flag() {
        return Boolean.TRUE.equals(value);
    }

    /** The value as it was read: a map, list, text, number, boolean or null. */
    public Object raw() {
        return value;
    }
}
