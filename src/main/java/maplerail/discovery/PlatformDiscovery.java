package maplerail.discovery;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import maplerail.config.ConfigException;
import maplerail.config.EngineList;
import maplerail.config.Names;
import maplerail.config.Tree;
import maplerail.discovery.PollSchedule.Answer;
import maplerail.discovery.PollSchedule.Poll;
import maplerail.net.Call;
import maplerail.net.HttpRequests;
import maplerail.net.Pool;
import maplerail.net.TextResponseHandler;
import maplerail.net.XnioLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the platform's endpoint list: makes the calls that {@link PollSchedule} wants and passes on the lists that it
 * believes. Each call follows the last answer at once. The known version is kept over failures, so that changes are asked
 * for and not the complete list, which costs discovery a line an engine.
 */
public final class PlatformDiscovery {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformDiscovery.class);
    private static final double MIN_INTERVAL_MS = 100; // of long polls that end at once without a change
    private static final double MS_PER_S = 1_000;
    private static final int OK = 200;
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    private final Pool pool;
    private final XnioLoop loop;
    private final Names names;
    private final boolean agent;
    private final SplittableRandom random;
    private final Consumer<EngineList> onList;
    private final Runnable onRejectedList;
    private InetSocketAddress address;
    private PollSchedule schedule;
    private long newestVersion = -1; // received from any address
    private Optional<Call> latestCall = Optional.empty();
    /** Counts up when the call in flight has been answered, or its address is asked no more. */
    private int turn;

    /**
     * Creates a poller that has not started.
     *
     * @param agent whether the list is pushed to an agent on this machine
     * @param onList receives each list, unchanged ones too
     * @param onRejectedList is run for each answer that was no list, or not believed
     */
    public PlatformDiscovery(
            Pool pool,
            XnioLoop loop,
            InetSocketAddress address,
            Names names,
            boolean agent,
            SplittableRandom random,
            Consumer<EngineList> onList,
            Runnable onRejectedList) {
        this.pool = pool;
        this.loop = loop;
        this.address = address;
        this.names = names;
        this.agent = agent;
        this.random = random;
        this.onList = onList;
        this.onRejectedList = onRejectedList;
    }

    /** Polls for good: for what is newer than a known list, or from the complete list on if none (null) is known. */
    public void start(EngineList known) {
        if (known != null && !known.members().isEmpty()) newestVersion = known.version();
        schedule = new PollSchedule(agent, newestVersion, random);
        pollLater(schedule.firstDelayMs());
    }

    /** Polls another address from now on. The call in flight at the old one is taken in when it is answered. */
    public void redirect(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) return;
        address = newAddress;
        pollLater(schedule.onRedirected());
    }

    /** Takes in an answer that has arrived, before the event loop gets to it. */
    public void refresh() {
        latestCall.ifPresent(Call::readAvailable);
    }

    private void poll() {
        turn++;
        int ownTurn = turn;
        Poll poll = schedule.next();
        LOG.debug("polling address={} target={}", address, poll.target());
        new Response(ownTurn).request(poll);
        double repeatMs = schedule.repeatMs();
        if (repeatMs < poll.timeoutMs()) loop.schedule(loop.nowMs() + repeatMs, () -> pollInTurn(ownTurn));
    }

    private void pollLater(double afterMs) {
        turn++;
        int ownTurn = turn;
        loop.schedule(loop.nowMs() + afterMs, () -> pollInTurn(ownTurn));
    }

    private void pollInTurn(int ownTurn) {
        if (ownTurn == turn) poll();
    }

    private void accept(EngineList list) {
        newestVersion = list.version();
        onList.accept(list);
    }

    /** Seconds, with or without decimals, as milliseconds; 0 if there are none, or none that can be read. */
    private static double retryAfterMs(String header) {
        return header != null && SECONDS.matcher(header).matches() ? Double.parseDouble(header) * MS_PER_S : 0;
    }

    private final class Response extends TextResponseHandler {
        private final InetSocketAddress asked = address;
        private final double sentMs = loop.nowMs();
        private final int ownTurn;
        private double retryMs = Double.NaN;

        Response(int ownTurn) {
            this.ownTurn = ownTurn;
        }

        void request(Poll poll) {
            Call call =
                    pool.start(address, HttpRequests.create(address, Methods.GET, poll.target()), new byte[0], this);
            latestCall = Optional.of(call);
            // The connection to an agent that was cut off would stay open and silent.
            loop.schedule(loop.nowMs() + poll.timeoutMs(), () -> abortOnTimeout(call));
        }

        @Override
        protected boolean handleResponse(int status, HeaderMap headers, String text) {
            if (status != OK) {
                // No capacity, or down: what is known stays true, and so does its version.
                LOG.warn("discovery failed status={}", status);
                double retryAfterMs = retryAfterMs(headers.getFirst(Headers.RETRY_AFTER));
                if (ownTurn == turn) retryMs = schedule.onRejected(retryAfterMs);
                return false;
            }
            Optional<EngineList> list = read(text);
            list.ifPresent(this::handle);
            return list.isPresent();
        }

        private Optional<EngineList> read(String text) {
            try {
                return Optional.of(EngineList.read(Tree.object("list", text), names));
            } catch (RuntimeException e) {
                LOG.warn(
                        "discovery answered no list: {}", e instanceof ConfigException ? e.getMessage() : e.toString());
                onRejectedList.run();
                if (ownTurn == turn) retryMs = schedule.onUnreadable();
                return Optional.empty();
            }
        }

        private void handle(EngineList list) {
            boolean newer = list.version() > newestVersion;
            if (!asked.equals(address)) {
                // The old agent is told no more than the new one, and what it says late may be overtaken.
                if (newer) accept(list);
            } else if (ownTurn == turn || newer) {
                handleInTurn(list);
            }
            // Else it answers an earlier short poll, and what has come since says all of it.
        }

        private void handleInTurn(EngineList list) {
            boolean longPoll = !schedule.isShortPolling();
            Answer answer = schedule.onList(list.version(), list.whole(), newestVersion, loop.nowMs());
            if (answer == Answer.OUTDATED) {
                LOG.warn("discovery answered an outdated list version={} known={}", list.version(), newestVersion);
                onRejectedList.run();
                pollLater(schedule.onFailed());
                return;
            }
            boolean nothing = answer == Answer.UNCHANGED && list.members().isEmpty();
            boolean atOnce = loop.nowMs() - sentMs < MIN_INTERVAL_MS;
            if (nothing && longPoll && atOnce) pollLater(MIN_INTERVAL_MS);
            else poll();
            // An unchanged list is passed on too: any answer is what a process that has just started waits for.
            accept(list);
        }

        @Override
        protected void onNoResponse() {
            if (ownTurn != turn) return; // the other address has its own call in flight, or this one a later one
            pollLater(Double.isNaN(retryMs) ? schedule.onFailed() : retryMs);
        }
    }
}
