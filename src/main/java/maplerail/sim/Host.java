package maplerail.sim;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import maplerail.config.SettingsReader;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingPolicy;
import maplerail.routing.RoutingSettings;

/** Hosts one decision module for each simulated node and passes events and actions between them and the wire. */
final class Host {
    private final Map<Integer, Node> nodes = new HashMap<>();
    private final Function<RoutingSettings, RoutingPolicy> modules;

    private record Node(RoutingPolicy router, int memoryColumn, Told told) {}

    private static final int MAIL = 1080;
    private static final Map<Class<? extends RoutingEvent>, String> WIRE_NAMES = Map.of(
            RoutingEvent.EndpointUpdate.class, "Members",
            RoutingEvent.RequestArrived.class, "Arrival",
            RoutingEvent.FirstToken.class, "FirstToken",
            RoutingEvent.AttemptEnded.class, "Ended",
            RoutingEvent.RequestAbandoned.class, "Abandoned",
            RoutingEvent.TimerFired.class, "Timer",
            RoutingEvent.PeerRead.class, "Seen");

    Host(Function<RoutingSettings, RoutingPolicy> modules) {
        this.modules = modules;
    }

    /** The name of an event in the text of a fault, which goes out on the simulator's wire. */
    private static String wireName(RoutingEvent event) {
        return WIRE_NAMES.get(event.getClass());
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
                RoutingSettings settings = parsed.settings();
                boolean tells =
                        parsed.tellRank() >= 0 && parsed.tellRank() < settings.gateways() && settings.gateways() > 1;
                Told told = tells ? new Told(settings, parsed.tellRank(), batch.clockMs) : null;
                nodes.put(instance, new Node(modules.apply(settings), parsed.memoryColumn(), told));
                if (told != null) {
                    if (named != instance) reply.instance(instance);
                    named = instance;
                    reply.action(told.next(batch.clockMs));
                }
                continue;
            }
            if (code == Codec.SHUTDOWN) {
                nodes.remove(instance);
                continue;
            }
            Node node = nodes.get(instance);
            if (node == null) {
                throw new WireException(
                        "record " + record + ": code " + code + " for instance " + instance + ", which is not up");
            }
            List<RoutingEvent> events = new ArrayList<>();
            RoutingEvent event = code == MAIL ? null : batch.event(record, node.memoryColumn());
            Told told = node.told();
            if (told != null && code == MAIL) {
                events.addAll(told.heard((int) batch.u32(record, 2), batch.bytes(record, 6)));
            } else if (told != null && event instanceof RoutingEvent.TimerFired timer && timer.token() == Told.TIMER) {
                if (named != instance) reply.instance(instance);
                named = instance;
                told.due().ifPresent(reply::notifyAll);
                reply.action(told.next(batch.clockMs));
                continue;
            } else if (event != null) {
                if (told != null) told.saw(event);
                events.add(event);
            }
            if (events.isEmpty()) {
                continue;
            }
            List<RoutingAction> actions;
            String fault = null;
            try {
                actions = node.router().step(batch.clockMs, events);
            } catch (RuntimeException e) {
                actions = List.of();
                fault = "instance " + instance + ": " + wireName(events.get(0)) + ": " + e
                        + (e.getStackTrace().length > 0 ? " at " + e.getStackTrace()[0] : "");
            }
            if (named != instance && (fault != null || !actions.isEmpty())) {
                reply.instance(instance);
                named = instance;
            }
            if (fault != null) {
                reply.broken(fault);
            }
            for (RoutingAction action : actions) {
                reply.action(action);
            }
        }
        return reply;
    }
}
