package maplerail.support;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A gateway with both fronts, whose engines and tool server answer each order at once and record that it was run. */
public final class OrderWorld implements AutoCloseable {
    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["%s"]}},
             "contracts":{"raise":{"repeat":"side_effect","deadline_ms":5000,"most_argument_bytes":1000,"most_reply_bytes":1000}},
             "tools":{"orders.raise":{"service":"records","contract":"raise"}},
             "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":1000}}}""";

    /** The bodies that writers and the tool server have run. */
    public final List<String> run = new CopyOnWriteArrayList<>();

    public final World world;
    private final StandIn reader = World.reader();
    private final StandIn writer = new StandIn(this::write);
    private final StandIn toolServer = new StandIn(x -> {
        run.add(x.body);
        x.reply(200, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"order\":4711}}");
    });

    public OrderWorld() throws Exception {
        world = new World()
                .admin()
                .engine("r", "prefill", reader)
                .engine("w", "decode", writer)
                .start(TOOLS.formatted(toolServer.address()));
    }

    private void write(StandIn.Exchange exchange) throws IOException {
        if (exchange.method.equals("DELETE")) {
            exchange.reply(204, "");
            return;
        }
        run.add(exchange.body);
        exchange.stream();
        exchange.chunk("data: [DONE]\n\n");
        exchange.last();
    }

    @Override
    public void close() throws IOException {
        world.close();
        reader.close();
        writer.close();
        toolServer.close();
    }
}
