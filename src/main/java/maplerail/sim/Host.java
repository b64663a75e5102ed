package maplerail.sim;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import maplerail.Router;
import maplerail.config.SettingsReader;

/** Hosts one decision module for each simulated node and passes events and actions between them and the wire. */
final class Host {
    private final Map<Integer, Node> nodes = new HashMap<>();
    private final Function<Router.Settings, Router> modules;

    private record Node(Router router, int memoryColumn) { }

    Host(Function<Router.Settings, Router> modules) {
        this.modules = modules;
    }

    void serve(InputStream in, OutputStream out) throws IOException {
        for (Codec.Batch batch = Codec.read(in); batch != null; batch = Codec.read(in)) {
            out.write(answer(batch).bytes());
            out.flush();
        }
    }

    private Codec.Reply answer(Codec.Batch batch) {
        Codec.Reply reply = new Codec.Reply();
        int instance = -1;
        int named = -1;
        for (int record = 0; record < batch.records; record++) {
            int code = batch.code(record);
            if (code == Codec.SWITCH_TO) {
                instance = batch.instance(record);
                continue;
            }
            if (instance < 0) {
                throw new WireException("record " + record + ": no instance named before code " + code);
            }
            if (code == Codec.LAUNCH) {
                SettingsReader.Parsed parsed = SettingsReader.read(batch.u64(record, 2), batch.text(record, 10));
                nodes.put(instance, new Node(modules.apply(parsed.settings()), parsed.memoryColumn()));
                continue;
            }
            if (code == Codec.SHUTDOWN) {
                nodes.remove(instance);
                continue;
            }
            Node node = nodes.get(instance);
            if (node == null) {
                throw new WireException("record " + record + ": code " + code + " for instance " + instance
                        + ", which is not up");
            }
            Router.Event event = batch.event(record, node.memoryColumn());
            if (event == null) {
                continue;
            }
            List<Router.Action> actions;
            String fault = null;
            try {
                actions = node.router().step(batch.clockMs, List.of(event));
            } catch (RuntimeException e) {
                actions = List.of();
                fault = "instance " + instance + ": " + event.getClass().getSimpleName() + ": " + e
                        + (e.getStackTrace().length > 0 ? " at " + e.getStackTrace()[0] : "");
            }
            if (named != instance && (fault != null || !actions.isEmpty())) {
                reply.instance(instance);
                named = instance;
            }
            if (fault != null) {
                reply.broken(fault);
            }
            for (Router.Action action : actions) {
                reply.action(action);
            }
        }
        return reply;
    }
}
