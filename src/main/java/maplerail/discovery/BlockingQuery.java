package maplerail.discovery;

import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import maplerail.config.ConfigException;
import maplerail.config.Tree;
import maplerail.net.Call;
import maplerail.net.ConnectionPool;
import maplerail.net.HttpRequests;
import maplerail.net.TextResponseHandler;
import maplerail.net.XnioEventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Repeats one of Consul's blocking queries indefinitely. After a failure, until the next response, the query does not
 * block, like a short poll of {@link PollSchedule}: a change has to be received within 6 s after Consul becomes
 * reachable.
 */
final class BlockingQuery {
    private static final Logger LOG = LoggerFactory.getLogger(BlockingQuery.class);
    private static final long WAIT_S = 20;
    private static final long MS_PER_S = 1_000;
    private static final long CONSUL_JITTER_DIVISOR = 16; // Consul adds up to 1/16 to a wait
    private static final double BLOCKING_TIMEOUT_MS =
            WAIT_S * MS_PER_S + WAIT_S * MS_PER_S / CONSUL_JITTER_DIVISOR + MS_PER_S;
    private static final double SHORT_TIMEOUT_MS = 4_000; // for a response without waiting
    private static final double REPEAT_MS = 1_600; // a lost call must not use up the 6 s
    private static final double FIRST_RETRY_MS = 100;
    private static final double MAX_RETRY_MS = 1_200;
    private static final int OK = 200;
    private static final String INDEX_HEADER = "X-Consul-Index";
    private static final String KNOWN_LEADER_HEADER = "X-Consul-KnownLeader";
    private static final Pattern INDEX = Pattern.compile("[0-9]{1,18}");

    private final ConnectionPool pool;
    private final XnioEventLoop loop;
    private final String path;
    private final Consumer<Tree> onResult;
    private final Backoff backoff;
    private InetSocketAddress address;
    private long index;
    private long takenIndex; // of the newest result that was taken from this address
    private boolean shortPolling = true; // from the start or a failure until the next response
    private int generation; // incremented for each call or scheduled call; identifies the latest one

    BlockingQuery(
            ConnectionPool pool,
            XnioEventLoop loop,
            InetSocketAddress address,
            String path,
            SplittableRandom random,
            Consumer<Tree> onResult) {
        this.pool = pool;
        this.loop = loop;
        this.address = address;
        this.path = path;
        this.onResult = onResult;
        this.backoff = new Backoff(random, FIRST_RETRY_MS, MAX_RETRY_MS);
    }

    /** Queries another agent from now on, without an index at first, as each agent has its own indexes. */
    void redirect(InetSocketAddress newAddress) {
        address = newAddress;
        index = 0;
        takenIndex = 0;
        shortPolling = true;
        backoff.reset();
        poll();
    }

    void poll() {
        generation++;
        int callGeneration = generation;
        boolean blocking = !shortPolling && index > 0;
        String target = path + (blocking ? "?index=" + index + "&wait=" + WAIT_S + "s" : "");
        Response response = new Response(callGeneration);
        Call call = pool.start(address, HttpRequests.create(address, Methods.GET, target), new byte[0], response);
        double timeoutMs = blocking ? BLOCKING_TIMEOUT_MS : SHORT_TIMEOUT_MS;
        loop.schedule(loop.nowMs() + timeoutMs, () -> response.abortOnTimeout(call));
        if (!blocking) loop.schedule(loop.nowMs() + REPEAT_MS, () -> pollIfCurrent(callGeneration));
    }

    private void pollLater(double afterMs) {
        generation++;
        int callGeneration = generation;
        loop.schedule(loop.nowMs() + afterMs, () -> pollIfCurrent(callGeneration));
    }

    private void pollIfCurrent(int callGeneration) {
        if (callGeneration == generation) poll();
    }

    /**
     * Returns the index for the next query. An index that goes backwards (a restored or new server) is reset to 0, as a
     * query that waits for the old one might never return. An index that is missing or not positive gives 0, as it
     * would turn the query into a busy loop.
     */
    static long nextIndex(long current, String header) {
        long received = parseIndex(header);
        return received < current ? 0 : received;
    }

    private static long parseIndex(String header) {
        return header != null && INDEX.matcher(header).matches() ? Long.parseLong(header) : 0;
    }

    /**
     * True for a result that is older than the one taken, from a server that knows no leader: it has not heard of changes,
     * while a restored catalogue is told by a server that knows one.
     */
    private boolean isStale(HeaderMap headers) {
        return "false".equalsIgnoreCase(headers.getFirst(KNOWN_LEADER_HEADER))
                && parseIndex(headers.getFirst(INDEX_HEADER)) < takenIndex;
    }

    private final class Response extends TextResponseHandler {
        private final InetSocketAddress calledAddress = address;
        private final int callGeneration;

        Response(int callGeneration) {
            this.callGeneration = callGeneration;
        }

        @Override
        protected boolean handleResponse(int status, HeaderMap headers, String text) {
            if (!calledAddress.equals(address)) return true;
            try {
                if (status != OK) throw new ConfigException("unexpected status " + status);
                Tree result = Tree.any(path, text);
                if (isStale(headers)) {
                    LOG.warn("consul result ignored path={} reason=older_and_without_leader", path);
                    onNoResponse();
                    return true;
                }
                long received = nextIndex(index, headers.getFirst(INDEX_HEADER));
                // The response to an earlier call may arrive after that to a later call, which takes precedence.
                if (callGeneration != generation && received <= index) return true;
                takenIndex = parseIndex(headers.getFirst(INDEX_HEADER));
                handle(result, received);
                return true;
            } catch (ConfigException e) {
                LOG.warn("consul query failed path={} error={}", path, e.getMessage());
                if (callGeneration == generation) index = 0;
                return false;
            }
        }

        private void handle(Tree result, long received) {
            // A query that timed out without a change returns the same index.
            boolean changed = received == 0 || received != index;
            index = received;
            if (changed) onResult.accept(result);
            shortPolling = false;
            backoff.reset();
            if (index > 0) poll();
            else pollLater(FIRST_RETRY_MS);
        }

        @Override
        protected void onNoResponse() {
            if (callGeneration != generation) return; // superseded by a later call, to this or another address
            shortPolling = true;
            pollLater(backoff.nextDelayMs(0));
        }
    }
}
