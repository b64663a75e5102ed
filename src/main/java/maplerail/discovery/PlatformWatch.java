package maplerail.discovery;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import maplerail.config.ConfigException;
import maplerail.config.EngineList;
import maplerail.config.Names;
import maplerail.config.Tree;
import maplerail.net.Call;
import maplerail.net.Pool;
import maplerail.net.Requests;
import maplerail.net.TextReply;
import maplerail.net.XnioLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Watches the platform's list: each next call follows the last answer at once, well within 200 ms. */
public final class PlatformWatch {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformWatch.class);
    private static final long WAIT_MS = 5_000; // an answer that was lost is missed for no longer
    private static final double GRACE_MS = 1_000; // past its wait, after which a call is held to be lost
    private static final double AGAIN_MS = 50;
    private static final double DOUBT_MS = 2_000; // after a move, in which a list older than ours is not believed

    private final Pool pool;
    private final XnioLoop loop;
    private InetSocketAddress at;
    private final Names names;
    private final Consumer<EngineList> news;
    private long version = -1;
    private long newest = -1; // of what was told at any address
    private double doubtUntilMs = Double.NEGATIVE_INFINITY;

    /** Makes a watch that tells each piece of news. */
    public PlatformWatch(Pool pool, XnioLoop loop, InetSocketAddress at, Names names, Consumer<EngineList> news) {
        this.pool = pool;
        this.loop = loop;
        this.at = at;
        this.names = names;
        this.news = news;
    }

    /** Asks for the whole list, then for changes, for good. */
    public void ask() {
        String target = "/api/targets" + (version < 0 ? "" : "?index=" + version + "&wait=" + WAIT_MS);
        new Asked().start(Requests.to(at, Methods.GET, target));
    }

    /** Asks at another address from now on. The call that is still out at the old one is heard to its end. */
    public void move(InetSocketAddress to) {
        if (to.equals(at)) return;
        at = to;
        version = -1;
        doubtUntilMs = loop.nowMs() + DOUBT_MS;
        ask();
    }

    private final class Asked extends TextReply {
        private final InetSocketAddress asked = at;

        void start(ClientRequest request) {
            Call call = pool.start(at, request, new byte[0], this);
            // Guards against an agent that was cut off: its connection would stay open and silent.
            loop.at(loop.nowMs() + (version < 0 ? GRACE_MS : WAIT_MS + GRACE_MS), () -> expire(call));
        }

        @Override
        protected boolean whole(int status, HeaderMap headers, String text) {
            EngineList list;
            try {
                if (status != 200) throw new ConfigException("status " + status);
                list = EngineList.read(Tree.object("list", text), names);
            } catch (ConfigException e) {
                LOG.warn("discovery: {}", e.getMessage());
                if (asked.equals(at)) version = -1;
                return false;
            }
            // Guards against a new agent that has yet to hear of what ours had told: engines that drain would be
            // listed as ready once more.
            boolean older = list.version() < newest && loop.nowMs() < doubtUntilMs;
            if (asked.equals(at)) {
                if (older) return false;
                version = list.version();
                ask();
            }
            if (older) return true;
            newest = list.version();
            news.accept(list);
            return true;
        }

        @Override
        protected void none() {
            if (!asked.equals(at)) return; // the other address has its own call out
            loop.at(loop.nowMs() + AGAIN_MS, () -> {
                if (asked.equals(at)) ask();
            });
        }
    }
}
