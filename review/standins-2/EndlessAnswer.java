import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Some streams are spoilt and never end; the requests beside them have to be answered all the same. */
final class EndlessAnswer {
    private static final String GOOD = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abcd\"},\"finish_reason\":null}]}\n\n";

    public static void main(String[] args) {
        Kit.run(args, kit -> {
            int spoiltOneIn = 4;
            AtomicInteger writes = new AtomicInteger(), spoilt = new AtomicInteger();
            java.util.Set<String> spoiltIds = Collections.synchronizedSet(new java.util.HashSet<>());
            java.util.concurrent.atomic.AtomicLong spoiltBytes = new java.util.concurrent.atomic.AtomicLong();
            Kit.Server reader = kit.new Server(request -> {
                if (request.method.equals("DELETE")) return Kit.Reply.of(204, "");
                kit.sleep(20);
                return Kit.Reply.json(202, "{\"cached_tokens\":0}");
            });
            Kit.StreamServer writer = kit.new StreamServer((request, out) -> {
                if (!request.path.startsWith("/v1/")) {
                    out.write("HTTP/1.1 204 X\r\n\r\n");
                    return true;
                }
                out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                if (kit.trouble && writes.incrementAndGet() % spoiltOneIn == 0) {
                    spoilt.incrementAndGet();
                    spoiltIds.add(request.headers.get("Req-Id"));
                    String noise = "#".repeat(16_384);
                    out.chunk(GOOD);
                    for (double until = kit.nowMs() + 10_000; kit.nowMs() < until; ) {
                        out.chunk(noise);
                        spoiltBytes.addAndGet(noise.length());
                        Thread.sleep(3);
                    }
                    return false;
                }
                for (int i = 0; i < 10; i++) {
                    out.chunk(GOOD);
                    Thread.sleep(100);
                }
                out.chunk("data: [DONE]\n\n");
                out.write("0\r\n\r\n");
                return true;
            });
            String all = Kit.list(reader.port(), writer.port());
            Kit.Server discovery = kit.new Server(request -> {
                if (!request.path.contains("wait=")) return Kit.Reply.json(200, all);
                kit.sleep(1_000);
                return Kit.Reply.json(200, "{\"seq\":1,\"whole\":false,\"hosts\":[]}");
            });
            Kit.Gateway gateway = kit.new Gateway(
                    "g", kit.config(discovery.port(), reader.port(), writer.port()), null, java.util.Map.of());
            AtomicInteger served = new AtomicInteger(), refused = new AtomicInteger(), other = new AtomicInteger();
            List<String> bad = Collections.synchronizedList(new ArrayList<>());
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                String id = "r" + i;
                clients.add(Kit.daemon(() -> {
                    double from = kit.nowMs();
                    String result;
                    try (Kit.Conn conn = new Kit.Conn(gateway.platformPort(), 13_000)) {
                        String body = "{\"model\":\"chat\",\"stream\":true}";
                        conn.send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: " + id
                                + "\r\nReq-Kind: lookup\r\nReq-Owner: cyngor-glannau\r\nReq-Deadline: 6.0\r\n"
                                + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                        Kit.Head head = conn.readHead();
                        String answer = conn.readBody(head);
                        result = head.status + (answer.contains("[DONE]") ? " whole" : "");
                    } catch (java.io.IOException e) {
                        result = e.toString();
                    }
                    if (result.equals("200 whole")) served.incrementAndGet();
                    else if (result.startsWith("503") || result.startsWith("429")) refused.incrementAndGet();
                    else if (spoiltIds.contains(id)) other.incrementAndGet();
                    else bad.add(id + " " + result + " after " + Math.round(kit.nowMs() - from) + " ms");
                }));
                kit.sleep(100);
            }
            for (Thread client : clients) client.join(15_000);
            for (String each : bad.subList(0, Math.min(15, bad.size()))) kit.say("sound stream: " + each);
            int shown = 0, errors = 0;
            for (String line : gateway.log().split("\n")) {
                if (line.contains("OutOfMemory")) errors++;
                if ((line.contains("OutOfMemory") || line.contains("ERROR")) && shown++ < 6) kit.say("log: " + line);
            }
            kit.say("spoilt streams=" + spoilt.get() + " bytes of noise taken=" + spoiltBytes.get() + " lines OutOfMemory=" + errors);
            kit.say("served=" + served.get() + " refused=" + refused.get() + " spoilt and ended=" + other.get()
                    + " sound streams lost=" + bad.size() + " gateway alive=" + gateway.process.isAlive());
            return bad.isEmpty() && gateway.process.isAlive();
        });
    }
}
