import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A new version beside the old one, while streams run whose clients do not ask for the rest. */
public final class UpgradeCase {
    private static final String SITE = "bkk-materials"; // its clients do not ask for the rest of a broken stream
    private static final int SOCKETS = 512;
    private static final int STREAMS = 130;
    private static final double REQUEST_EVERY_MS = 25;
    private static final int START_NEW_AFTER = 114; // requests: it is ready when the last ones have been sent
    private static final double TOKEN_MS = 110;
    private static final double FIRST_ENDS_MS = 6_300; // after the first request: all are still open at SIGTERM,
    private static final double NEXT_ENDS_MS = 6; // and end one after the other before SIGKILL
    private static final double KILL_AFTER_MS = 3_700; // 3 s, as the longest deadline is longer, and 0.7 s

    private UpgradeCase() {}

    public static void main(String[] arguments) throws Exception {
        Path here = Path.of(arguments[0]);
        Path folder = Files.createTempDirectory("review-upgrade");
        int status = 2;
        try (Kit.Record record = new Kit.Record(here);
                Platform platform = new Platform(folder);
                Fleet fleet = new Fleet(SITE, 4, 4)) {
            Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
            status = play(record, platform, fleet, folder);
            record.line("exit status " + status);
        } finally {
            Kit.endAll();
        }
        System.exit(status);
    }

    private static int play(Kit.Record record, Platform platform, Fleet fleet, Path folder) throws Exception {
        Map<String, Integer> lengths = new ConcurrentHashMap<>();
        fleet.tokens = id -> lengths.getOrDefault(id, 5);
        fleet.tokenMs = TOKEN_MS;
        int oldDoor = Kit.freePort();
        int newDoor = Kit.freePort();
        long old = platform.start(folder, "old", config(fleet, oldDoor));
        if (!Kit.awaitYes(oldDoor, "/_ready", 20_000)) {
            record.line("the gateway did not get ready");
            return 2;
        }
        record.line("old process ready, sockets=" + SOCKETS + " resume=false");
        for (int i = 0; i < 8; i++) {
            Kit.ask(platform.port, Kit.request(Kit.newId("warm"), "lookup", "", 5, 4_000), 10_000);
        }

        Map<String, Kit.Answer> answers = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        double startedMs = Double.NaN;
        for (int i = 0; i < STREAMS; i++) {
            String kind = i % 4 == 3 ? "curate" : "lookup"; // the first must never run twice
            String id = Kit.newId(kind);
            lengths.put(id, (int) Math.round((FIRST_ENDS_MS - (REQUEST_EVERY_MS - NEXT_ENDS_MS) * i) / TOKEN_MS));
            clients.add(Kit.thread("client", () -> {
                record.line("sent " + id);
                Kit.Answer answer = Kit.ask(
                        platform.port, Kit.request(id, kind, "", 5, 4_000), 20_000);
                answers.put(id, answer);
                record.line("answered " + id + " " + answer);
            }));
            Kit.sleep(REQUEST_EVERY_MS);
            if (Kit.trouble() && i == START_NEW_AFTER) {
                platform.start(folder, "new", config(fleet, newDoor));
                startedMs = Kit.now();
            }
        }
        double termMs = Double.POSITIVE_INFINITY;
        if (Kit.trouble()) {
            if (!Kit.awaitYes(newDoor, "/_ready", startedMs + 6_000 - Kit.now())) {
                record.line("the new process did not say yes within 6 s");
                return 2;
            }
            termMs = Kit.now();
            Kit.signal("TERM", old);
            record.line("new process says yes; SIGTERM to the old one; answers not finished: "
                    + (STREAMS - answers.size()));
            Kit.thread("kill", () -> {
                Kit.sleep(KILL_AFTER_MS);
                record.line("old process " + (Platform.isAlive(old) ? "alive, SIGKILL" : "has ended by itself"));
                if (Platform.isAlive(old)) Kit.signal("KILL", old);
            });
        }
        for (Thread client : clients) client.join(25_000);

        Map<String, Integer> counts = new LinkedHashMap<>();
        int lost = 0;
        for (Map.Entry<String, Kit.Answer> each : answers.entrySet()) {
            Kit.Answer answer = each.getValue();
            String what = answer.status == 200 && answer.whole ? "served" : answer.whole ? "refused or failed" : "cut off";
            // Only a stream that had begun counts: what ends at the door of an upgrade is priced and not lost.
            if (!answer.whole && tokens(answer) == 0) what = "ended before its first token";
            // What SIGKILL finds unanswered was sent before SIGTERM, and is excused.
            if (!answer.whole && answer.endedMs >= termMs + KILL_AFTER_MS - 20) what = "ended by SIGKILL";
            if (what.equals("cut off")) {
                lost++;
                record.line("LOST " + each.getKey() + " cut off " + Math.round(answer.endedMs - termMs)
                        + " ms after SIGTERM, after " + tokens(answer) + " of " + lengths.get(each.getKey())
                        + " tokens");
            }
            counts.merge(what, 1, Integer::sum);
        }
        if (answers.size() < STREAMS) counts.put("without an end", STREAMS - answers.size());
        record.line("of " + STREAMS + " requests: " + counts);
        if (counts.getOrDefault("served", 0) < 60) {
            record.line("too few streams were begun");
            return lost > 0 ? 1 : 2;
        }
        return lost > 0 ? 1 : 0;
    }

    private static int tokens(Kit.Answer answer) {
        return answer.body.split("\"content\":\"t", -1).length - 1;
    }

    private static String config(Fleet fleet, int door) {
        return fleet.config(SITE, "127.0.0.1:1", "127.0.0.1:" + door, SOCKETS);
    }
}
