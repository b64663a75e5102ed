package maplerail.core;

/** Why the gateway itself ended an attempt; written to the log. */
enum AbortReason {
    /** The routing policy cancelled it. */
    POLICY,
    /** The request has its final response, or its client disconnected. */
    REQUEST_ENDED,
    /** Its engine no longer accepts new work, and no byte of the attempt had been sent. */
    ENGINE_NOT_READY,
    /** Its deadline expired. */
    DEADLINE,
    /** No event arrived on its stream within the stall timeout. */
    STALLED,
    /** Another attempt of the request already streams to the client. */
    ANOTHER_STREAMS,
    /** Its idempotency key has expired: engines no longer drop duplicates. */
    KEY_EXPIRED,
    /** So much of its client's input was unread that a disconnect could not be detected. */
    CLIENT_UNKNOWN,
    /** The state that it needs is being released. */
    STATE_RELEASED,
    /** A read had no response in the expected time; its reader may still reserve a state for it. */
    UNHEARD
}
