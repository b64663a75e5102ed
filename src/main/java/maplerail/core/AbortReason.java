package maplerail.core;

/** Why the gateway itself ended an attempt, for the log. */
enum AbortReason {
    /** The routing policy cancelled it. */
    POLICY,
    /** The request has its final answer, or its client disconnected. */
    REQUEST_ENDED,
    /** Its engine no longer takes new work, and nothing of it had been sent. */
    ENGINE_NOT_READY,
    /** Its deadline passed. */
    DEADLINE,
    /** Its stream carried no event for longer than the stall timeout. */
    STALLED,
    /** Another attempt of the request streams to the client. */
    ANOTHER_STREAMS,
    /** Engines no longer drop a repeat of it. */
    KEY_EXPIRED,
    /** The state that it was to take is being released. */
    STATE_RELEASED,
    /** A read that should have ended was not heard of: its state may be held since. */
    UNHEARD
}
