package maplerail.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import maplerail.core.AdmissionLimits;
import maplerail.routing.EngineRole;
import maplerail.routing.Idempotency;
import maplerail.routing.IdempotencyScope;
import maplerail.routing.RoutingSettings;

/** The operator's file that switches the tool front on: services, tools, their contracts and the teams' budgets. */
public record ToolsConfig(
        InetSocketAddress listen,
        String path,
        boolean handshake,
        double sessionIdleMs,
        int pageSize,
        InetSocketAddress consul,
        Map<String, Service> services,
        List<Contract> contracts,
        Map<String, Tool> tools,
        List<Team> teams) {

    private static final double MOST_DEADLINE_MS = 600_000;
    private static final double SESSION_IDLE_MS = 60_000;
    private static final int PAGE_SIZE = 100; // tools of one answer to tools/list

    /** Tool servers of one kind, found through Consul or listed. */
    public record Service(String path, List<InetSocketAddress> servers) {}

    /** What is promised and asked for calls of a class. */
    public record Contract(
            String name,
            Idempotency repeat,
            double deadlineMs,
            double mostDeadlineMs,
            int mostArgument,
            int mostReply) {}

    /** A tool: which service has it, and the place of its contract. */
    public record Tool(String service, int contract) {}

    /** A team, and what it may spend. */
    public record Team(String name, AdmissionLimits.Budget budget) {}

    /** Reads the file's text. */
    public static ToolsConfig read(String text) {
        Tree root = Tree.object("tools", text);
        InetSocketAddress consul = root.at("consul").present() ? Address.need(root.at("consul")) : null;
        Map<String, Service> services = new TreeMap<>();
        for (String name : needKeys(root, "services")) {
            services.put(name, service(root.at("services").at(name), consul));
        }
        List<Contract> contracts = new ArrayList<>();
        for (String name : needKeys(root, "contracts"))
            contracts.add(contract(name, root.at("contracts").at(name)));
        Map<String, Tool> tools = new TreeMap<>();
        List<String> names = contracts.stream().map(Contract::name).toList();
        for (String name : needKeys(root, "tools")) {
            Tree tool = root.at("tools").at(name);
            String service = tool.need("service").text();
            if (!services.containsKey(service)) throw unknown(tool.at("service"));
            int contract = names.indexOf(tool.need("contract").text());
            if (contract < 0) throw unknown(tool.at("contract"));
            tools.put(name, new Tool(service, contract));
        }
        List<Team> teams = new ArrayList<>();
        for (String name : needKeys(root, "teams")) {
            Tree team = root.at("teams").at(name);
            teams.add(new Team(name, new AdmissionLimits.Budget(above(team.need("calls_per_s"), 1e6), (int)
                    above(team.need("calls_in_flight"), 10_000))));
        }
        return new ToolsConfig(
                Address.need(root.need("listen")),
                root.at("path").text("/rpc"),
                handshake(root.at("handshake")),
                root.at("session_idle_ms").present() ? above(root.at("session_idle_ms"), 3_600_000) : SESSION_IDLE_MS,
                root.at("page_size").present() ? (int) Math.max(1, above(root.at("page_size"), 10_000)) : PAGE_SIZE,
                consul,
                services,
                List.copyOf(contracts),
                tools,
                List.copyOf(teams));
    }

    /** Whether sessions have to be initialized first; those that speak the older, bare form need not be. */
    private static boolean handshake(Tree word) {
        return switch (word.text("optional")) {
            case "required" -> true;
            case "optional" -> false;
            default -> throw unknown(word);
        };
    }

    private static List<String> needKeys(Tree root, String key) {
        List<String> keys = root.need(key).keys();
        if (keys.isEmpty()) throw new ConfigException(root.at(key).path() + ": names nothing");
        return keys;
    }

    private static Service service(Tree tree, InetSocketAddress consul) {
        List<InetSocketAddress> servers =
                tree.at("servers").list().stream().map(Address::need).toList();
        if (servers.isEmpty() && consul == null) {
            throw new ConfigException(tree.at("servers").path() + ": missing, and tools.consul too");
        }
        return new Service(tree.at("path").text("/"), servers);
    }

    private static Contract contract(String name, Tree tree) {
        double deadlineMs = above(tree.need("deadline_ms"), MOST_DEADLINE_MS);
        Tree told = tree.at("most_deadline_ms");
        double mostMs = told.present() ? above(told, MOST_DEADLINE_MS) : deadlineMs;
        if (mostMs < deadlineMs) throw new ConfigException(told.path() + ": under deadline_ms");
        return new Contract(
                name,
                SettingsReader.repeat(tree.need("repeat")),
                deadlineMs,
                mostMs,
                (int) above(tree.need("most_argument_bytes"), 256 * 1024),
                (int) above(tree.need("most_reply_bytes"), 1024 * 1024));
    }

    private static double above(Tree number, double most) {
        double value = number.number();
        if (!(value > 0 && value <= most)) {
            throw new ConfigException(number.path() + ": not above 0 and up to " + (long) most);
        }
        return value;
    }

    private static ConfigException unknown(Tree name) {
        return new ConfigException(name.path() + ": unknown value '" + name.text() + "'");
    }

    /**
     * Checks that a running process can take over the next file: addresses of Consul, tools, contracts and budgets may change.
     *
     * @throws ConfigException naming the first key that may not
     */
    public void requireReloadable(ToolsConfig next) {
        requireSame("listen", listen, next.listen);
        requireSame("path", path, next.path);
        requireSame("handshake", handshake, next.handshake);
        requireSame("session_idle_ms", sessionIdleMs, next.sessionIdleMs);
        requireSame("services", services, next.services);
        requireSame("contracts", names(contracts, Contract::name), names(next.contracts, Contract::name));
        requireSame("teams", names(teams, Team::name), names(next.teams, Team::name));
    }

    private static <T> List<String> names(List<T> all, Function<T, String> name) {
        return all.stream().map(name).toList();
    }

    private static void requireSame(String key, Object inForce, Object next) {
        if (!inForce.equals(next)) throw new ConfigException("tools." + key + ": may change at a start only");
    }

    /** What callers may ask for. */
    public AdmissionLimits budgets(int maxOpen) {
        return new AdmissionLimits(
                maxOpen,
                contracts.stream()
                        .map(c -> new AdmissionLimits.Contract(c.mostArgument()))
                        .toList(),
                teams.stream().map(Team::budget).toList());
    }

    /** The settings of a module that decides for tool servers: each answers by itself, and holds nothing. */
    public RoutingSettings settings(long seed) {
        List<RoutingSettings.RequestClass> classes = contracts.stream()
                .map(c -> new RoutingSettings.RequestClass(
                        c.deadlineMs(), 0, c.deadlineMs(), 0, 1, 0, c.repeat(), IdempotencyScope.ALL, c.deadlineMs()))
                .collect(Collectors.toList());
        return new RoutingSettings(
                seed,
                1,
                0,
                1,
                false,
                1,
                classes,
                List.of(),
                List.of(new RoutingSettings.EngineKind(EngineRole.BOTH, 1e6)),
                new RoutingSettings.Limits(4, true, true, true, 1_000, false),
                new RoutingSettings.Rules(0, 500, 1, 1e6, 1_000, 0, 0));
    }
}
