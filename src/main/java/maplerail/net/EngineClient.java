package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import maplerail.config.ConfigException;
import maplerail.config.EngineList;
import maplerail.config.Tree;
import maplerail.core.AttemptHandle;
import maplerail.core.AttemptObserver;
import maplerail.core.ConnectionChoice;
import maplerail.core.EngineTransport;
import maplerail.core.InferenceRequest;
import maplerail.core.ReleaseControl;
import maplerail.core.ReservePlaceResult;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import org.xnio.StreamConnection;

/** Attempts and releases on the platform's wire. */
public final class EngineClient implements EngineTransport {
    private static final HttpString DEADLINE = new HttpString("Req-Deadline");
    private static final int MOST_LEFT = 2_048; // engines that left, the last of which are remembered
    private static final int MOST_OTHERS = 6; // told of a release that its engine can't be told of
    private static final long SPREAD = 0x9e3779b97f4a7c15L;
    private static final int MOST_READ = 64 * 1024; // of an answer that is no stream

    /**
     * After the head of a reader's answer, in which its end has to come: the head says that the read has ended and a state waits,
     * and the limit on that runs.
     */
    private static final double READ_ANSWER_MS = 150;

    private final Pool pool;
    private final Metrics metrics;
    private final XnioLoop loop;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();
    private final Map<Long, InetSocketAddress> left = new LinkedHashMap<>();
    private final Map<Long, String> hosts = new HashMap<>(); // of both
    private final Map<ReleaseKey, StateRelease> releases = new HashMap<>();

    private final SilentHolders silentHolders = new SilentHolders();

    /** One release at a time is enough for what an engine holds for a request. */
    private record ReleaseKey(InetSocketAddress holder, String requestId) {}

    /** Makes a client that opens its connections from a pool. */
    public EngineClient(Pool pool) {
        this(pool, new Metrics());
    }

    /** The same with its releases counted. */
    public EngineClient(Pool pool, Metrics metrics) {
        this.pool = pool;
        this.metrics = metrics;
        this.loop = pool.loop();
    }

    /** Where engines are; those that left the list last stay known, as something may be held there. */
    public void updateEngines(EngineList list) {
        if (list.whole()) leave(id -> list.members().stream().noneMatch(member -> member.engine() == id));
        addresses.putAll(list.addresses());
        hosts.putAll(list.hosts());
        left.keySet().removeAll(list.addresses().keySet());
        for (Endpoint member : list.members()) {
            if (member.state() == EndpointState.REMOVED) leave(id -> id == member.engine());
        }
    }

    private void leave(Predicate<Long> gone) {
        addresses.entrySet().removeIf(entry -> {
            if (!gone.test(entry.getKey())) return false;
            left.put(entry.getKey(), entry.getValue());
            // Guards against a table that grows with every engine that ever was.
            if (left.size() > MOST_LEFT) {
                long oldest = left.keySet().iterator().next();
                left.remove(oldest);
                hosts.remove(oldest);
            }
            return true;
        });
    }

    private InetSocketAddress address(long engine) {
        return addresses.getOrDefault(engine, left.get(engine));
    }

    /** How the log names an engine: by its number, as the policy does, and by the name that discovery gives it. */
    public String describe(long engine) {
        return Long.toHexString(engine) + "/" + hosts.getOrDefault(engine, "unknown");
    }

    /** Engines whose address is known. */
    public int known() {
        return addresses.size() + left.size();
    }

    @Override
    public AttemptHandle send(
            long engine, InferenceRequest ask, double untilMs, ConnectionChoice connection, AttemptObserver answer) {
        HttpRequestPayload cargo = (HttpRequestPayload) ask.payload();
        InetSocketAddress to = address(engine);
        ClientRequest request = HttpRequests.create(to, cargo.method(), cargo.target());
        for (Map.Entry<HttpString, String> header : cargo.headers()) {
            request.getRequestHeaders().add(header.getKey(), header.getValue());
        }
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, cargo.body().length);
        Incoming reply = new Incoming(answer) {
            // Guards against an engine that is told of time which went by while its connection came up.
            @Override
            public void writing(HeaderMap headers) {
                double left = Math.max(1, untilMs - loop.nowMs()) / 1_000;
                headers.put(DEADLINE, String.format(Locale.ROOT, "%.3f", left));
            }

            @Override
            void onPromptRead() {
                loop.schedule(loop.nowMs() + READ_ANSWER_MS, this::endIncomplete);
            }
        };
        reply.call = pool.start(to, request, cargo.body(), reply, connection);
        return new EngineAttempt(reply.call, () -> reply.meaning == AttemptOutcome.PROMPT_READ);
    }

    @Override
    public void closeIdleConnections(long engine) {
        InetSocketAddress to = address(engine);
        if (to != null) pool.closeIdle(to);
    }

    /** Goes on with an engine's stream that another process began, from between two events. */
    public AttemptHandle adoptStream(InetSocketAddress to, StreamConnection connection, AttemptObserver answer) {
        Incoming incoming = new Incoming(answer);
        incoming.meaning = AttemptOutcome.COMPLETED;
        incoming.framed = true;
        return new EngineAttempt(pool.adopt(to, connection, incoming), () -> false);
    }

    /** An engine's answer, told as an outcome. */
    private static class Incoming implements Reply {
        private final AttemptObserver answer;
        private final EventSplitter events = new EventSplitter();
        private final ByteArrayOutputStream text = new ByteArrayOutputStream();
        private AttemptOutcome meaning;
        private boolean framed;
        private boolean unfit;
        private Call call;

        Incoming(AttemptObserver answer) {
            this.answer = answer;
        }

        @Override
        public boolean wanted() {
            return answer.isNeeded();
        }

        @Override
        public void written() {
            answer.onSent();
        }

        @Override
        public void head(int status, HeaderMap headers) {
            meaning = Outcomes.of(status, headers);
            unfit = Outcomes.unfit(status);
            // Without framing the end of the connection is no sign of a whole answer.
            framed = headers.contains(Headers.TRANSFER_ENCODING) || headers.contains(Headers.CONTENT_LENGTH);
            if (meaning == AttemptOutcome.PROMPT_READ) onPromptRead();
        }

        /** The head of a reader's answer has come. */
        void onPromptRead() {}

        /** Gives up an answer whose end has not come by now. */
        final void endIncomplete() {
            if (!call.done()) call.fail();
        }

        @Override
        public void body(ByteBuffer piece) {
            if (meaning == AttemptOutcome.COMPLETED) {
                if (!events.feed(piece, answer::onEvent)) framed = false;
            } else if (text.size() < MOST_READ) {
                while (piece.hasRemaining()) text.write(piece.get());
            }
        }

        @Override
        public void end() {
            if (unfit) {
                answer.onInvalidRequest();
                return;
            }
            if (meaning == AttemptOutcome.COMPLETED && framed && events.rest().length > 0)
                answer.onEvent(events.rest());
            answer.onEnded(meaning == AttemptOutcome.COMPLETED && !framed ? AttemptOutcome.RESET : meaning, kept());
        }

        @Override
        public boolean between() {
            return meaning == AttemptOutcome.COMPLETED && framed && events.rest().length == 0;
        }

        private double kept() {
            if (meaning != AttemptOutcome.PROMPT_READ) return 0;
            try {
                return Tree.any("read", text.toString(StandardCharsets.UTF_8))
                        .at("cached_tokens")
                        .number(0);
            } catch (ConfigException e) {
                return 0;
            }
        }

        @Override
        public void failed(boolean neverSent) {
            answer.onEnded(Outcomes.broken(meaning, neverSent), 0);
        }
    }

    @Override
    public void reservePlace(
            long engine, String requestId, ConnectionChoice connection, Consumer<ReservePlaceResult> onAnswer) {
        metrics.count(EventCount.PLACES_ASKED);
        new PlaceCall(pool, address(engine), requestId, onAnswer).start(connection);
    }

    @Override
    public void release(long engine, Set<Long> others, String id, double untilMs, ReleaseControl gate) {
        InetSocketAddress known = address(engine);
        List<InetSocketAddress> instead = lastToAnswer(others, known, id, gate);
        // Any engine can release a state: one that has long left may have left it behind.
        InetSocketAddress holder = known != null || instead.isEmpty() ? known : instead.get(0);
        if (holder == null) {
            gate.onEnded(false);
            return;
        }
        ReleaseKey key = new ReleaseKey(holder, id);
        StateRelease running = releases.get(key);
        if (running != null) {
            running.renew(untilMs, gate);
            return;
        }
        Runnable onOver = () -> releases.remove(key);
        StateRelease release =
                new StateRelease(pool, metrics, silentHolders, holder, instead, id, untilMs, gate, onOver);
        releases.put(key, release);
        release.start(gate.connection());
    }

    /** The engines that may be asked instead of one: no suspects, and those that answered here last, come first. */
    private List<InetSocketAddress> lastToAnswer(
            Set<Long> among, InetSocketAddress but, String id, ReleaseControl gate) {
        Set<InetSocketAddress> suspects = new HashSet<>();
        Map<InetSocketAddress, Double> quietMs = new HashMap<>();
        for (long engine : among) {
            InetSocketAddress address = address(engine);
            if (address != null && !address.equals(but)) {
                quietMs.put(address, loop.nowMs() - pool.idleSinceMs(address));
                if (gate.isUnresponsive(engine)) suspects.add(address);
            }
        }
        return quietMs.keySet().stream()
                .sorted(Comparator.comparing(suspects::contains)
                        .thenComparingDouble(quietMs::get)
                        .thenComparingLong(address -> (address.hashCode() ^ id.hashCode()) * SPREAD))
                .limit(MOST_OTHERS)
                .toList();
    }

    /** Releases that nobody has taken yet and that still may be. */
    public int pendingReleases() {
        return releases.size();
    }
}
