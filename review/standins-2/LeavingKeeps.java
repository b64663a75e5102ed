/** A client's connection breaks under an order, the gateway is told to end, and the client comes again for the answer. */
final class LeavingKeeps {
    public static void main(String[] args) {
        Kit.run(args, kit -> {
            java.util.concurrent.atomic.AtomicInteger runs = new java.util.concurrent.atomic.AtomicInteger();
            Kit.Server orders = kit.new Server(request -> {
                kit.say("tool server runs order " + runs.incrementAndGet());
                kit.sleep(3_000);
                kit.say("tool server answers");
                return Kit.Reply.json(200, "{\"jsonrpc\":\"2.0\",\"id\":" + request.rpcId() + ",\"result\":{\"order\":4711}}");
            });
            Kit.Gateway gateway =
                    kit.new Gateway("g", kit.platform(), new Tools().json(orders.port(), orders.port()), java.util.Map.of());
            Kit.HttpClient client = kit.new HttpClient(gateway.rpcPort(), "cyngor-glannau");
            client.initialize();
            Kit.Conn conn = client.post(Kit.toolCall(1, "orders.raise", "{\"column\":17}"), 12_000);
            Kit.Head head = conn.readHead();
            kit.say("client gets status " + head.status + " " + new String(conn.readChunk()).strip());
            kit.sleep(300);
            if (kit.trouble) gateway.signal("TERM");
            kit.sleep(300);
            conn.socket.setSoLinger(true, 0);
            conn.close();
            kit.say("the client's connection breaks");
            kit.sleep(700);
            String body = "";
            for (int i = 0; i < 6 && body.isEmpty(); i++) {
                try (Kit.Conn again = new Kit.Conn(gateway.rpcPort(), 5_000)) {
                    again.send(client.head("GET", -1) + "Last-Event-ID: 3-0\r\n\r\n");
                    Kit.Head answer = again.readHead();
                    String text = again.readBody(answer);
                    kit.say("client comes again: status " + answer.status + " " + text.strip().replace("\n", " | "));
                    if (answer.status == 200) body = text;
                } catch (java.io.IOException e) {
                    kit.say("client comes again: " + e);
                }
                kit.sleep(500);
            }
            kit.say("runs=" + runs.get() + " answered=" + body.contains("4711"));
            return body.contains("4711");
        });
    }
}
