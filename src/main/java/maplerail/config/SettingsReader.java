package maplerail.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import maplerail.routing.EngineRole;
import maplerail.routing.Idempotency;
import maplerail.routing.IdempotencyScope;
import maplerail.routing.RoutingSettings;

/** Turns the start-up settings into {@link RoutingSettings}. */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * The settings, the place of the memory share in a load report (-1: not reported), and this instance's rank in
     * its tier where instances may tell each other ({@code limits.mayTell}), else -1.
     */
    public record Parsed(RoutingSettings settings, int memoryColumn, int tellRank) {}

    /** Reads the text of the settings. */
    public static Parsed read(long seed, String text) {
        return read(seed, Tree.object("settings", text));
    }

    /** Reads the settings from a larger text that holds them. */
    public static Parsed read(long seed, Tree root) {
        Tree family = root.need("familyInfo");
        return new Parsed(
                new RoutingSettings(
                        seed,
                        (int) root.need("balancers").number(),
                        (int) root.need("zone").number(),
                        root.need("tickMs").number(),
                        "ask".equals(root.at("discovery").text("")),
                        root.at("overShareWorth").number(1),
                        classes(root, family),
                        tenants(root),
                        kinds(family),
                        limits(root, family),
                        rules(root, family)),
                memoryColumn(root),
                root.at("limits").at("mayTell").flag() ? (int) root.at("rank").number(-1) : -1);
    }

    private static List<RoutingSettings.RequestClass> classes(Tree root, Tree family) {
        List<RoutingSettings.RequestClass> out = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Tree lane : root.need("lanes").list()) {
            int i = out.size();
            double aimUsPerK = family.at("aimUsPer1000PromptTokens").at(i).number(0);
            // The simulator's classes need no names; where there are some, requests are told apart by them.
            boolean twice =
                    lane.at("name").present() && !names.add(lane.at("name").text());
            if (twice) throw new ConfigException(lane.at("name").path() + ": twice");
            out.add(new RoutingSettings.RequestClass(
                    lane.need("goalTimeMs").number(),
                    aimUsPerK / 1e6,
                    above0(lane.need("deadlineMs")),
                    family.at("tokenAimMs").at(i).number(0),
                    lane.at("worth").number(1),
                    lane.at("lateShare").number(0),
                    repeat(lane.need("repeat")),
                    lane.at("keyScope").present() ? scope(lane.at("keyScope")) : IdempotencyScope.ALL,
                    lane.at("keyTtlMs").number(0)));
        }
        if (out.isEmpty()) throw new ConfigException(root.at("lanes").path() + ": names nothing");
        return List.copyOf(out);
    }

    private static double above0(Tree number) {
        double value = number.number();
        if (!(value > 0)) throw new ConfigException(number.path() + ": not above 0");
        return value;
    }

    /** The repeat rule that a word stands for. */
    public static Idempotency repeat(Tree word) {
        return switch (word.text()) {
            case "pure" -> Idempotency.IDEMPOTENT;
            case "token" -> Idempotency.IDEMPOTENCY_KEY;
            case "side_effect" -> Idempotency.NON_IDEMPOTENT;
            default -> throw unknown(word);
        };
    }

    private static IdempotencyScope scope(Tree word) {
        return switch (word.text()) {
            case "all" -> IdempotencyScope.ALL;
            case "zone" -> IdempotencyScope.ZONE;
            case "cell" -> IdempotencyScope.CELL;
            default -> throw unknown(word);
        };
    }

    private static ConfigException unknown(Tree word) {
        return new ConfigException(word.path() + ": unknown value '" + word.text() + "'");
    }

    private static List<RoutingSettings.Tenant> tenants(Tree root) {
        return root.at("parties").list().stream()
                .map(party -> new RoutingSettings.Tenant(party.at("quotaRps").number(0)))
                .toList();
    }

    private static List<RoutingSettings.EngineKind> kinds(Tree family) {
        List<RoutingSettings.EngineKind> out = new ArrayList<>();
        for (Tree role : family.need("kindRole").list()) {
            EngineRole known = switch (role.text()) {
                case "read" -> EngineRole.READER;
                case "write" -> EngineRole.WRITER;
                case "both" -> EngineRole.BOTH;
                default -> throw new ConfigException("settings: kindRole: unknown role '" + role.text() + "'");
            };
            out.add(new RoutingSettings.EngineKind(
                    known, family.at("kindMemoryTokens").at(out.size()).number(0)));
        }
        return List.copyOf(out);
    }

    private static RoutingSettings.Limits limits(Tree root, Tree family) {
        Tree limits = root.need("limits");
        return new RoutingSettings.Limits(
                (int) Math.max(1, above0(limits.need("sendCap"))),
                limits.at("cancel").flag(),
                limits.at("secondCopies").flag(),
                limits.at("retryAfter").flag(),
                limits.at("maxRetryAfterMs").number(0),
                family.at("readInPlace").flag(),
                family.at("earlyPairing").flag());
    }

    private static RoutingSettings.Rules rules(Tree root, Tree family) {
        Tree rules = root.need("rules");
        return new RoutingSettings.Rules(
                rules.at("answerSlackMs").number(0),
                family.need("pinLimitMs").number(),
                rules.need("startCapacity").number(),
                rules.need("tipMultiple").number(),
                rules.need("overloadForMs").number(),
                rules.need("warmAfterMs").number(),
                rules.at("mustAskInMs").number(0));
    }

    private static int memoryColumn(Tree root) {
        List<Tree> columns = root.at("stats").at("columns").list();
        for (int i = 0; i < columns.size(); i++) {
            if ("x0".equals(columns.get(i).text(""))) return i;
        }
        return -1;
    }
}
