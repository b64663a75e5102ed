package maplerail.discovery;

import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import maplerail.config.ConfigException;
import maplerail.config.Tree;
import maplerail.net.Call;
import maplerail.net.Pool;
import maplerail.net.Requests;
import maplerail.net.TextReply;
import maplerail.net.XnioLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One of Consul's blocking queries, asked again for good; what it last told stays true while it can't be asked. */
final class BlockingQuery {
    private static final Logger LOG = LoggerFactory.getLogger(BlockingQuery.class);
    private static final long WAIT_S = 20;
    private static final double GRACE_MS = 2_000 + WAIT_S * 1_000 / 16; // Consul adds up to a sixteenth
    private static final double FIRST_AGAIN_MS = 100;
    private static final double MOST_AGAIN_MS = 5_000;

    private final Pool pool;
    private final XnioLoop loop;
    private InetSocketAddress at;
    private final String path;
    private final Consumer<Tree> news;
    private long index;
    private double againMs = FIRST_AGAIN_MS;

    BlockingQuery(Pool pool, XnioLoop loop, InetSocketAddress at, String path, Consumer<Tree> news) {
        this.pool = pool;
        this.loop = loop;
        this.at = at;
        this.path = path;
        this.news = news;
    }

    /** Asks another agent from now on, anew: its indexes are its own. */
    void move(InetSocketAddress to) {
        at = to;
        index = 0;
        againMs = FIRST_AGAIN_MS;
        ask();
    }

    void ask() {
        String target = path + (index == 0 ? "" : "?index=" + index + "&wait=" + WAIT_S + "s");
        Asked asked = new Asked();
        Call call = pool.start(at, Requests.to(at, Methods.GET, target), new byte[0], asked);
        loop.at(loop.nowMs() + WAIT_S * 1_000 + GRACE_MS, () -> asked.expire(call));
    }

    /**
     * The index to ask after next. Going backwards (a restored or new server) starts anew, as a wait for the old
     * one might never end; one that is missing or not above 0 would make the query a busy loop.
     */
    static long next(long last, String told) {
        long index = told != null && told.matches("[0-9]{1,18}") ? Long.parseLong(told) : 0;
        return index < last ? 0 : index;
    }

    private final class Asked extends TextReply {
        private final InetSocketAddress asked = at;

        @Override
        protected boolean whole(int status, HeaderMap headers, String text) {
            if (!asked.equals(at)) return true;
            try {
                if (status != 200) throw new ConfigException("status " + status);
                Tree answer = Tree.any(path, text);
                long before = index;
                index = next(before, headers.getFirst("X-Consul-Index"));
                // A wait that ended without news repeats the index.
                if (index == 0 || index != before) news.accept(answer);
            } catch (ConfigException e) {
                LOG.warn("consul: {}", e.getMessage());
                index = 0;
                return false;
            }
            againMs = FIRST_AGAIN_MS;
            if (index > 0) ask();
            else later(FIRST_AGAIN_MS);
            return true;
        }

        @Override
        protected void none() {
            later(againMs);
            againMs = Math.min(MOST_AGAIN_MS, againMs * 2);
        }

        private void later(double afterMs) {
            loop.at(loop.nowMs() + afterMs, () -> {
                if (asked.equals(at)) ask(); // else the other address has its own call out
            });
        }
    }
}
