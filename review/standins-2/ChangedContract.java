/** A new tools file says that a tool has a side effect; after SIGHUP a call's connection breaks under it. */
final class ChangedContract {
    public static void main(String[] args) {
        Kit.run(args, kit -> {
            java.util.concurrent.atomic.AtomicInteger runs = new java.util.concurrent.atomic.AtomicInteger();
            Kit.Handler handler = request -> {
                int run = runs.incrementAndGet();
                kit.say("tool server runs order, run " + run);
                kit.sleep(300);
                if (kit.trouble && run == 1) {
                    kit.say("tool server's connection breaks");
                    return Kit.Reply.broken();
                }
                return Kit.Reply.json(200, "{\"jsonrpc\":\"2.0\",\"id\":" + request.rpcId() + ",\"result\":{\"order\":4711}}");
            };
            Kit.Server first = kit.new Server(handler);
            Kit.Server second = kit.new Server(handler);
            Tools tools = new Tools();
            tools.orderRepeat = "pure";
            Kit.Gateway gateway = kit.new Gateway(
                    "g", kit.platform(), tools.json(first.port(), first.port(), second.port()), java.util.Map.of());
            long loaded = gateway.figure("conf_loaded");
            tools.orderRepeat = "side_effect";
            gateway.newTools(tools.json(first.port(), first.port(), second.port()));
            gateway.signal("HUP");
            kit.sleep(4_000);
            kit.say("conf_loaded before=" + loaded + " now=" + gateway.figure("conf_loaded") + " conf_invalid=" + gateway.figure("conf_invalid"));
            Kit.HttpClient client = kit.new HttpClient(gateway.rpcPort(), "cyngor-glannau");
            client.initialize();
            Kit.Conn conn = client.post(Kit.toolCall(1, "orders.raise", "{\"column\":17}"), 12_000);
            Kit.Head head = conn.readHead();
            kit.say("client gets " + conn.readBody(head).strip().replace("\n", " | "));
            kit.say("runs=" + runs.get());
            return runs.get() == 1;
        });
    }
}
