package maplerail.routing;

/** Whether a request of a class may be executed more than once. */
public enum Idempotency {
    /** May be executed any number of times. */
    IDEMPOTENT,
    /** May be repeated as long as the engines involved deduplicate by the request's idempotency key. */
    IDEMPOTENCY_KEY,
    /** Must be executed at most once. */
    NON_IDEMPOTENT
}
