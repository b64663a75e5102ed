/** A client ends its session with DELETE while a call of it is open on another connection. */
final class DeletedSession {
    public static void main(String[] args) {
        Kit.run(args, kit -> {
            Kit.Server records = kit.new Server(request -> {
                kit.say("tool server runs a lookup");
                kit.sleep(2_000);
                kit.say("tool server answers");
                return Kit.Reply.json(200, "{\"jsonrpc\":\"2.0\",\"id\":" + request.rpcId() + ",\"result\":{\"column\":17}}");
            });
            Kit.Gateway gateway = kit.new Gateway(
                    "g", kit.platform(), new Tools().json(records.port(), records.port()), java.util.Map.of());
            Kit.HttpClient client = kit.new HttpClient(gateway.rpcPort(), "cyngor-glannau");
            client.initialize();
            double sentMs = kit.nowMs();
            kit.say("client calls columns.find (deadline 3 s)");
            Kit.Conn conn = client.post(Kit.toolCall(1, "columns.find", "{\"column\":17}"), 20_000);
            if (kit.trouble) {
                kit.sleep(500);
                try (Kit.Conn other = new Kit.Conn(gateway.rpcPort(), 5_000)) {
                    other.send(client.head("DELETE", -1) + "\r\n");
                    kit.say("client deletes its session on another connection: status " + other.readHead().status);
                }
            }
            boolean ended = false;
            try {
                Kit.Head head = conn.readHead();
                kit.say("client gets status " + head.status);
                for (byte[] chunk = conn.readChunk(); chunk != null; chunk = conn.readChunk())
                    kit.say("client gets " + new String(chunk).strip().replace("\n", " | "));
                ended = true;
                kit.say("the call's answer ends after " + Math.round(kit.nowMs() - sentMs) + " ms");
            } catch (java.io.IOException e) {
                ended = !Kit.isTimeout(e);
                kit.say((ended ? "the call's connection is ended: " : "no answer and no end in 20 s: ") + e);
            }
            gateway.signal("TERM");
            boolean exited = gateway.process.waitFor(10, java.util.concurrent.TimeUnit.SECONDS);
            kit.say(exited ? "the gateway has ended by itself" : "the gateway has not ended 10 s after SIGTERM");
            if (!exited) for (String line : gateway.log().split("\n")) if (line.contains("draining")) kit.say("log: " + line);
            return ended && exited;
        });
    }
}
