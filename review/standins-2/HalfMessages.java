import java.util.ArrayList;
import java.util.List;

/** Other clients stop in the middle of a WebSocket message and stay, while an order is in flight on a sound client's WebSocket. */
final class HalfMessages {
    private static final int BAD_CLIENTS = 60;

    public static void main(String[] args) {
        Kit.run(args, kit -> {
            java.util.concurrent.atomic.AtomicInteger runs = new java.util.concurrent.atomic.AtomicInteger();
            Kit.Server orders = kit.new Server(request -> {
                kit.say("tool server runs order " + runs.incrementAndGet());
                kit.sleep(4_000);
                kit.say("tool server answers the order");
                return Kit.Reply.json(200, "{\"jsonrpc\":\"2.0\",\"id\":" + request.rpcId() + ",\"result\":{\"order\":4711}}");
            });
            Kit.Server records = kit.new Server(request ->
                    Kit.Reply.json(200, "{\"jsonrpc\":\"2.0\",\"id\":" + request.rpcId() + ",\"result\":{\"column\":17}}"));
            Kit.Gateway gateway = kit.new Gateway(
                    "g", kit.platform(), new Tools().json(records.port(), orders.port()), java.util.Map.of());
            List<Kit.WebSocket> bad = new ArrayList<>();
            if (kit.trouble) {
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    Kit.WebSocket client = kit.new WebSocket(gateway.rpcPort(), "cyngor-bryniau", 20_000);
                    bad.add(client);
                    client.conn.send(client.frameHead(100_000));
                    client.conn.send("{\"jsonrpc\":\"2.0\",");
                }
                kit.say(BAD_CLIENTS + " other clients have sent the start of a message of 100,000 bytes and stay");
                kit.sleep(3_500); // the 3 s within which such clients are owed an error or a close
            }
            Kit.WebSocket client = kit.new WebSocket(gateway.rpcPort(), "cyngor-glannau", 10_000);
            client.send("{\"jsonrpc\":\"2.0\",\"id\":0,\"method\":\"initialize\",\"params\":{\"protocolVersion\":\"2025-06-18\","
                    + "\"capabilities\":{},\"clientInfo\":{\"name\":\"review\",\"version\":\"1\"}}}");
            kit.say("client gets " + client.receive());
            client.send("{\"jsonrpc\":\"2.0\",\"method\":\"notifications/initialized\"}");
            client.send(Kit.toolCall(1, "orders.raise", "{\"column\":17}"));
            kit.say("client calls orders.raise, id 1");
            kit.sleep(1_000);
            client.send(Kit.toolCall(2, "columns.find", "{\"text\":\"" + "x".repeat(2_000) + "\"}"));
            kit.say("client calls columns.find, id 2, with 2,000 bytes of arguments");
            int[] answers = new int[3];
            try {
                while (answers[1] + answers[2] < 2) {
                    String message = client.receive();
                    kit.say("client gets " + message);
                    if (message == null || message.startsWith("close")) break;
                    if (message.contains("\"id\":1,")) answers[1]++;
                    if (message.contains("\"id\":2,")) answers[2]++;
                }
            } catch (java.io.IOException e) {
                kit.say("client's connection: " + e);
            }
            kit.sleep(500);
            kit.say("order: runs=" + runs.get() + " answers=" + answers[1] + "; lookup: answers=" + answers[2]);
            // A lookup that is refused unread is allowed; the order was taken and has to be answered.
            return runs.get() <= 1 && answers[1] == 1;
        });
    }
}
