package maplerail.sim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import maplerail.Router;

/** Turns the text of the start-up settings into {@link Router.Settings}. */
final class SettingsReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private SettingsReader() { }

    /** The settings, and the place of the memory share in a load report (-1: not reported). */
    record Parsed(Router.Settings settings, int memoryColumn) { }

    static Parsed read(long seed, String text) {
        JsonNode root;
        try {
            root = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new WireException("settings: not JSON: " + e.getOriginalMessage());
        }
        if (root == null || !root.isObject()) {
            throw new WireException("settings: not a JSON object");
        }
        JsonNode family = need(root, "familyInfo");
        return new Parsed(new Router.Settings(seed,
                (int) number(root, "balancers"), (int) number(root, "zone"), number(root, "tickMs"),
                "ask".equals(root.path("discovery").asText()), root.path("overShareWorth").asDouble(1),
                classes(root, family), tenants(root), kinds(family), limits(root, family), rules(root, family)),
                memoryColumn(root));
    }

    private static List<Router.RequestClass> classes(JsonNode root, JsonNode family) {
        List<Router.RequestClass> out = new ArrayList<>();
        for (JsonNode lane : need(root, "lanes")) {
            int i = out.size();
            double aimUsPerK = family.path("aimUsPer1000PromptTokens").path(i).asDouble(0);
            out.add(new Router.RequestClass(number(lane, "goalTimeMs"), aimUsPerK / 1e6, number(lane, "deadlineMs"),
                    family.path("tokenAimMs").path(i).asDouble(0), lane.path("worth").asDouble(1),
                    lane.path("lateShare").asDouble(0),
                    choice(lane, "repeat", "pure", Router.Repeat.PURE, "token", Router.Repeat.KEYED,
                            "side_effect", Router.Repeat.UNSAFE),
                    lane.has("keyScope") ? choice(lane, "keyScope", "all", Router.Scope.ALL, "zone",
                            Router.Scope.ZONE, "cell", Router.Scope.CELL) : Router.Scope.ALL,
                    lane.path("keyTtlMs").asDouble(0)));
        }
        return List.copyOf(out);
    }

    private static List<Router.Tenant> tenants(JsonNode root) {
        List<Router.Tenant> out = new ArrayList<>();
        for (JsonNode party : root.path("parties")) {
            out.add(new Router.Tenant(party.path("quotaRps").asDouble(0)));
        }
        return List.copyOf(out);
    }

    private static List<Router.Kind> kinds(JsonNode family) {
        List<Router.Kind> out = new ArrayList<>();
        for (JsonNode role : need(family, "kindRole")) {
            Router.Role known = switch (role.asText()) {
                case "read" -> Router.Role.READ;
                case "write" -> Router.Role.WRITE;
                case "both" -> Router.Role.BOTH;
                default -> throw new WireException("settings: kindRole: unknown role '" + role.asText() + "'");
            };
            out.add(new Router.Kind(known, family.path("kindMemoryTokens").path(out.size()).asDouble(0)));
        }
        return List.copyOf(out);
    }

    private static Router.Limits limits(JsonNode root, JsonNode family) {
        JsonNode limits = need(root, "limits");
        return new Router.Limits((int) number(limits, "sendCap"), limits.path("cancel").asBoolean(),
                limits.path("secondCopies").asBoolean(), limits.path("retryAfter").asBoolean(),
                limits.path("maxRetryAfterMs").asDouble(0), family.path("readInPlace").asBoolean());
    }

    private static Router.Rules rules(JsonNode root, JsonNode family) {
        JsonNode rules = need(root, "rules");
        return new Router.Rules(rules.path("answerSlackMs").asDouble(0), number(family, "pinLimitMs"),
                number(rules, "startCapacity"), number(rules, "tipMultiple"), number(rules, "overloadForMs"),
                number(rules, "warmAfterMs"), rules.path("mustAskInMs").asDouble(0));
    }

    private static int memoryColumn(JsonNode root) {
        JsonNode columns = root.path("stats").path("columns");
        for (int i = 0; i < columns.size(); i++) {
            if ("x0".equals(columns.get(i).asText())) {
                return i;
            }
        }
        return -1;
    }

    private static <T> T choice(JsonNode node, String key, String a, T ifA, String b, T ifB, String c, T ifC) {
        String text = need(node, key).asText();
        if (text.equals(a)) {
            return ifA;
        } else if (text.equals(b)) {
            return ifB;
        } else if (text.equals(c)) {
            return ifC;
        }
        throw new WireException("settings: " + key + ": unknown value '" + text + "'");
    }

    private static double number(JsonNode node, String key) {
        JsonNode value = need(node, key);
        if (!value.isNumber()) {
            throw new WireException("settings: " + key + ": not a number");
        }
        return value.asDouble();
    }

    private static JsonNode need(JsonNode node, String key) {
        JsonNode value = node.get(key);
        if (value == null || value.isNull()) {
            throw new WireException("settings: " + key + ": missing");
        }
        return value;
    }
}
