/** A batch whose replies are each as large as their contract allows. */
final class LargeBatch {
    private static final int CALLS = 20;

    public static void main(String[] args) {
        Kit.run(args, kit -> {
            int replyBytes = kit.trouble ? 60_000 : 2_000;
            java.util.concurrent.atomic.AtomicInteger runs = new java.util.concurrent.atomic.AtomicInteger();
            Kit.Server records = kit.new Server(request -> {
                runs.incrementAndGet();
                kit.sleep(100);
                return Kit.Reply.json(200, "{\"jsonrpc\":\"2.0\",\"id\":" + request.rpcId() + ",\"result\":{\"text\":\""
                        + "x".repeat(replyBytes) + "\"}}");
            });
            Tools tools = new Tools();
            tools.callsInFlight = 32;
            tools.callsPerSecond = 40;
            Kit.Gateway gateway =
                    kit.new Gateway("g", kit.platform(), tools.json(records.port(), records.port()), java.util.Map.of());
            Kit.HttpClient client = kit.new HttpClient(gateway.rpcPort(), "cyngor-glannau");
            client.initialize();
            StringBuilder batch = new StringBuilder();
            for (int i = 1; i <= CALLS; i++)
                batch.append(i == 1 ? "[" : ",").append(Kit.toolCall(i, "columns.find", "{\"column\":" + i + "}"));
            kit.say("client posts a batch of " + CALLS + " calls; each reply holds " + replyBytes + " of 65,536 bytes");
            String answer = "";
            String lastId = null;
            for (int attempt = 0; attempt < 4 && answer.isEmpty(); attempt++) {
                StringBuilder received = new StringBuilder();
                try {
                    Kit.Conn conn;
                    if (lastId == null) {
                        conn = client.post(batch + "]", 8_000);
                    } else {
                        kit.sleep(500);
                        kit.say("client comes again with Last-Event-ID " + lastId);
                        conn = kit.closeLater(new Kit.Conn(gateway.rpcPort(), 8_000));
                        conn.send(client.head("GET", -1) + "Last-Event-ID: " + lastId + "\r\n\r\n");
                    }
                    Kit.Head head = conn.readHead();
                    kit.say("client gets status " + head.status);
                    for (byte[] chunk = conn.readChunk(); chunk != null; chunk = conn.readChunk())
                        received.append(new String(chunk));
                    answer = received.toString();
                } catch (java.io.IOException e) {
                    kit.say("client's connection after " + received.length() + " characters: " + e);
                }
                java.util.regex.Matcher id = java.util.regex.Pattern.compile("id: (\\S+)").matcher(received);
                if (lastId == null && id.find()) lastId = id.group(1);
            }
            int answered = answer.split("\"jsonrpc\":\"2.0\",\"id\":", -1).length - 1;
            kit.say("calls run=" + runs.get() + " answered=" + answered);
            return answered == CALLS;
        });
    }
}
