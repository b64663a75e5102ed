package maplerail.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in for discovery's agent on one gateway's machine (PROTOCOL, "Discovery"): the whole list, or a watch that waits
 * for a newer version. Each gateway has its own, as each reaches the engines through links of its own.
 */
final class Agent implements AutoCloseable {
    private static final long MOST_WAIT_MS = 60_000;

    private record Host(String zone, int block, String kind, String dial, String health, long bornMs) {}

    private final Map<String, Host> hosts = new TreeMap<>();
    private final Wire.Server server;
    private long version = 1;

    Agent(String name) throws IOException {
        server = new Wire.Server(name, this::handle);
    }

    InetSocketAddress address() {
        return server.address();
    }

    /** What is told of an engine from now on; {@code health} as on the platform. */
    synchronized void tell(LabEngine engine, int block, InetSocketAddress dial, String health, long bornMs) {
        hosts.put(
                engine.name(),
                new Host(
                        engine.zone(), block, engine.writes() ? "decode" : "prefill", Wire.text(dial), health, bornMs));
        version++;
        notifyAll();
    }

    synchronized String list() {
        StringBuilder out = new StringBuilder("{\"seq\":" + version + ",\"whole\":true,\"hosts\":[");
        String comma = "";
        for (Map.Entry<String, Host> entry : hosts.entrySet()) {
            Host h = entry.getValue();
            if (h.health.equals("terminated")) continue;
            out.append(comma)
                    .append("{\"host\":\"")
                    .append(entry.getKey())
                    .append("\",\"dial\":\"")
                    .append(h.dial)
                    .append("\",\"site\":\"")
                    .append(h.zone)
                    .append("\",\"class\":\"")
                    .append(h.kind)
                    .append("\",\"block\":")
                    .append(h.block)
                    .append(",\"health\":\"")
                    .append(h.health)
                    .append("\",\"share\":1.0,\"born_ms\":")
                    .append(h.bornMs)
                    .append('}');
            comma = ",";
        }
        return out.append("]}").toString();
    }

    private boolean handle(Wire.Message asked, Socket socket) throws IOException, InterruptedException {
        String target = asked.words()[1];
        if (!target.startsWith("/api/targets")) return Wire.reply(socket, 404, "", "");
        long index = number(target, "index=", 0);
        long until = System.currentTimeMillis() + Math.min(MOST_WAIT_MS, number(target, "wait=", 0));
        synchronized (this) {
            while (index > 0 && version <= index && System.currentTimeMillis() < until) {
                wait(Math.max(1, until - System.currentTimeMillis()));
            }
        }
        return Wire.reply(socket, 200, list(), "");
    }

    private static long number(String target, String key, long other) {
        int at = target.indexOf(key);
        return at < 0
                ? other
                : Long.parseLong(target.substring(at + key.length()).split("&")[0]);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
