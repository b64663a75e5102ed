import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Mixed engines in two cells, and a class whose repeats are dropped within a cell; one cell's engines are in trouble. */
public final class KeyedCase {
    private static final String SITE = "goleuo-cymru";
    private static final String TENANT = "cyngor-glannau";
    private static final double KEY_TTL_MS = 5_000;
    private static final int CELL_SIZE = 5;
    private static final int HANGING = 2; // of the 10 engines, both in the first cell
    private static final int WARM = 60;
    private static final int REQUESTS = 860;
    private static final double EVERY_MS = 40;
    private static final double DEADLINE_S = 5;
    private static final double TROUBLE_MS = 1_500;
    private static final double TROUBLE_EVERY_MS = 5_000;
    private static final int TROUBLES = 7;

    private final Kit.Record record;
    /** Each attempt that an engine got: request, engine, cell, when it came, when and how it was answered. */
    private final List<Attempt> attempts = Collections.synchronizedList(new ArrayList<>());
    /** The requests that were run, by the cell whose engines drop repeats of them. */
    private final Map<Integer, Set<String>> runByCell = new ConcurrentHashMap<>();
    private volatile double troubledUntilMs = Double.NEGATIVE_INFINITY;

    private static final class Attempt {
        final String request;
        final String engine;
        final int cell;
        final double cameMs = Kit.now();
        volatile double answeredMs = Double.POSITIVE_INFINITY;
        volatile boolean mayHaveRun = true; // until an answer says that it never did
        volatile boolean ran;

        Attempt(String request, String engine, int cell) {
            this.request = request;
            this.engine = engine;
            this.cell = cell;
        }
    }

    private KeyedCase(Kit.Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path here = Path.of(arguments[0]);
        Path folder = Files.createTempDirectory("review-keyed");
        int status = 2;
        try (Kit.Record record = new Kit.Record(here)) {
            Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
            status = new KeyedCase(record).play(folder);
            record.line("exit status " + status);
        } finally {
            Kit.endAll();
        }
        System.exit(status);
    }

    private int play(Path folder) throws Exception {
        Fleet fleet = new Fleet(SITE, 0, 0);
        for (int i = 0; i < CELL_SIZE; i++) {
            engine(fleet, (i < HANGING ? "hanging-" : "resetting-") + i, 1);
            engine(fleet, "sound-" + i, 2);
        }
        int port = Kit.freePort();
        Kit.startGateway(folder, "gateway", config(fleet, port), "", Map.of());
        if (!Kit.awaitYes(port, "/-/ready", 20_000)) {
            record.line("the gateway did not get ready");
            return 2;
        }
        for (int i = 0; i < WARM; i++) {
            String id = Kit.newId("warm");
            Kit.thread("client", () -> Kit.ask(port, request(id), 10_000));
            Kit.sleep(EVERY_MS);
        }
        Kit.sleep(500);
        if (Kit.trouble()) {
            Kit.thread("trouble", () -> {
                for (int i = 0; i < TROUBLES; i++) {
                    troubledUntilMs = Kit.now() + TROUBLE_MS;
                    record.line("trouble in cell 1 for " + TROUBLE_MS + " ms");
                    Kit.sleep(TROUBLE_EVERY_MS);
                }
            });
        }
        Map<String, Kit.Answer> answers = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = Kit.newId("key");
            ids.add(id);
            clients.add(Kit.thread("client", () -> {
                record.line("sent " + id);
                Kit.Answer answer = Kit.ask(port, request(id), 15_000);
                answers.put(id, answer);
                record.line("answered " + id + " " + answer);
            }));
            Kit.sleep(EVERY_MS);
        }
        for (Thread client : clients) client.join(20_000);
        Kit.sleep(500);

        int broken = 0;
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (String id : ids) {
            Kit.Answer answer = answers.get(id);
            counts.merge(answer == null ? "without an end" : "status " + answer.status, 1, Integer::sum);
            String fault = fault(id, answer);
            if (fault == null) continue;
            broken++;
            record.line("DUPLICATE " + id + ": " + fault);
        }
        record.line("of " + REQUESTS + " requests: " + counts + "; duplicates or refusals of what had run: " + broken);
        return broken > 0 ? 1 : answers.size() < REQUESTS ? 2 : 0;
    }

    /** What breaks the rule on duplicates for a request; null if nothing does. */
    private String fault(String id, Kit.Answer answer) {
        List<Attempt> own = new ArrayList<>();
        synchronized (attempts) {
            for (Attempt attempt : attempts) if (attempt.request.equals(id)) own.add(attempt);
        }
        boolean refused = answer != null && (answer.status == 429 || answer.status == 503);
        for (Attempt earlier : own) {
            if (refused && earlier.ran) return "run at " + earlier.engine + ", then refused: the client may try again";
        }
        for (Attempt later : own) {
            for (Attempt earlier : own) {
                if (earlier == later || earlier.cameMs > later.cameMs) continue;
                // Only what an engine's answer proved never to have run, before the later attempt, may be repeated anywhere.
                if (!earlier.mayHaveRun && earlier.answeredMs < later.cameMs) continue;
                boolean inGroup = earlier.cell == later.cell && later.cameMs - earlier.cameMs <= KEY_TTL_MS + 50 + 150;
                if (inGroup || !earlier.ran) continue;
                return String.format(
                        Locale.ROOT,
                        "run at %s (cell %d) from %.0f ms, then sent to %s (cell %d) at %.0f ms and %s",
                        earlier.engine,
                        earlier.cell,
                        earlier.cameMs,
                        later.engine,
                        later.cell,
                        later.cameMs,
                        later.ran ? "run again" : "not run");
            }
        }
        return null;
    }

    private void engine(Fleet fleet, String host, int cell) throws Exception {
        Kit.Server server = new Kit.Server(x -> {
            if (!x.target.startsWith("/v1/")) {
                x.reply(x.method.equals("DELETE") ? 204 : 404, "");
                return;
            }
            serve(x, new Attempt(x.header("Req-Id"), host, cell));
        });
        fleet.engines.add(server);
        fleet.discovery.put(host, server.address(), "caerdydd", "mixed", cell, "in_service", 0);
    }

    private void serve(Kit.Exchange x, Attempt attempt) throws Exception {
        attempts.add(attempt);
        String name = attempt.request + " at " + attempt.engine;
        record.line("came " + name);
        double untilMs = troubledUntilMs;
        boolean trouble = Kit.now() < untilMs;
        if (trouble && attempt.engine.startsWith("hanging")) {
            // It hangs with the request unread; once it goes on, its queue is full.
            Kit.sleep(untilMs - Kit.now());
            attempt.mayHaveRun = false;
            attempt.answeredMs = Kit.now();
            record.line("turned away " + name);
            x.reply(503, "", "Srv-Declined: 1");
            return;
        }
        attempt.ran = runByCell
                .computeIfAbsent(attempt.cell, cell -> ConcurrentHashMap.newKeySet())
                .add(attempt.request);
        record.line((attempt.ran ? "run " : "repeat dropped, answered again ") + name);
        Kit.sleep(60);
        if (trouble && attempt.engine.startsWith("resetting")) {
            attempt.answeredMs = Kit.now();
            record.line("connection reset under " + name);
            x.socket.setSoLinger(true, 0);
            x.socket.close();
            return;
        }
        x.beginStream();
        for (int i = 0; i < 5; i++) {
            if (i > 0) Kit.sleep(30);
            x.token("t" + i);
        }
        x.endAnswer(5);
        attempt.answeredMs = Kit.now();
    }

    private static byte[] request(String id) {
        return Kit.request(id, "lookup", TENANT, DEADLINE_S, 4_000);
    }

    /** The site's settings, with one kind of mixed engines, and a keyed class whose repeats each cell drops. */
    private static String config(Fleet fleet, int port) {
        String config = fleet.config(SITE, "127.0.0.1:" + port, null, 1_024)
                .replace("\"kindMemoryTokens\":[172414,153214],\"kindRole\":[\"read\",\"write\"]",
                        "\"kindMemoryTokens\":[172414],\"kindRole\":[\"both\"]")
                .replace("\"shapes\":[\"prefill\",\"decode\"]", "\"shapes\":[\"mixed\"]")
                .replace("\"repeat\":\"pure\"", "\"repeat\":\"token\",\"keyScope\":\"cell\",\"keyTtlMs\":" + KEY_TTL_MS);
        return config;
    }
}
