import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A bad client that sends hundreds of requests at once, each with a body within the limit, beside usual clients. */
public final class FloodCase {
    private static final String SITE = "goleuo-cymru";
    private static final String TENANT = "cyngor-glannau";
    private static final int SOCKETS = 1_024;
    private static final int FLOOD = 260;
    private static final int FLOOD_BODY_BYTES = 240_000; // the limit is 262,144
    private static final int USUAL = 75;
    private static final double USUAL_EVERY_MS = 200;
    private static final int USUAL_BODY_BYTES = 8_000; // 2,000 tokens
    private static final int FLOOD_AFTER = 15; // usual requests
    private static final double DEADLINE_S = 4;
    private static final double LOST_AFTER_MS = 550; // after the deadline: half a second, and 50 ms for every limit

    private FloodCase() {}

    public static void main(String[] arguments) throws Exception {
        Path here = Path.of(arguments[0]);
        Path folder = Files.createTempDirectory("review-flood");
        int status = 2;
        try (Kit.Record record = new Kit.Record(here);
                Fleet fleet = new Fleet(SITE, 4, 4)) {
            Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
            status = play(record, fleet, folder);
            record.line("exit status " + status);
        } finally {
            Kit.endAll();
        }
        System.exit(status);
    }

    private static int play(Kit.Record record, Fleet fleet, Path folder) throws Exception {
        fleet.tokens = id -> 40;
        fleet.tokenMs = 60;
        int port = Kit.freePort();
        Process gateway = Kit.startGateway(
                folder, "gateway", fleet.config(SITE, "127.0.0.1:" + port, null, SOCKETS), "", Map.of());
        if (!Kit.awaitYes(port, "/-/ready", 20_000)) {
            record.line("the gateway did not get ready");
            return 2;
        }
        record.line("gateway ready");
        Map<String, Kit.Answer> usual = new ConcurrentHashMap<>();
        Map<String, Kit.Answer> flood = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        byte[][] prepared = new byte[FLOOD][];
        String[] floodIds = new String[FLOOD];
        for (int i = 0; i < FLOOD; i++) {
            floodIds[i] = Kit.newId("flood");
            prepared[i] = Kit.request(floodIds[i], "lookup", TENANT, 6, FLOOD_BODY_BYTES);
        }
        double floodMs = Double.POSITIVE_INFINITY;
        for (int i = 0; i < USUAL; i++) {
            if (i == FLOOD_AFTER && Kit.trouble()) {
                floodMs = Kit.now();
                record.line("the bad client sends " + FLOOD + " requests of " + FLOOD_BODY_BYTES + " bytes at once");
                for (int j = 0; j < FLOOD; j++) {
                    String id = floodIds[j];
                    byte[] bytes = prepared[j];
                    clients.add(Kit.thread("flood", () -> {
                        Kit.Answer answer = Kit.ask(port, bytes, 20_000);
                        flood.put(id, answer);
                        record.line("answered " + id + " " + answer);
                    }));
                }
            }
            String id = Kit.newId("usual");
            clients.add(Kit.thread("usual", () -> {
                record.line("sent " + id);
                Kit.Answer answer =
                        Kit.ask(port, Kit.request(id, "lookup", TENANT, DEADLINE_S, USUAL_BODY_BYTES), 25_000);
                usual.put(id, answer);
                record.line("answered " + id + " " + answer);
            }));
            Kit.sleep(USUAL_EVERY_MS);
        }
        for (Thread client : clients) client.join(30_000);

        int lost = 0;
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (Map.Entry<String, Kit.Answer> each : usual.entrySet()) {
            Kit.Answer answer = each.getValue();
            double headAfterMs = answer.headMs - answer.sentMs;
            double limitMs = DEADLINE_S * 1_000 + LOST_AFTER_MS;
            boolean written = !answer.ended.startsWith("not connected");
            // A connection that is refused, or closed before then with nothing on it, does not count.
            boolean late = written && !(headAfterMs <= limitMs) && answer.endedMs - answer.sentMs > limitMs;
            String what = late ? "lost"
                    : answer.status == 200 ? "served"
                    : answer.status > 0 ? "status " + answer.status : "refused or closed";
            counts.merge(what, 1, Integer::sum);
            if (!late) continue;
            lost++;
            record.line("LOST " + each.getKey() + " sent " + Math.round(answer.sentMs - floodMs)
                    + " ms after the flood began, with " + DEADLINE_S + " s to wait: " + answer);
        }
        Map<Integer, Integer> floodCounts = new LinkedHashMap<>();
        flood.values().forEach(answer -> floodCounts.merge(answer.status, 1, Integer::sum));
        record.line("of " + USUAL + " usual requests: " + counts + "; the bad client's by status: " + floodCounts
                + "; the gateway's process " + (gateway.isAlive() ? "runs" : "has ended"));
        if (!gateway.isAlive()) return 1;
        if (usual.size() < USUAL) return 2;
        return lost > 0 ? 1 : 0;
    }
}
