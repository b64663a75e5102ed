package maplerail.core;

import maplerail.core.Lifecycle.Phase;

/**
 * What holds for clients since the process began to send them away, as a lame duck or to stop. Connections end with what is
 * open on them; a while later no request is taken any more, as its answer might not end in time; later still a request that
 * is not complete yet is not waited for. Thread-safe: the phase may move on any thread.
 */
public final class DrainSchedule {
    /** After the operators' call, in which connections still arrive; they judge a request by its age 4 s after the call. */
    private static final double LAME_DUCK_TAKING_MS = 1_000;

    /** After SIGTERM, which may have been heard late: what comes 0.7 s after it has to be answered before the kill. */
    private static final double STOPPING_TAKING_MS = 550;

    /** After no request is taken any more, in which one that is on its way may become complete. */
    private static final double INCOMPLETE_MS = 1_000;

    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final EventLoop loop;
    private volatile double refusingFromMs = NEVER;
    private volatile boolean sendingAway;
    private volatile int drainCount;

    /** Creates the schedule of a process that is in the lifecycle's phase now. */
    public DrainSchedule(Lifecycle lifecycle, EventLoop loop) {
        this.loop = loop;
        lifecycle.addListener(this::onPhase);
    }

    /** A process that stops as a lame duck refuses from the earlier of the two times. */
    private void onPhase(Phase phase) {
        switch (phase) {
            case LAME_DUCK -> begin(LAME_DUCK_TAKING_MS);
            case DRAINING, STOPPED -> begin(STOPPING_TAKING_MS);
            case STARTING, READY -> {
                sendingAway = false;
                refusingFromMs = NEVER;
            }
        }
    }

    private void begin(double takingMs) {
        refusingFromMs = Math.min(refusingFromMs, loop.nowMs() + takingMs);
        if (!sendingAway) drainCount++; // told one at a time, by the thread that moves the phase
        sendingAway = true;
    }

    /** True while each answer ends its client's connection, unless more has come on that. */
    public boolean isDraining() {
        return sendingAway;
    }

    /** The number of times that clients began to be sent away; a stop in the middle of a lame duck is none of its own. */
    public int drainCount() {
        return drainCount;
    }

    /** True once new requests are refused, whatever connection they come on. */
    public boolean isRejecting() {
        return loop.nowMs() >= refusingFromMs;
    }

    /** True once requests that are not complete are not waited for. */
    public boolean isRejectingIncomplete() {
        return loop.nowMs() >= refusingFromMs + INCOMPLETE_MS;
    }
}
