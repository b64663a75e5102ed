package maplerail.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import maplerail.fleet.ReaderPaceGossip;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.EngineRole;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingSettings;

/**
 * What one simulated gateway tells the others of its tier, as {@code cli.Gateway} does on sockets: its reads go into a
 * {@link ReaderPaceGossip}, a timer of its own sends the sums as {@code Notify}, and what comes as {@code Mail} reaches its
 * module as {@link RoutingEvent.PeerRead}. The timer's token is negative, which no token of the module is.
 */
final class Told {
    /** The token of the timer for the next datagram. */
    static final long TIMER = -1;

    private static final int MOST_PROMPTS = 50_000; // requests whose prompt length is remembered until their read ends

    private final ReaderPaceGossip exchange;
    private final List<RoutingSettings.EngineKind> kinds;
    private final SplittableRandom draws;
    private final Set<Long> readers = new HashSet<>();
    private final Map<Long, Double> prompts = new LinkedHashMap<>(16, 0.75f, false) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Double> eldest) {
            return size() > MOST_PROMPTS;
        }
    };

    Told(RoutingSettings settings, int rank, double nowMs) {
        exchange = new ReaderPaceGossip(rank, settings.gateways(), nowMs);
        kinds = settings.engineKinds();
        draws = new SplittableRandom(settings.seed() ^ 0x9e3779b97f4a7c15L);
    }

    /** The timer that the module's host sets at the start and after each datagram. */
    RoutingAction.SetTimer next(double nowMs) {
        return new RoutingAction.SetTimer(TIMER, nowMs + exchange.delayMs(draws.nextDouble()));
    }

    /** Hears what the module hears. */
    void saw(RoutingEvent event) {
        if (event instanceof RoutingEvent.RequestArrived arrival)
            prompts.put(arrival.requestId(), arrival.promptTokens());
        if (event instanceof RoutingEvent.RequestAbandoned gone) prompts.remove(gone.requestId());
        if (event instanceof RoutingEvent.EndpointUpdate news && news.kind() != EndpointUpdateKind.FAILED) {
            if (news.kind() != EndpointUpdateKind.DELTA) readers.clear();
            for (Endpoint member : news.endpoints()) {
                boolean reads = member.state() != EndpointState.REMOVED
                        && member.kind() < kinds.size()
                        && kinds.get(member.kind()).role() == EngineRole.READER;
                if (reads) readers.add(member.engine());
                else readers.remove(member.engine());
            }
            exchange.setReaders(readers);
        }
        if (event instanceof RoutingEvent.AttemptEnded ended && ended.outcome() == AttemptOutcome.PROMPT_READ) {
            Double prompt = prompts.remove(ended.requestId());
            if (prompt != null)
                exchange.recordRead(ended.engine(), ended.elapsedMs(), Math.max(0, prompt - ended.cachedTokens()));
        }
    }

    /** The datagram due now, if there is one. */
    Optional<byte[]> due() {
        return exchange.nextDatagram();
    }

    /** A datagram from the instance of rank {@code from}: what the module is to hear of it. */
    List<RoutingEvent.PeerRead> heard(int from, byte[] bytes) {
        return new ArrayList<>(exchange.receive(from, bytes, bytes.length));
    }
}
