package maplerail.discovery;

import java.util.SplittableRandom;

/**
 * What to ask discovery for next, how long to wait for it, and which lists to believe. It has no clock and no socket.
 *
 * <p>There are two cases. A list that is pushed lies with an agent on this machine, which answers at once and at no cost;
 * what the agent has counts as heard. A list that has to be asked for comes from one service for all gateways, which has
 * room for so many calls.
 *
 * <p>A call is a long poll while all is well. From a failure to the next answer it is a short poll, which asks for what is
 * there already. After a failure a change counts as heard 6 s after discovery had it and could be reached, so no wait between
 * two calls leaves less than 4 s of that for an answer to come in its turn, or 3 s from an agent.
 */
final class PollSchedule {
    /** Of a long poll at an agent: one that has fallen silent is noticed well before the 6 s are over. */
    private static final double AGENT_WAIT_MS = 2_000;

    private static final double AGENT_WAIT_SPREAD_MS = 1_000;
    private static final double AGENT_GRACE_MS = 400; // past a wait, after which a call counts as lost
    private static final double AGENT_SHORT_POLL_MS = 600; // for an answer that needs no waiting
    private static final double AGENT_RETRY_MS = 100;
    private static final double AGENT_REJECTED_MS = 200; // the first wait after a rejection
    private static final double AGENT_MAX_REJECTED_MS = 1_600;
    private static final double SERVICE_WAIT_MS = 15_000;
    private static final double SERVICE_WAIT_SPREAD_MS = 5_000;
    private static final double SERVICE_GRACE_MS = 1_000; // half of 2 s: the rest is for the short poll that follows
    private static final double SERVICE_SHORT_POLL_MS = 4_000; // given up sooner, a call would queue there twice
    private static final double SERVICE_REPEAT_MS = 1_600; // a lost call must not use up the 6 s
    private static final double SERVICE_REPEAT_SPREAD_MS = 200;
    private static final double SERVICE_RETRY_MS = 200;
    private static final double SERVICE_MAX_RETRY_MS = 1_200;
    private static final double FIRST_POLL_SPREAD_MS = 200; // a tier may start, or be redirected, at one moment
    private static final double OLDER_LIST_MS = 2_000; // for which a list older than the known one is not believed
    private static final long NO_VERSION = -1;

    private final boolean agent;
    private final Backoff backoff;
    private long version;
    private boolean shortPolling = true;
    private double olderSinceMs = Double.NaN;

    /**
     * A call to make.
     *
     * @param version asks for what is newer than this version; below 0 for the complete list
     * @param waitMs how long the answer may wait for a change
     * @param timeoutMs the time after which the call is given up
     */
    record Poll(long version, long waitMs, double timeoutMs) {
        String target() {
            return "/api/targets" + (version < 0 ? "" : "?index=" + version + "&wait=" + waitMs);
        }
    }

    /** What an answer is. */
    enum Answer {
        /** A version that was not known. */
        CHANGED,
        /** The version that is known. */
        UNCHANGED,
        /** An older version, which is not believed. */
        OUTDATED
    }

    /** Begins from a list of this version, or from none (below 0). */
    PollSchedule(boolean agent, long version, SplittableRandom random) {
        this.agent = agent;
        this.version = version;
        this.backoff = agent
                ? new Backoff(random, AGENT_REJECTED_MS, AGENT_MAX_REJECTED_MS)
                : new Backoff(random, SERVICE_RETRY_MS, SERVICE_MAX_RETRY_MS);
    }

    /** How long after the start the first call is made. */
    double firstDelayMs() {
        return agent || version < 0 ? 0 : backoff.spread(FIRST_POLL_SPREAD_MS);
    }

    /** The next call. */
    Poll next() {
        double shortPollMs = agent ? AGENT_SHORT_POLL_MS : SERVICE_SHORT_POLL_MS;
        if (version < 0) return new Poll(NO_VERSION, 0, shortPollMs);
        if (shortPolling) return new Poll(version, 1, shortPollMs);
        double spreadMs = agent ? AGENT_WAIT_SPREAD_MS : SERVICE_WAIT_SPREAD_MS;
        long waitMs = Math.round((agent ? AGENT_WAIT_MS : SERVICE_WAIT_MS) + backoff.spread(spreadMs));
        return new Poll(version, waitMs, waitMs + (agent ? AGENT_GRACE_MS : SERVICE_GRACE_MS));
    }

    /**
     * After how long a short poll without an answer is repeated, or infinity: discovery that was silent answers, when it
     * comes back, what is asked then. At the service the earlier call keeps its place in the queue.
     */
    double repeatMs() {
        if (!shortPolling) return Double.POSITIVE_INFINITY;
        return agent ? AGENT_RETRY_MS : SERVICE_REPEAT_MS + backoff.spread(SERVICE_REPEAT_SPREAD_MS);
    }

    /** True from a failure, and from the start, until the next answer. */
    boolean isShortPolling() {
        return shortPolling;
    }

    /** A call failed or timed out: how long until the next. */
    double onFailed() {
        // What is lost on the way is asked for once more at once, as little is left of the 6 s.
        boolean first = !shortPolling;
        shortPolling = true;
        if (agent) return first ? 0 : AGENT_RETRY_MS;
        return backoff.next(0);
    }

    /** A call was rejected for lack of capacity: how long until the next. */
    double onRejected(double retryAfterMs) {
        shortPolling = true;
        return backoff.next(retryAfterMs);
    }

    /** An answer was no list: how long until the complete list is asked for. */
    double onUnreadable() {
        version = NO_VERSION;
        return onFailed();
    }

    /** Another address is asked from now on, whose list may be older: how long until it is asked. */
    double onRedirected() {
        shortPolling = true;
        version = NO_VERSION;
        olderSinceMs = Double.NaN;
        backoff.reset();
        return agent ? 0 : backoff.spread(FIRST_POLL_SPREAD_MS);
    }

    /**
     * A list has come. An agent may have yet to hear of what another one told: by its list, engines that drain would be
     * ready once more. One that stays behind has begun anew, and its complete list counts.
     *
     * @param received the list's version
     * @param complete whether it is complete, or holds the changes after the version that was asked for
     * @param newest the newest version that was received from any address
     */
    Answer onList(long received, boolean complete, long newest, double nowMs) {
        if (received < newest) {
            version = NO_VERSION;
            shortPolling = true;
            if (Double.isNaN(olderSinceMs)) olderSinceMs = nowMs;
            if (!complete || nowMs < olderSinceMs + OLDER_LIST_MS) return Answer.OUTDATED;
        }
        boolean known = received == version;
        olderSinceMs = Double.NaN;
        version = received;
        shortPolling = false;
        backoff.reset();
        return known ? Answer.UNCHANGED : Answer.CHANGED;
    }
}
