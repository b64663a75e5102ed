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

/** Sends attempts, reservations and releases to engines in the platform's HTTP protocol. */
public final class EngineClient implements EngineTransport {
    private static final HttpString DEADLINE = new HttpString("Req-Deadline");
    private static final int MAX_REMOVED_ENGINES = 2_048; // the latest removed engines, whose addresses are kept
    private static final int MAX_OTHER_ENGINES = 6; // to which a release goes if its own engine does not answer
    private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;
    private static final int MAX_TEXT_BYTES = 64 * 1024; // of a response that is not a stream

    /**
     * The time from the head of a reader's response to its end. With the head, the read has ended and its state waits
     * for a writer, for which the time is limited.
     */
    private static final double READ_RESPONSE_TIMEOUT_MS = 150;

    private final ConnectionPool pool;
    private final Metrics metrics;
    private final XnioEventLoop loop;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();
    private final Map<Long, InetSocketAddress> removedAddresses = new LinkedHashMap<>();
    private final Map<Long, String> hostNames = new HashMap<>(); // of current and removed engines
    private final Map<ReleaseKey, StateRelease> releases = new HashMap<>();

    private final UnresponsiveHolders unresponsiveHolders = new UnresponsiveHolders();

    /** The state that an engine holds for a request; at most one release of it runs at a time. */
    private record ReleaseKey(InetSocketAddress holder, String requestId) {}

    /** Creates a client that takes its connections from a pool. */
    public EngineClient(ConnectionPool pool) {
        this(pool, new Metrics());
    }

    /** Creates a client that counts its reservations and releases. */
    public EngineClient(ConnectionPool pool, Metrics metrics) {
        this.pool = pool;
        this.metrics = metrics;
        this.loop = pool.loop();
    }

    /**
     * Applies an engine list or changes to it. The addresses of the latest removed engines stay known, as these engines
     * may still hold state.
     */
    public void updateEngines(EngineList list) {
        if (list.whole()) markRemoved(id -> list.members().stream().noneMatch(member -> member.engine() == id));
        addresses.putAll(list.addresses());
        hostNames.putAll(list.hosts());
        removedAddresses.keySet().removeAll(list.addresses().keySet());
        for (Endpoint member : list.members()) {
            if (member.state() == EndpointState.REMOVED) markRemoved(id -> id == member.engine());
        }
    }

    private void markRemoved(Predicate<Long> isRemoved) {
        addresses.entrySet().removeIf(entry -> {
            if (!isRemoved.test(entry.getKey())) return false;
            removedAddresses.put(entry.getKey(), entry.getValue());
            // The table would otherwise grow with every engine that was ever listed.
            if (removedAddresses.size() > MAX_REMOVED_ENGINES) {
                long oldest = removedAddresses.keySet().iterator().next();
                removedAddresses.remove(oldest);
                hostNames.remove(oldest);
            }
            return true;
        });
    }

    private InetSocketAddress addressOf(long engine) {
        return addresses.getOrDefault(engine, removedAddresses.get(engine));
    }

    /** An engine's label in the log: its number, as the policy prints it, and its host name in discovery. */
    public String describe(long engine) {
        return Long.toHexString(engine) + "/" + hostNames.getOrDefault(engine, "unknown");
    }

    /** The number of engines whose address is known. */
    public int knownEngines() {
        return addresses.size() + removedAddresses.size();
    }

    @Override
    public AttemptHandle send(
            long engine,
            InferenceRequest inferenceRequest,
            double deadlineMs,
            ConnectionChoice connection,
            AttemptObserver observer) {
        HttpRequestPayload payload = (HttpRequestPayload) inferenceRequest.payload();
        InetSocketAddress address = addressOf(engine);
        ClientRequest httpRequest = HttpRequests.create(address, payload.method(), payload.target());
        for (Map.Entry<HttpString, String> header : payload.headers()) {
            httpRequest.getRequestHeaders().add(header.getKey(), header.getValue());
        }
        httpRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, payload.body().length);
        EngineResponseHandler handler = new EngineResponseHandler(observer) {
            // Set at the last moment: the time spent waiting for a connection is no longer available to the engine.
            @Override
            public void beforeWrite(HeaderMap headers) {
                double remainingSeconds = Math.max(1, deadlineMs - loop.nowMs()) / 1_000;
                headers.put(DEADLINE, String.format(Locale.ROOT, "%.3f", remainingSeconds));
            }

            @Override
            void onPromptRead() {
                loop.schedule(loop.nowMs() + READ_RESPONSE_TIMEOUT_MS, this::failIfIncomplete);
            }
        };
        handler.call = pool.start(address, httpRequest, payload.body(), handler, connection);
        return new EngineAttempt(handler.call, () -> handler.outcome == AttemptOutcome.PROMPT_READ);
    }

    @Override
    public void closeIdleConnections(long engine) {
        InetSocketAddress address = addressOf(engine);
        if (address != null) pool.closeIdle(address);
    }

    /** Continues an engine's stream that another process began to relay, from between two events on. */
    public AttemptHandle adoptStream(InetSocketAddress address, StreamConnection connection, AttemptObserver observer) {
        EngineResponseHandler handler = new EngineResponseHandler(observer);
        handler.outcome = AttemptOutcome.COMPLETED;
        handler.framed = true;
        return new EngineAttempt(pool.adopt(address, connection, handler), () -> false);
    }

    /** Passes an engine's response to an observer as events and an outcome. */
    private class EngineResponseHandler implements ResponseHandler {
        private final AttemptObserver observer;
        private final EventSplitter eventSplitter = new EventSplitter();
        private final StreamEndDetector streamEnd = new StreamEndDetector();
        private final ByteArrayOutputStream bodyBytes = new ByteArrayOutputStream();
        private AttemptOutcome outcome;
        private boolean framed;
        private boolean invalidRequest;
        private Call call;

        EngineResponseHandler(AttemptObserver observer) {
            this.observer = observer;
        }

        @Override
        public boolean isWanted() {
            return observer.isNeeded();
        }

        @Override
        public void onWritten() {
            observer.onSent();
        }

        @Override
        public void onHead(int status, HeaderMap headers) {
            outcome = AttemptOutcomes.of(status, headers);
            invalidRequest = AttemptOutcomes.isInvalidRequest(status);
            // Without framing, the end of the connection does not prove that the response is complete.
            framed = headers.contains(Headers.TRANSFER_ENCODING) || headers.contains(Headers.CONTENT_LENGTH);
            if (outcome == AttemptOutcome.PROMPT_READ) onPromptRead();
        }

        /** Called when the head of a reader's response has arrived. */
        void onPromptRead() {}

        /** Fails the call if its response is still incomplete. */
        final void failIfIncomplete() {
            if (!call.isDone()) call.fail();
        }

        /** The broker limits a stream by its events: the parts of an event may be written slowly. */
        @Override
        public boolean isLimitedByParts() {
            return outcome != AttemptOutcome.COMPLETED;
        }

        @Override
        public void onBody(ByteBuffer piece) {
            if (outcome == AttemptOutcome.COMPLETED) {
                if (!eventSplitter.feed(piece, this::onEvents)) framed = false;
            } else if (bodyBytes.size() < MAX_TEXT_BYTES) {
                ResponseHandler.copy(piece, bodyBytes);
            }
        }

        @Override
        public void onComplete() {
            if (invalidRequest) {
                observer.onInvalidRequest();
                return;
            }
            if (outcome == AttemptOutcome.COMPLETED) endStream();
            else observer.onEnded(outcome, cachedTokens());
        }

        private void onEvents(byte[] events) {
            streamEnd.accept(events);
            observer.onEvent(events);
        }

        private void endStream() {
            byte[] remainder = eventSplitter.partialEventBytes();
            boolean whole = framed && streamEnd.isWhole(remainder);
            if (whole && remainder.length > 0) observer.onEvent(remainder);
            if (framed && !whole) metrics.count(EventCount.STREAMS_WITHOUT_END);
            observer.onEnded(whole ? AttemptOutcome.COMPLETED : AttemptOutcome.RESET, 0);
        }

        @Override
        public boolean isBetweenEvents() {
            // A stream that has ended is not handed to another process, which would not know that its end has passed.
            return outcome == AttemptOutcome.COMPLETED
                    && framed
                    && !streamEnd.isEnded()
                    && eventSplitter.partialEventBytes().length == 0;
        }

        private double cachedTokens() {
            if (outcome != AttemptOutcome.PROMPT_READ) return 0;
            try {
                return Tree.any("read", bodyBytes.toString(StandardCharsets.UTF_8))
                        .at("cached_tokens")
                        .number(0);
            } catch (ConfigException e) {
                return 0;
            }
        }

        @Override
        public void onFailed(boolean neverSent) {
            observer.onEnded(AttemptOutcomes.ofIncomplete(outcome, neverSent), 0);
        }
    }

    @Override
    public void reservePlace(
            long engine, String requestId, ConnectionChoice connection, Consumer<ReservePlaceResult> onAnswer) {
        metrics.count(EventCount.PLACES_ASKED);
        new ReservationCall(pool, addressOf(engine), requestId, onAnswer).start(connection);
    }

    @Override
    public void release(long engine, Set<Long> others, String requestId, double untilMs, ReleaseControl control) {
        InetSocketAddress engineAddress = addressOf(engine);
        List<InetSocketAddress> otherAddresses = otherEnginesByPreference(others, engineAddress, requestId, control);
        // Any engine can release a state, even that of an engine removed too long ago for its address to be known.
        InetSocketAddress holder =
                engineAddress != null || otherAddresses.isEmpty() ? engineAddress : otherAddresses.get(0);
        if (holder == null) {
            control.onEnded(false);
            return;
        }
        ReleaseKey key = new ReleaseKey(holder, requestId);
        StateRelease running = releases.get(key);
        if (running != null) {
            running.renew(untilMs, control);
            return;
        }
        Runnable onEnd = () -> releases.remove(key);
        StateRelease release = new StateRelease(
                pool, metrics, unresponsiveHolders, holder, otherAddresses, requestId, untilMs, control, onEnd);
        releases.put(key, release);
        release.start(control.connection());
    }

    /**
     * The engines to try besides the holder: unresponsive ones come last, otherwise those that answered this gateway
     * most recently come first.
     */
    private List<InetSocketAddress> otherEnginesByPreference(
            Set<Long> candidates, InetSocketAddress excluded, String requestId, ReleaseControl control) {
        Set<InetSocketAddress> unresponsive = new HashSet<>();
        Map<InetSocketAddress, Double> idleMs = new HashMap<>();
        for (long engine : candidates) {
            InetSocketAddress address = addressOf(engine);
            if (address != null && !address.equals(excluded)) {
                idleMs.put(address, loop.nowMs() - pool.idleSinceMs(address));
                if (control.isUnresponsive(engine)) unresponsive.add(address);
            }
        }
        return idleMs.keySet().stream()
                .sorted(Comparator.comparing(unresponsive::contains)
                        .thenComparingDouble(idleMs::get)
                        .thenComparingLong(address -> (address.hashCode() ^ requestId.hashCode()) * HASH_MULTIPLIER))
                .limit(MAX_OTHER_ENGINES)
                .toList();
    }

    /** The number of releases that their holders have not answered and that have not expired. */
    public int pendingReleases() {
        return releases.size();
    }
}
