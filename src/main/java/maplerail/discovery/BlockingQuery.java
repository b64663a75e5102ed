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
import maplerail.net.HttpRequests;
import maplerail.net.Pool;
import maplerail.net.TextResponseHandler;
import maplerail.net.XnioLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One of Consul's blocking queries, made again for good. From a failure to the next answer it does not block, as a short poll
 * of {@link PollSchedule}: a change counts as heard 6 s after Consul could be reached.
 */
final class BlockingQuery {
    private static final Logger LOG = LoggerFactory.getLogger(BlockingQuery.class);
    private static final long WAIT_S = 20;
    private static final long MS_PER_S = 1_000;
    private static final long CONSUL_JITTER_PART = 16; // Consul adds up to a sixteenth to a wait
    private static final double BLOCKING_TIMEOUT_MS =
            WAIT_S * MS_PER_S + WAIT_S * MS_PER_S / CONSUL_JITTER_PART + MS_PER_S;
    private static final double SHORT_TIMEOUT_MS = 4_000; // for an answer that needs no waiting
    private static final double REPEAT_MS = 1_600; // a lost call must not use up the 6 s
    private static final double FIRST_RETRY_MS = 100;
    private static final double MAX_RETRY_MS = 1_200;
    private static final int OK = 200;
    private static final Pattern INDEX = Pattern.compile("[0-9]{1,18}");

    private final Pool pool;
    private final XnioLoop loop;
    private final String path;
    private final Consumer<Tree> onAnswer;
    private final Backoff backoff;
    private InetSocketAddress address;
    private long index;
    private boolean shortPolling = true; // from a failure, and from the start, until the next answer
    private int turn; // counts up with each call, and when the one in flight has been answered

    BlockingQuery(
            Pool pool,
            XnioLoop loop,
            InetSocketAddress address,
            String path,
            SplittableRandom random,
            Consumer<Tree> onAnswer) {
        this.pool = pool;
        this.loop = loop;
        this.address = address;
        this.path = path;
        this.onAnswer = onAnswer;
        this.backoff = new Backoff(random, FIRST_RETRY_MS, MAX_RETRY_MS);
    }

    /** Asks another agent from now on, from the beginning, as its indexes are its own. */
    void redirect(InetSocketAddress newAddress) {
        address = newAddress;
        index = 0;
        shortPolling = true;
        backoff.reset();
        poll();
    }

    void poll() {
        turn++;
        int ownTurn = turn;
        boolean blocks = !shortPolling && index > 0;
        String target = path + (blocks ? "?index=" + index + "&wait=" + WAIT_S + "s" : "");
        Response response = new Response(ownTurn);
        Call call = pool.start(address, HttpRequests.create(address, Methods.GET, target), new byte[0], response);
        double timeoutMs = blocks ? BLOCKING_TIMEOUT_MS : SHORT_TIMEOUT_MS;
        loop.schedule(loop.nowMs() + timeoutMs, () -> response.abortOnTimeout(call));
        if (!blocks) loop.schedule(loop.nowMs() + REPEAT_MS, () -> pollInTurn(ownTurn));
    }

    private void pollLater(double afterMs) {
        turn++;
        int ownTurn = turn;
        loop.schedule(loop.nowMs() + afterMs, () -> pollInTurn(ownTurn));
    }

    private void pollInTurn(int ownTurn) {
        if (ownTurn == turn) poll();
    }

    /**
     * The index to ask after next. One that goes backwards (a restored or new server) starts anew, as a wait for the old one
     * might never end; one that is missing or not above 0 would make the query a busy loop.
     */
    static long nextIndex(long last, String header) {
        long received = header != null && INDEX.matcher(header).matches() ? Long.parseLong(header) : 0;
        return received < last ? 0 : received;
    }

    private final class Response extends TextResponseHandler {
        private final InetSocketAddress asked = address;
        private final int ownTurn;

        Response(int ownTurn) {
            this.ownTurn = ownTurn;
        }

        @Override
        protected boolean handleResponse(int status, HeaderMap headers, String text) {
            if (!asked.equals(address)) return true;
            try {
                if (status != OK) throw new ConfigException("status " + status);
                Tree answer = Tree.any(path, text);
                long received = nextIndex(index, headers.getFirst("X-Consul-Index"));
                // The answer to an earlier call may come behind that to a later one, which stands.
                if (ownTurn != turn && received <= index) return true;
                handle(answer, received);
                return true;
            } catch (ConfigException e) {
                LOG.warn("consul query failed path={} error={}", path, e.getMessage());
                if (ownTurn == turn) index = 0;
                return false;
            }
        }

        private void handle(Tree answer, long received) {
            // A wait that ended without a change repeats the index.
            boolean changed = received == 0 || received != index;
            index = received;
            if (changed) onAnswer.accept(answer);
            shortPolling = false;
            backoff.reset();
            if (index > 0) poll();
            else pollLater(FIRST_RETRY_MS);
        }

        @Override
        protected void onNoResponse() {
            if (ownTurn != turn) return; // the other address has its own call in flight, or this one a later one
            shortPolling = true;
            pollLater(backoff.next(0));
        }
    }
}
