package maplerail.core;

import maplerail.core.Lifecycle.Phase;

/**
 * The steps by which the process drains its clients, as a lame duck or to stop. First, connections are closed after the
 * requests that are open on them. A while later, new requests are rejected, as their responses might not end in time.
 * Later still, requests that are incomplete are rejected as well. Thread-safe: the phase may change on any thread.
 */
public final class DrainSchedule {
    /**
     * Time after the lame duck call in which requests are accepted, as connections still arrive; operators check the
     * age of open requests 4 s after the call.
     */
    private static final double LAME_DUCK_ACCEPTING_MS = 1_000;

    /** The same after SIGTERM, which may be handled late: a request 0.7 s after it needs a response before SIGKILL. */
    private static final double STOPPING_ACCEPTING_MS = 550;

    /** Time after new requests are rejected in which a partly received request may still be completed. */
    private static final double INCOMPLETE_REQUEST_GRACE_MS = 1_000;

    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final EventLoop loop;
    private volatile double rejectingFromMs = NEVER;
    private volatile boolean draining;
    private volatile int drainCount;

    /** Creates the schedule of a process with the given lifecycle; later phase changes control it. */
    public DrainSchedule(Lifecycle lifecycle, EventLoop loop) {
        this.loop = loop;
        lifecycle.addListener(this::onPhase);
    }

    /** A process that stops while it is a lame duck rejects requests from the earlier of the two times. */
    private void onPhase(Phase phase) {
        switch (phase) {
            case LAME_DUCK -> beginDraining(LAME_DUCK_ACCEPTING_MS);
            case DRAINING, STOPPED -> beginDraining(STOPPING_ACCEPTING_MS);
            case STARTING, READY -> {
                draining = false;
                rejectingFromMs = NEVER;
            }
        }
    }

    private void beginDraining(double acceptingMs) {
        rejectingFromMs = Math.min(rejectingFromMs, loop.nowMs() + acceptingMs);
        if (!draining) drainCount++; // called by one thread at a time, the one that changes the phase
        draining = true;
    }

    /** True while each response closes its client's connection, unless further requests have arrived on it. */
    public boolean isDraining() {
        return draining;
    }

    /** The number of times that draining began; a stop during a lame duck period does not count separately. */
    public int drainCount() {
        return drainCount;
    }

    /** True once new requests are rejected on all connections. */
    public boolean isRejecting() {
        return loop.nowMs() >= rejectingFromMs;
    }

    /** True once incomplete requests are rejected as well. */
    public boolean isRejectingIncomplete() {
        return loop.nowMs() >= rejectingFromMs + INCOMPLETE_REQUEST_GRACE_MS;
    }
}
