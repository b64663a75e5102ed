package maplerail.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import maplerail.routing.EngineRole;
import maplerail.routing.RoutingSettings;

/**
 * What one gateway is told at its start. {@code admin} is where operators ask, or null; {@code inherited} tells that the
 * clients' listening socket is there already, as descriptor 0.
 */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress admin,
        boolean inherited,
        Names names,
        RoutingSettings settings,
        EngineList known,
        Wire wire,
        Peers peers) {

    private static final int SOCKETS = 1_024; // descriptors, where the configuration states no limit
    private static final int LEAST_SOCKETS = 128;

    /**
     * Figures for the connections; {@code sockets} is the most descriptors that the program may hold, {@code resume}
     * tells that clients ask for the rest of a stream that broke.
     */
    public record Wire(
            double connIdleMs, double connectTimeoutMs, int maxOpen, boolean retryAfter, int sockets, boolean resume) {}

    /**
     * The other gateways of the tier, where the settings let gateways tell each other ({@code limits.mayTell}) and the
     * configuration names them: {@code listen} is {@code peer_listen}, {@code members} are {@code peers} in the order
     * of their ranks (this one's included, at {@code rank}), {@code all} is {@code peers_all}, which reaches every one.
     * {@code decides}: they also keep a membership and decide in common ({@code $RELAY_FLEET} is {@code on}).
     */
    public record Peers(
            InetSocketAddress listen,
            List<InetSocketAddress> members,
            InetSocketAddress all,
            int rank,
            boolean decides) {
        /** The rank of the gateway that sends from this address, or -1 for none of the tier. */
        public int rankOf(InetSocketAddress address) {
            return members.indexOf(address);
        }
    }

    /**
     * Reads the text of a configuration that is to replace one while the program runs, whole or not at all. Guards
     * against a file from which a part has been lost: what may be left out at a start would silently be reset.
     */
    public static NodeConfig next(String text, String before, Map<String, String> environment) {
        NodeConfig news = read(text, environment);
        // What was known at the start is of no use later.
        String lost = Tree.object("config", before).without("known").lost(Tree.object("config", text));
        if (lost != null) throw new ConfigException(lost + ": missing, and the file in force has it");
        NodeConfig old = read(before, environment);
        if (!news.names.kinds().equals(old.names.kinds())) throw fixed("shapes");
        if (!news.names.zones().equals(old.names.zones())) throw fixed("localities");
        List<EngineRole> roles = old.settings.engineKinds().stream()
                .map(RoutingSettings.EngineKind::role)
                .toList();
        if (!news.settings.engineKinds().stream()
                .map(RoutingSettings.EngineKind::role)
                .toList()
                .equals(roles)) throw fixed("familyInfo.kindRole");
        return news;
    }

    private static ConfigException fixed(String key) {
        return new ConfigException("config.settings." + key + ": may change at a start only");
    }

    /** Reads the configuration's text; the environment's addresses come first where it has them. */
    public static NodeConfig read(String text, Map<String, String> environment) {
        Tree root = Tree.object("config", text);
        Tree settings = root.need("settings");
        if (!settings.isObject()) throw new ConfigException("config.settings: not an object");
        Names names = Names.read(settings);
        Tree limits = settings.need("limits");
        EngineList known = root.at("known").isObject() ? EngineList.read(root.at("known"), names) : null;
        return new NodeConfig(
                root.at("name").text(environment.getOrDefault("RELAY_NAME", "gateway")),
                address(environment.get("RELAY_LISTEN"), "RELAY_LISTEN", root, "listen"),
                address(environment.get("RELAY_DISCOVERY"), "RELAY_DISCOVERY", root, "discovery"),
                admin(environment.get("RELAY_ADMIN"), root),
                inherited(environment.get("RELAY_INHERITED_FD")),
                names,
                SettingsReader.read(EngineIds.key(root.at("seed").text("1")), settings)
                        .settings(),
                known,
                new Wire(
                        limits.at("connIdleMs").number(30_000),
                        limits.at("connectTimeoutMs").number(250),
                        (int) limits.at("maxOpen").number(20_000),
                        limits.at("retryAfter").flag(),
                        sockets(root),
                        settings.at("familyInfo").at("resume").flag()),
                "off".equals(environment.get("RELAY_PEERS"))
                        ? null
                        : peers(root, settings, "on".equals(environment.get("RELAY_FLEET"))));
    }

    private static int sockets(Tree root) {
        Tree told = root.at("limits").at("sockets");
        int sockets = (int) Math.min(1 << 20, told.number(SOCKETS));
        if (sockets < LEAST_SOCKETS) throw new ConfigException(told.path() + ": under " + LEAST_SOCKETS);
        return sockets;
    }

    private static InetSocketAddress admin(String told, Tree root) {
        boolean here = told != null && !told.isEmpty()
                || root.at("admin").present() && !"".equals(root.at("admin").raw());
        return here ? address(told, "RELAY_ADMIN", root, "admin") : null;
    }

    /** The machine hands over only descriptor 0 as a channel. */
    private static boolean inherited(String told) {
        if (told == null || told.isEmpty()) return false;
        if (!told.equals("0")) throw new ConfigException("RELAY_INHERITED_FD: not 0: '" + told + "'");
        return true;
    }

    /**
     * Null where the settings do not allow it, no peers are named, or {@code $RELAY_PEERS} is {@code off} (for a deploy
     * file that wants none); a named address that is not one is an error.
     */
    private static Peers peers(Tree root, Tree settings, boolean decides) {
        if (!settings.at("limits").at("mayTell").flag()
                || !root.at("peer_listen").present()) return null;
        List<InetSocketAddress> members = new ArrayList<>();
        for (Tree peer : root.need("peers").list()) members.add(Address.need(peer));
        int rank = (int) settings.need("rank").number();
        if (rank < 0 || rank >= members.size()) {
            throw new ConfigException(settings.at("rank").path() + ": " + rank + " is no place in config.peers");
        }
        return new Peers(
                Address.need(root.at("peer_listen")),
                List.copyOf(members),
                Address.need(root.need("peers_all")),
                rank,
                decides);
    }

    private static InetSocketAddress address(String told, String variable, Tree root, String key) {
        if (told == null || told.isEmpty()) return Address.need(root.need(key));
        InetSocketAddress address = Address.parse(told);
        if (address == null) throw new ConfigException(variable + ": not an address: '" + told + "'");
        return address;
    }
}
