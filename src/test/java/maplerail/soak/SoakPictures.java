package maplerail.soak;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import maplerail.support.Flood;

/**
 * What a seed draws beside its {@link SoakPlan}: clients that press, that leave with much unread, that come again with the
 * same id or stop half way, and writers whose streams are slow or end too early.
 */
record SoakPictures(
        Press press, List<Burst> bursts, double againOdds, int halves, int slowOneIn, long slowEventMs, int cutOneIn) {
    private static final long SEED = 0x2545f4914f6cdd1dL; // keeps the draws apart from those of the plan
    private static final long SLOWEST_EVENT_MS = 4_500;
    private static final int LARGE_BYTES = 200_000;

    /** What a client sends without waiting for answers. */
    enum Unsound {
        NOTHING,
        NO_ID,
        NEW_CLASSES,
        NEW_TENANTS,
        UNKNOWN_PATHS,
        NO_TIME;

        byte[] request(long number) {
            return switch (this) {
                case NO_ID -> post("", "lookup", "cyngor-glannau", "4.0");
                case NEW_CLASSES -> post("p" + number, "class" + number, "cyngor-glannau", "4.0");
                case NEW_TENANTS -> post("p" + number, "lookup", "tenant" + number, "4.0");
                case NO_TIME -> post("p" + number, "lookup", "cyngor-glannau", "0.000001");
                default -> ("GET /unknown" + number + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.UTF_8);
            };
        }

        private static byte[] post(String id, String kind, String tenant, String deadline) {
            String idLine = id.isEmpty() ? "" : "Req-Id: " + id + "\r\n";
            String lines = "Req-Kind: " + kind + "\r\nReq-Owner: " + tenant + "\r\nReq-Deadline: " + deadline + "\r\n";
            return Flood.post("/v1/chat/completions", idLine + lines, "{}");
        }
    }

    /** A client that presses for a while, over some connections. */
    record Press(Unsound kind, int connections, long atMs, long lastsMs) {}

    /** A client that sends requests at once and leaves. */
    record Burst(long atMs, int requests, int bytes, boolean repeatable, long leavesAfterMs) {}

    /** Nothing of the kind. */
    static SoakPictures none() {
        return new SoakPictures(new Press(Unsound.NOTHING, 0, 0, 0), List.of(), 0, 0, 0, 0, 0);
    }

    /** What a seed draws. */
    static SoakPictures draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed ^ SEED);
        Unsound kind = Unsound.values()[random.nextInt(Unsound.values().length)];
        Press press =
                new Press(kind, 1 + random.nextInt(6), random.nextLong(1_500, 5_000), random.nextLong(500, 4_000));
        List<Burst> bursts = new ArrayList<>();
        for (int i = random.nextInt(6); i > 0; i--) {
            int bytes = 50 + random.nextInt(20_000);
            bursts.add(new Burst(
                    random.nextLong(1_500, 7_000),
                    2 + random.nextInt(30),
                    bytes,
                    random.nextBoolean(),
                    1 + random.nextLong(80)));
        }
        return new SoakPictures(
                press,
                bursts,
                random.nextInt(2) * 0.5,
                random.nextInt(3) == 0 ? 60 : 0,
                random.nextInt(2) == 0 ? 4 : 0,
                random.nextLong(500, SLOWEST_EVENT_MS),
                random.nextInt(2) == 0 ? 5 : 0);
    }

    /** A request that stops before its end. */
    static byte[] half() {
        String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n";
        return (head + "x".repeat(LARGE_BYTES / 2)).getBytes(StandardCharsets.UTF_8);
    }
}
