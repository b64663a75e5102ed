/** A repair order takes longer than session_idle_ms; its answer is lost with the connection, and its client comes again. */
final class KeptAnswer {
    public static void main(String[] args) {
        Kit.run(args, kit -> {
            java.util.concurrent.atomic.AtomicInteger runs = new java.util.concurrent.atomic.AtomicInteger();
            Kit.Server orders = kit.new Server(request -> {
                kit.say("tool server runs order " + runs.incrementAndGet());
                kit.sleep(7_000);
                kit.say("tool server answers");
                return Kit.Reply.json(200, "{\"jsonrpc\":\"2.0\",\"id\":" + request.rpcId() + ",\"result\":{\"order\":4711}}");
            });
            Tools tools = new Tools();
            tools.extra = "\"session_idle_ms\":5000,";
            Kit.Gateway gateway =
                    kit.new Gateway("g", kit.platform(), tools.json(orders.port(), orders.port()), java.util.Map.of());
            boolean[] lose = {false};
            Kit.Proxy proxy = kit.new Proxy(gateway.rpcPort(), bytes -> lose[0] && bytes.contains("4711"));
            Kit.HttpClient client = kit.new HttpClient(proxy.port(), "cyngor-glannau");
            client.initialize();
            lose[0] = kit.trouble;
            kit.say("client calls orders.raise");
            StringBuilder received = new StringBuilder();
            Kit.Conn conn = client.post(Kit.toolCall(1, "orders.raise", "{\"column\":17}"), 12_000);
            String lastId = null;
            try {
                Kit.Head head = conn.readHead();
                kit.say("client gets status " + head.status + " " + head.headers.get("Content-Type"));
                for (byte[] chunk = conn.readChunk(); chunk != null; chunk = conn.readChunk()) {
                    String text = new String(chunk);
                    kit.say("client gets " + text.strip().replace("\n", " | "));
                    received.append(text);
                }
            } catch (java.io.IOException e) {
                kit.say("client's connection ends: " + e);
            }
            java.util.regex.Matcher id = java.util.regex.Pattern.compile("id: (\\S+)").matcher(received);
            while (id.find()) lastId = id.group(1);
            if (received.indexOf("4711") < 0 && lastId != null) {
                double lostMs = kit.nowMs();
                kit.sleep(1_000);
                lose[0] = false;
                Kit.Conn again = kit.closeLater(new Kit.Conn(proxy.port(), 5_000));
                kit.say("client comes again after " + Math.round(kit.nowMs() - lostMs) + " ms with Last-Event-ID " + lastId);
                again.send(client.head("GET", -1) + "Last-Event-ID: " + lastId + "\r\n\r\n");
                Kit.Head head = again.readHead();
                String body = again.readBody(head);
                kit.say("client gets status " + head.status + " " + body.strip().replace("\n", " | "));
                received.append(body);
            }
            kit.say("runs=" + runs.get() + " answered=" + (received.indexOf("4711") >= 0));
            if (runs.get() != 1) throw new IllegalStateException("the order did not run once");
            return received.indexOf("4711") >= 0;
        });
    }
}
