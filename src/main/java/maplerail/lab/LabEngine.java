package maplerail.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for an engine on the platform's wire (PROTOCOL, "Gateways to engines"): a reader that takes time for what of
 * a prompt it has not kept and keeps what it read, or a writer that streams tokens from a state that some reader holds.
 * It can be slowed, made to fail, cooled and killed while it runs.
 */
public final class LabEngine implements AutoCloseable {
    private static final int EVENT_TOKENS = 8;
    private static final int MOST_KEPT = 4_096; // sessions and beginnings

    /** How an engine is made: times in ms, speeds in tokens a ms, {@code slots} requests at once, {@code queue} waiting. */
    public record Model(
            boolean writes, int slots, int queue, double tokensPerMs, double msPerToken, double overheadMs) {
        /** Reads prompts. */
        public static Model reader(int slots, double tokensPerMs) {
            return new Model(false, slots, 40, tokensPerMs, 0, 5);
        }

        /** Writes answers. */
        public static Model writer(int slots, double msPerToken) {
            return new Model(true, slots, 30, 0, msPerToken, 5);
        }
    }

    private final String name;
    private final String zone;
    private final int zoneNumber;
    private final Model model;
    private final Ledger ledger;
    private final Set<String> states;
    private final Semaphore slots;
    private final Map<String, Double> kept = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MOST_KEPT;
        }
    };
    private final Wire.Server server;
    private volatile double slow = 1;
    private volatile boolean failing;

    /** An engine of a zone; {@code states} is shared by all engines of the experiment: requests whose state is held. */
    LabEngine(String name, String zone, int zoneNumber, Model model, Ledger ledger, Set<String> states)
            throws IOException {
        this.name = name;
        this.zone = zone;
        this.zoneNumber = zoneNumber;
        this.model = model;
        this.ledger = ledger;
        this.states = states;
        slots = new Semaphore(model.slots(), true);
        server = new Wire.Server(name, this::handle, () -> ledger.count("connections " + name));
    }

    static Set<String> states() {
        return ConcurrentHashMap.newKeySet();
    }

    /** Its name, the same at every gateway. */
    public String name() {
        return name;
    }

    /** The zone that it sits in. */
    public String zone() {
        return zone;
    }

    /** Whether it writes answers; else it reads prompts. */
    public boolean writes() {
        return model.writes();
    }

    InetSocketAddress address() {
        return server.address();
    }

    /** Everything takes that many times as long from now on. */
    public void slow(double factor) {
        slow = factor;
    }

    /** Answers 500 from now on, or no longer. */
    public void failing(boolean fails) {
        failing = fails;
    }

    /** Forgets what it kept, as after a restart. */
    public void flush() {
        synchronized (kept) {
            kept.clear();
        }
    }

    /** Connections that gateways hold here. */
    public int connections() {
        return server.connections();
    }

    private boolean handle(Wire.Message asked, Socket socket) throws IOException, InterruptedException {
        String method = asked.words()[0];
        if (method.equals("DELETE")) {
            states.remove(asked.words()[1].substring(asked.words()[1].lastIndexOf('/') + 1));
            return Wire.reply(socket, 204, "", "");
        }
        if (!method.equals("POST") || asked.header("req-id").isEmpty()) return Wire.reply(socket, 404, "", "");
        if (slots.getQueueLength() >= model.queue()) return Wire.reply(socket, 503, "", "Srv-Declined: 1\r\n");
        String id = asked.header("req-id");
        if (model.writes() && !states.contains(id)) return Wire.reply(socket, 410, "", "Srv-Declined: 1\r\n");
        ledger.reached(id, model.writes(), asked.header("req-retry").equals("again"), name, zoneNumber);
        if (failing) return Wire.reply(socket, 500, "", "");
        slots.acquire();
        try {
            if (model.writes()) return write(asked, id, socket);
            return Wire.reply(socket, 202, "{\"cached_tokens\":" + read(asked, id) + "}", "");
        } finally {
            slots.release();
        }
    }

    private long read(Wire.Message asked, String id) throws InterruptedException {
        double prompt = asked.extra("prompt_len");
        String session = "s" + asked.header("req-key");
        String extra = asked.header("req-extra");
        int at = extra.indexOf("prefix=");
        String prefix = at < 0 ? null : "p" + extra.substring(at).split(",")[0];
        double found;
        synchronized (kept) {
            double begun = prefix == null ? 0 : kept.getOrDefault(prefix, 0.0);
            found = Math.min(prompt, Math.max(kept.getOrDefault(session, 0.0), begun));
        }
        sleep(model.overheadMs() + (prompt - found) / model.tokensPerMs());
        synchronized (kept) {
            kept.put(session, prompt);
            if (prefix != null) kept.put(prefix, asked.extra("prefix_len"));
        }
        states.add(id);
        return Math.round(found);
    }

    private boolean write(Wire.Message asked, String id, Socket socket) throws IOException, InterruptedException {
        sleep(model.overheadMs());
        states.remove(id);
        Wire.write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        int tokens = Integer.parseInt(asked.headers().getOrDefault("lab-tokens", "40"));
        for (int i = 0; i < tokens; i += EVENT_TOKENS) {
            sleep(model.msPerToken() * Math.min(EVENT_TOKENS, tokens - i));
            chunk(
                    socket,
                    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + "abcd".repeat(EVENT_TOKENS)
                            + "\"}}]}\n\n");
        }
        chunk(socket, "data: [DONE]\n\n");
        Wire.write(socket, "0\r\n\r\n");
        return true;
    }

    private static void chunk(Socket socket, String event) throws IOException {
        Wire.write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }

    private void sleep(double ms) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(Math.max(0, Math.round(1_000 * ms * slow)));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
