package maplerail.discovery;

import java.util.SplittableRandom;

/**
 * Decides what to request from discovery next, how long to wait for the response, and which lists to accept. Uses no
 * clock and no socket.
 *
 * <p>There are two cases. A list that is pushed is served by an agent on this machine, which answers immediately and at
 * no cost; the platform considers the gateway to know what the agent has. A list that has to be pulled comes from one
 * service for all gateways, which has capacity for a limited number of calls.
 *
 * <p>Normally a call is a long poll. From a failure until the next response it is a short poll, which requests the
 * current list without waiting for a change. After a failure, the platform considers the gateway to know a change 6 s
 * after discovery had it and was reachable. The delay between two calls therefore leaves at least 4 s of that for a
 * response, which may be queued, or 3 s for a response from an agent.
 */
final class PollSchedule {
    /** Wait of a long poll to an agent, short enough to detect an unresponsive agent well within the 6 s. */
    private static final double AGENT_WAIT_MS = 2_000;

    private static final double AGENT_WAIT_SPREAD_MS = 1_000;
    private static final double AGENT_GRACE_MS = 400; // added to the wait, after which a call counts as lost
    private static final double AGENT_SHORT_POLL_TIMEOUT_MS = 600; // for a response without waiting
    private static final double AGENT_RETRY_MS = 100;
    private static final double AGENT_FIRST_BACKOFF_MS = 200; // bound of the first delay after a rejection
    private static final double AGENT_MAX_BACKOFF_MS = 1_600;
    private static final double SERVICE_WAIT_MS = 15_000;
    private static final double SERVICE_WAIT_SPREAD_MS = 5_000;
    private static final double SERVICE_GRACE_MS = 1_000; // half of 2 s: the rest is for the short poll that follows
    private static final double SERVICE_SHORT_POLL_TIMEOUT_MS = 4_000; // if aborted sooner, a call is queued twice
    private static final double SERVICE_REPEAT_MS = 1_600; // a lost call must not use up the 6 s
    private static final double SERVICE_REPEAT_SPREAD_MS = 200;
    private static final double SERVICE_FIRST_BACKOFF_MS = 200;
    private static final double SERVICE_MAX_BACKOFF_MS = 1_200;
    private static final double FIRST_POLL_SPREAD_MS = 200; // a whole tier may start or be redirected at once
    private static final double OUTDATED_LIST_MS = 2_000; // in which a list older than the known one is ignored
    private static final long NO_VERSION = -1;

    private final boolean agent;
    private final Backoff backoff;
    private long version;
    private boolean shortPolling = true;
    private double outdatedSinceMs = Double.NaN;

    /**
     * A call to make.
     *
     * @param version requests the changes since this version; below 0 for the complete list
     * @param waitMs how long discovery may wait for a change before it responds
     * @param timeoutMs the time after which the call is aborted
     */
    record Poll(long version, long waitMs, double timeoutMs) {
        String target() {
            return "/api/targets" + (version < 0 ? "" : "?index=" + version + "&wait=" + waitMs);
        }
    }

    /** How a received list compares to the known one. */
    enum ListStatus {
        /** A version other than the known one. */
        CHANGED,
        /** The known version. */
        UNCHANGED,
        /** An older version, which is ignored. */
        OUTDATED
    }

    /** Creates a schedule that starts from a list of this version, or from none (below 0). */
    PollSchedule(boolean agent, long version, SplittableRandom random) {
        this.agent = agent;
        this.version = version;
        this.backoff = agent
                ? new Backoff(random, AGENT_FIRST_BACKOFF_MS, AGENT_MAX_BACKOFF_MS)
                : new Backoff(random, SERVICE_FIRST_BACKOFF_MS, SERVICE_MAX_BACKOFF_MS);
    }

    /** Returns the delay from the start to the first call. */
    double firstDelayMs() {
        return agent || version < 0 ? 0 : backoff.randomDelayMs(FIRST_POLL_SPREAD_MS);
    }

    /** Returns the next call to make. */
    Poll nextPoll() {
        double shortPollTimeoutMs = agent ? AGENT_SHORT_POLL_TIMEOUT_MS : SERVICE_SHORT_POLL_TIMEOUT_MS;
        if (version < 0) return new Poll(NO_VERSION, 0, shortPollTimeoutMs);
        if (shortPolling) return new Poll(version, 1, shortPollTimeoutMs);
        double spreadMs = agent ? AGENT_WAIT_SPREAD_MS : SERVICE_WAIT_SPREAD_MS;
        long waitMs = Math.round((agent ? AGENT_WAIT_MS : SERVICE_WAIT_MS) + backoff.randomDelayMs(spreadMs));
        return new Poll(version, waitMs, waitMs + (agent ? AGENT_GRACE_MS : SERVICE_GRACE_MS));
    }

    /**
     * Returns the time after which an unanswered short poll is repeated, or infinity for a long poll. Discovery that
     * was unreachable only answers calls that it receives after it has recovered. At the service, the earlier call
     * keeps its place in the queue.
     */
    double repeatAfterMs() {
        if (!shortPolling) return Double.POSITIVE_INFINITY;
        return agent ? AGENT_RETRY_MS : SERVICE_REPEAT_MS + backoff.randomDelayMs(SERVICE_REPEAT_SPREAD_MS);
    }

    /** Returns true from the start or a failure until the next response. */
    boolean isShortPolling() {
        return shortPolling;
    }

    /** Handles a call that failed or timed out; returns the delay before the next call. */
    double onFailed() {
        // A long poll to an agent that was lost is repeated immediately, as little is left of the 6 s.
        boolean firstFailure = !shortPolling;
        shortPolling = true;
        if (agent) return firstFailure ? 0 : AGENT_RETRY_MS;
        return backoff.nextDelayMs(0);
    }

    /** Handles a call that was rejected for lack of capacity; returns the delay before the next call. */
    double onRejected(double retryAfterMs) {
        shortPolling = true;
        return backoff.nextDelayMs(retryAfterMs);
    }

    /** Handles a response that was not a valid list; returns the delay before the complete list is requested. */
    double onUnreadable() {
        version = NO_VERSION;
        return onFailed();
    }

    /** Handles a switch to another address, whose list may be older; returns the delay before the first call to it. */
    double onRedirected() {
        shortPolling = true;
        version = NO_VERSION;
        outdatedSinceMs = Double.NaN;
        backoff.reset();
        return agent ? 0 : backoff.randomDelayMs(FIRST_POLL_SPREAD_MS);
    }

    /**
     * Handles a received list. A new agent may not yet have a change that another agent already reported: in its list,
     * draining engines would be ready again. An agent whose list stays older has restarted, and its complete list is
     * accepted.
     *
     * @param received the list's version
     * @param complete whether it is complete, or contains only the changes since the requested version
     * @param newest the newest version that was received from any address
     */
    ListStatus onList(long received, boolean complete, long newest, double nowMs) {
        if (received < newest) {
            version = NO_VERSION;
            shortPolling = true;
            if (Double.isNaN(outdatedSinceMs)) outdatedSinceMs = nowMs;
            if (!complete || nowMs < outdatedSinceMs + OUTDATED_LIST_MS) return ListStatus.OUTDATED;
        }
        boolean unchanged = received == version;
        outdatedSinceMs = Double.NaN;
        version = received;
        shortPolling = false;
        backoff.reset();
        return unchanged ? ListStatus.UNCHANGED : ListStatus.CHANGED;
    }
}
