package maplerail.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import maplerail.config.ConfigException;
import maplerail.config.Tree;

/**
 * An experiment as its file has it: a topology, the load, and faults over time. Times are seconds in the file and
 * milliseconds here. What can't be used is named by its key ({@link ConfigException}).
 *
 * @param seed     from which all draws of the load and of the links come
 * @param seconds  for which the load arrives; what was taken by then is waited for
 * @param zones    names, in the order of their numbers
 * @param gateways one entry each: its zone (in the file a zone's name, or {@code {"zone": NAME, "count": N}})
 * @param engines  the stand-ins
 * @param load     what arrives
 * @param faults   what goes wrong, in the file's order
 */
public record Experiment(
        String name,
        long seed,
        double seconds,
        List<String> zones,
        List<Integer> gateways,
        List<EngineSpec> engines,
        LoadSpec load,
        List<FaultSpec> faults) {

    private static final int MOST_GATEWAYS = 5_000;
    private static final Set<String> KINDS = Set.of(
            "cut",
            "delay",
            "reset",
            "drop",
            "slow_link",
            "slow",
            "fail",
            "flush",
            "kill",
            "stop",
            "term",
            "peers_cut",
            "peers_drop",
            "drain",
            "discovery_cut");

    /** An engine: its name and zone, and its model. */
    public record EngineSpec(String name, int zone, LabEngine.Model model) {}

    /** Arrivals a second over all gateways, of which a share is unsafe; sessions of some turns; a burst. */
    public record LoadSpec(
            double perSecond,
            double unsafeShare,
            double promptTokens,
            double answerTokens,
            double turns,
            int prefixes,
            double prefixTokens,
            double burstAtMs,
            double burstForMs,
            double burstFactor,
            double giveUpShare,
            int tries) {}

    /**
     * One fault from {@code atMs} on for {@code forMs}: {@code kind}, of what ({@code zone}, {@code engine} or
     * {@code gateway}; whichever is not named is any), and how much of it. {@code every} above 0 switches it on and off
     * each so many milliseconds within its time: a zone that flaps.
     */
    public record FaultSpec(
            String kind,
            double atMs,
            double forMs,
            int zone,
            String engine,
            int gateway,
            double amount,
            boolean oneWay,
            double everyMs) {}

    /** Reads an experiment's text; {@code name} stands for it in errors and reports. */
    public static Experiment read(String name, String text) {
        Tree root = Tree.object(name, text);
        List<String> zones = root.need("zones").list().stream().map(Tree::text).toList();
        if (zones.isEmpty()) throw new ConfigException(root.at("zones").path() + ": names nothing");
        List<Integer> gateways = new ArrayList<>();
        for (Tree one : root.need("gateways").list()) {
            int zone = zone(one.isObject() ? one.need("zone") : one, zones);
            for (int i = 0; i < (one.isObject() ? one.need("count").number() : 1); i++) gateways.add(zone);
        }
        if (gateways.isEmpty() || gateways.size() > MOST_GATEWAYS) {
            throw new ConfigException(root.at("gateways").path() + ": not 1 to " + MOST_GATEWAYS + " of them");
        }
        List<EngineSpec> engines = new ArrayList<>();
        for (Tree one : root.need("engines").list()) engine(one, zones, engines);
        for (boolean writes : new boolean[] {false, true}) {
            if (engines.stream().noneMatch(e -> e.model.writes() == writes)) {
                throw new ConfigException(root.at("engines").path() + ": no " + (writes ? "writer" : "reader"));
            }
        }
        Tree load = root.need("load");
        LoadSpec spec = new LoadSpec(
                above0(load.need("per_second")),
                share(load.at("unsafe_share"), 0.25),
                load.at("prompt_tokens").number(1_500),
                load.at("answer_tokens").number(60),
                load.at("turns").number(2.5),
                (int) load.at("prefixes").number(4),
                load.at("prefix_tokens").number(1_000),
                1_000 * load.at("burst").at("at").number(0),
                1_000 * load.at("burst").at("for").number(0),
                load.at("burst").at("factor").number(1),
                share(load.at("give_up_share"), 0),
                (int) load.at("tries").number(3));
        List<FaultSpec> faults = new ArrayList<>();
        for (Tree one : root.at("faults").list()) faults.add(fault(one, zones, engines, gateways.size()));
        return new Experiment(
                name,
                (long) root.at("seed").number(1),
                above0(root.need("seconds")),
                zones,
                gateways,
                List.copyOf(engines),
                spec,
                List.copyOf(faults));
    }

    private static int zone(Tree name, List<String> zones) {
        int zone = zones.indexOf(name.text());
        if (zone < 0) throw new ConfigException(name.path() + ": no such zone: '" + name.text() + "'");
        return zone;
    }

    private static void engine(Tree one, List<String> zones, List<EngineSpec> out) {
        String role = one.need("role").text();
        if (!role.equals("reader") && !role.equals("writer")) {
            throw new ConfigException(one.at("role").path() + ": unknown value '" + role + "'");
        }
        int zone = zone(one.need("zone"), zones);
        int slots = (int) one.at("slots").number(role.equals("reader") ? 4 : 60);
        LabEngine.Model model = role.equals("reader")
                ? LabEngine.Model.reader(slots, above0(one.need("tokens_per_ms")))
                : LabEngine.Model.writer(slots, above0(one.need("ms_per_token")));
        for (int i = 0; i < (int) one.at("count").number(1); i++) {
            out.add(new EngineSpec(role.charAt(0) + "-" + zones.get(zone) + "-" + out.size(), zone, model));
        }
    }

    private static FaultSpec fault(Tree one, List<String> zones, List<EngineSpec> engines, int gateways) {
        String kind = one.need("kind").text();
        if (!KINDS.contains(kind)) throw new ConfigException(one.at("kind").path() + ": unknown value '" + kind + "'");
        String engine = one.at("engine").text("");
        if (!engine.isEmpty() && engines.stream().noneMatch(e -> e.name.equals(engine))) {
            throw new ConfigException(one.at("engine").path() + ": no such engine: '" + engine + "'");
        }
        int gateway = (int) one.at("gateway").number(-1);
        if (gateway >= gateways) throw new ConfigException(one.at("gateway").path() + ": no such gateway");
        return new FaultSpec(
                kind,
                1_000 * one.need("at").number(),
                1_000 * one.at("for").number(0),
                one.at("zone").present() ? zone(one.at("zone"), zones) : -1,
                engine,
                gateway,
                one.at("amount").number(0),
                one.at("one_way").flag(),
                1_000 * one.at("every").number(0));
    }

    private static double above0(Tree number) {
        if (!(number.number() > 0)) throw new ConfigException(number.path() + ": not above 0");
        return number.number();
    }

    private static double share(Tree number, double other) {
        double share = number.number(other);
        if (!(share >= 0 && share <= 1)) throw new ConfigException(number.path() + ": not from 0 to 1");
        return share;
    }
}
