import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Entries of the list of open issues, each tried once or more: ENTRY=66.3, 66.4, 66.5 or 66.6. */
final class Entries {
    public static void main(String[] args) {
        String entry = System.getenv("ENTRY");
        Kit.run(args, kit -> switch (entry) {
            case "66.3" -> keyTwice(kit);
            case "66.4" -> toldTwice(kit);
            case "66.5" -> staleConsul(kit);
            case "66.6" -> stalledStream(kit);
            default -> throw new IllegalArgumentException("ENTRY=" + entry);
        });
    }

    /** A batch with an order and a message that names a key twice in its params. */
    private static boolean keyTwice(Kit kit) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        Kit.Server orders = kit.new Server(request -> {
            kit.say("tool server runs the order, run " + runs.incrementAndGet());
            return Kit.Reply.json(200, "{\"jsonrpc\":\"2.0\",\"id\":" + request.rpcId() + ",\"result\":{\"order\":4711}}");
        });
        Kit.Gateway gateway =
                kit.new Gateway("g", kit.platform(), new Tools().json(orders.port(), orders.port()), java.util.Map.of());
        Kit.HttpClient client = kit.new HttpClient(gateway.rpcPort(), "cyngor-glannau");
        client.initialize();
        String second = kit.trouble ? "\"name\":\"columns.find\",\"name\":\"columns.find\"" : "\"name\":\"columns.find\"";
        Kit.Conn conn = client.post(
                "[" + Kit.toolCall(1, "orders.raise", "{}") + ",{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"tools/call\",\"params\":{"
                        + second + "}}]",
                10_000);
        String got;
        try {
            Kit.Head head = conn.readHead();
            got = head.status + " " + conn.readBody(head).strip().replace("\n", " | ");
        } catch (IOException e) {
            got = e.toString();
        }
        kit.say("client gets " + got);
        kit.say("runs=" + runs.get());
        return got.contains("\"id\":1,");
    }

    /** A stream that breaks twice; its client keeps the last id as server-sent events have it. */
    private static boolean toldTwice(Kit kit) throws Exception {
        AtomicBoolean go = new AtomicBoolean(!kit.trouble);
        Kit.StreamServer records = kit.new StreamServer((request, out) -> {
            Matcher token = Pattern.compile("\"progressToken\":(\"[^\"]+\")").matcher(request.text());
            token.find();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 1; i <= 5; i++) {
                out.chunk("data: {\"jsonrpc\":\"2.0\",\"method\":\"notifications/progress\",\"params\":{\"progressToken\":"
                        + token.group(1) + ",\"progress\":" + i + "}}\n\n");
            }
            while (!go.get()) Thread.sleep(20);
            out.chunk("data: {\"jsonrpc\":\"2.0\",\"id\":" + request.rpcId() + ",\"result\":{}}\n\n");
            out.write("0\r\n\r\n");
            return true;
        });
        Kit.Gateway gateway =
                kit.new Gateway("g", kit.platform(), new Tools().json(records.port(), records.port()), java.util.Map.of());
        Kit.HttpClient client = kit.new HttpClient(gateway.rpcPort(), "cyngor-glannau");
        client.initialize();
        AtomicInteger progress = new AtomicInteger();
        String lastId = null;
        for (int attempt = 0; attempt < 3; attempt++) {
            Kit.Conn conn;
            if (attempt == 0) {
                conn = client.post(
                        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"columns.find\","
                                + "\"arguments\":{},\"_meta\":{\"progressToken\":\"t\"}}}",
                        400);
            } else {
                conn = kit.closeLater(new Kit.Conn(gateway.rpcPort(), 400));
                conn.send(client.head("GET", -1) + "Last-Event-ID: " + lastId + "\r\n\r\n");
            }
            StringBuilder text = new StringBuilder();
            try {
                conn.readHead();
                for (byte[] chunk = conn.readChunk(); chunk != null; chunk = conn.readChunk()) text.append(new String(chunk));
            } catch (IOException e) {
                kit.say("the connection breaks after " + text.length() + " characters");
            }
            conn.close();
            Matcher id = Pattern.compile("(?m)^id: (\\S+)$").matcher(text);
            while (id.find()) lastId = id.group(1);
            int events = text.toString().split("notifications/progress", -1).length - 1;
            progress.addAndGet(events);
            kit.say("attempt " + attempt + ": progress events=" + events + " last id=" + lastId);
            if (text.indexOf("\"result\"") >= 0) break;
            kit.sleep(100);
        }
        go.set(true);
        return progress.get() == 5;
    }

    /** Consul tells that a server is critical; then a follower without a leader answers with an older index. */
    private static boolean staleConsul(Kit kit) throws Exception {
        AtomicInteger phase = new AtomicInteger();
        AtomicInteger calls = new AtomicInteger();
        Kit.Handler handler = request -> {
            calls.incrementAndGet();
            return Kit.Reply.json(200, "{\"jsonrpc\":\"2.0\",\"id\":" + request.rpcId() + ",\"result\":{}}");
        };
        Kit.Server drained = kit.new Server(handler);
        Kit.Server other = kit.new Server(request ->
                Kit.Reply.json(200, "{\"jsonrpc\":\"2.0\",\"id\":" + request.rpcId() + ",\"result\":{}}"));
        Kit.StreamServer consul = kit.new StreamServer((request, out) -> {
            String body;
            int index = phase.get() == 1 ? 11 : phase.get() == 2 ? 10 : 10;
            int asked = 0;
            Matcher known = Pattern.compile("index=(\\d+)").matcher(request.path);
            if (known.find()) asked = Integer.parseInt(known.group(1));
            for (int i = 0; i < 40 && asked > 0 && phase.get() == 0 && asked >= 10; i++) Thread.sleep(50);
            for (int i = 0; i < 20 && asked >= 11 && phase.get() == 1; i++) Thread.sleep(50);
            index = phase.get() == 1 ? 11 : 10;
            if (request.path.startsWith("/v1/catalog")) {
                body = "{\"column-records\":[],\"repair-orders\":[]}";
            } else {
                String status = phase.get() == 1 ? "critical" : "passing";
                body = "[" + service("a", drained.port(), status) + "," + service("b", other.port(), "passing") + "]";
            }
            out.write("HTTP/1.1 200 OK\r\nX-Consul-Index: " + index + "\r\nX-Consul-KnownLeader: " + (phase.get() != 2)
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return true;
        });
        String tools = new Tools().json(1, 1).replaceAll(",\"servers\":\\[[^\\]]*\\]", "")
                .replaceFirst("\\{", "{\"consul\":\"127.0.0.1:" + consul.port() + "\",");
        Kit.Gateway gateway = kit.new Gateway("g", kit.platform(), tools, java.util.Map.of());
        kit.sleep(1_000);
        Kit.HttpClient client = kit.new HttpClient(gateway.rpcPort(), "cyngor-glannau");
        client.initialize();
        phase.set(1);
        kit.say("Consul tells that server a is critical (index 11)");
        kit.sleep(3_000);
        calls.set(0);
        if (kit.trouble) {
            phase.set(2);
            kit.say("a follower that knows no leader answers with index 10, a passing");
        }
        for (int i = 1; i <= 20; i++) {
            try (Kit.Conn conn = client.post(Kit.toolCall(i, "columns.find", "{}"), 5_000)) {
                conn.readBody(conn.readHead());
            }
            kit.sleep(100);
        }
        kit.say("new calls to the drained server 3 to 5 s after it was told: " + calls.get());
        return calls.get() == 0;
    }

    private static String service(String id, int port, String status) {
        return "{\"Node\":{\"Node\":\"n-" + id + "\",\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\"" + id
                + "\",\"Address\":\"127.0.0.1\",\"Port\":" + port + "},\"Checks\":[{\"Status\":\"" + status + "\"}]}";
    }

    /** A tool server tells progress, is silent for 5 s (its contract allows 8), and answers. */
    private static boolean stalledStream(Kit kit) throws Exception {
        Kit.StreamServer orders = kit.new StreamServer((request, out) -> {
            kit.say("tool server runs the order");
            Matcher token = Pattern.compile("\"progressToken\":(\"[^\"]+\")").matcher(request.text());
            token.find();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            out.chunk("data: {\"jsonrpc\":\"2.0\",\"method\":\"notifications/progress\",\"params\":{\"progressToken\":"
                    + token.group(1) + ",\"progress\":1}}\n\n");
            Thread.sleep(kit.trouble ? 5_000 : 1_000);
            kit.say("tool server answers");
            out.chunk("data: {\"jsonrpc\":\"2.0\",\"id\":" + request.rpcId() + ",\"result\":{\"order\":4711}}\n\n");
            out.write("0\r\n\r\n");
            return true;
        });
        Kit.Gateway gateway =
                kit.new Gateway("g", kit.platform(), new Tools().json(orders.port(), orders.port()), java.util.Map.of());
        Kit.HttpClient client = kit.new HttpClient(gateway.rpcPort(), "cyngor-glannau");
        client.initialize();
        double sentMs = kit.nowMs();
        Kit.Conn conn = client.post(
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"orders.raise\",\"arguments\":{},"
                        + "\"_meta\":{\"progressToken\":\"t\"}}}",
                10_000);
        Kit.Head head = conn.readHead();
        String got = conn.readBody(head).strip().replace("\n", " | ");
        kit.say("client gets after " + Math.round(kit.nowMs() - sentMs) + " ms: " + got);
        return got.contains("4711");
    }
}
