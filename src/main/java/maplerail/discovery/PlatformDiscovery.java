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
import maplerail.discovery.PollSchedule.ListStatus;
import maplerail.discovery.PollSchedule.Poll;
import maplerail.net.Call;
import maplerail.net.ConnectionPool;
import maplerail.net.HttpRequests;
import maplerail.net.TextResponseHandler;
import maplerail.net.XnioEventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the platform's endpoint list: makes the calls that {@link PollSchedule} schedules and publishes the lists that
 * it accepts. Each call follows the previous response immediately. The known version is kept across failures, so that
 * only changes are requested and not the complete list, which costs discovery one line per engine.
 */
public final class PlatformDiscovery {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformDiscovery.class);
    private static final double MIN_INTERVAL_MS = 100; // between long polls that return immediately without a change
    private static final double MS_PER_S = 1_000;
    private static final int OK = 200;
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    private final ConnectionPool pool;
    private final XnioEventLoop loop;
    private final Names names;
    private final boolean agent;
    private final SplittableRandom random;
    private final Consumer<EngineList> onList;
    private final Runnable onRejectedList;
    private InetSocketAddress address;
    private PollSchedule schedule;
    private long newestVersion = -1; // received from any address
    private Optional<Call> latestCall = Optional.empty();
    /** Incremented for each call or scheduled call; identifies the latest one. */
    private int generation;

    /**
     * Creates a poller, which {@link #start} starts.
     *
     * @param agent whether the list is pushed to an agent on this machine
     * @param onList receives each list, including unchanged ones
     * @param onRejectedList is run for each response that is not a valid list or is outdated
     */
    public PlatformDiscovery(
            ConnectionPool pool,
            XnioEventLoop loop,
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

    /** Starts polling for changes to a known list, or for the complete list first if none is known (null). */
    public void start(EngineList known) {
        if (known != null && !known.members().isEmpty()) newestVersion = known.version();
        schedule = new PollSchedule(agent, newestVersion, random);
        pollLater(schedule.firstDelayMs());
    }

    /** Polls another address from now on. A response to the call in flight at the old address is still processed. */
    public void redirect(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) return;
        address = newAddress;
        pollLater(schedule.onRedirected());
    }

    /** Processes a response that has arrived but that the event loop has not yet dispatched. */
    public void refresh() {
        latestCall.ifPresent(Call::readAvailable);
    }

    private void poll() {
        generation++;
        int callGeneration = generation;
        Poll poll = schedule.nextPoll();
        LOG.debug("polling address={} target={}", address, poll.target());
        new Response(callGeneration).send(poll);
        double repeatAfterMs = schedule.repeatAfterMs();
        if (repeatAfterMs < poll.timeoutMs())
            loop.schedule(loop.nowMs() + repeatAfterMs, () -> pollIfCurrent(callGeneration));
    }

    private void pollLater(double afterMs) {
        generation++;
        int callGeneration = generation;
        loop.schedule(loop.nowMs() + afterMs, () -> pollIfCurrent(callGeneration));
    }

    private void pollIfCurrent(int callGeneration) {
        if (callGeneration == generation) poll();
    }

    private void publish(EngineList list) {
        newestVersion = list.version();
        onList.accept(list);
    }

    /** Parses seconds, with or without decimals, and returns milliseconds; 0 if the header is missing or invalid. */
    private static double retryAfterMs(String header) {
        return header != null && SECONDS.matcher(header).matches() ? Double.parseDouble(header) * MS_PER_S : 0;
    }

    private final class Response extends TextResponseHandler {
        private final InetSocketAddress calledAddress = address;
        private final double sentMs = loop.nowMs();
        private final int callGeneration;
        private double retryMs = Double.NaN;

        Response(int callGeneration) {
            this.callGeneration = callGeneration;
        }

        void send(Poll poll) {
            Call call =
                    pool.start(address, HttpRequests.create(address, Methods.GET, poll.target()), new byte[0], this);
            latestCall = Optional.of(call);
            // A connection to an agent behind a network partition would stay open without a response.
            loop.schedule(loop.nowMs() + poll.timeoutMs(), () -> abortOnTimeout(call));
        }

        @Override
        protected boolean handleResponse(int status, HeaderMap headers, String text) {
            if (status != OK) {
                // Overloaded or down: the known list and its version stay in effect.
                LOG.warn("discovery failed status={}", status);
                double retryAfterMs = retryAfterMs(headers.getFirst(Headers.RETRY_AFTER));
                if (callGeneration == generation) retryMs = schedule.onRejected(retryAfterMs);
                return false;
            }
            Optional<EngineList> list = parse(text);
            list.ifPresent(this::handle);
            return list.isPresent();
        }

        private Optional<EngineList> parse(String text) {
            try {
                return Optional.of(EngineList.read(Tree.object("list", text), names));
            } catch (RuntimeException e) {
                LOG.warn(
                        "discovery answered no list: {}", e instanceof ConfigException ? e.getMessage() : e.toString());
                onRejectedList.run();
                if (callGeneration == generation) retryMs = schedule.onUnreadable();
                return Optional.empty();
            }
        }

        private void handle(EngineList list) {
            boolean newer = list.version() > newestVersion;
            if (!calledAddress.equals(address)) {
                // The old agent has no newer lists than the new one, and its late response may already be outdated.
                if (newer) publish(list);
            } else if (callGeneration == generation || newer) {
                handleCurrent(list);
            }
            // Otherwise it answers an earlier short poll, and a later response already covers it.
        }

        private void handleCurrent(EngineList list) {
            boolean longPoll = !schedule.isShortPolling();
            ListStatus status = schedule.onList(list.version(), list.whole(), newestVersion, loop.nowMs());
            if (status == ListStatus.OUTDATED) {
                LOG.warn("discovery answered an outdated list version={} known={}", list.version(), newestVersion);
                onRejectedList.run();
                pollLater(schedule.onFailed());
                return;
            }
            boolean noChanges = status == ListStatus.UNCHANGED && list.members().isEmpty();
            boolean immediate = loop.nowMs() - sentMs < MIN_INTERVAL_MS;
            if (noChanges && longPoll && immediate) pollLater(MIN_INTERVAL_MS);
            else poll();
            // Unchanged lists are published too: a process that has just started waits for any response.
            publish(list);
        }

        @Override
        protected void onNoResponse() {
            if (callGeneration != generation) return; // superseded by a later call, to this or another address
            pollLater(Double.isNaN(retryMs) ? schedule.onFailed() : retryMs);
        }
    }
}
