package maplerail.routing;

/** How often a request of a class may be executed. */
public enum Idempotency {
    /** Any number of times. */
    IDEMPOTENT,
    /** Any number of times where and while engines drop repeats by the request's idempotency key. */
    IDEMPOTENCY_KEY,
    /** Once at most. */
    NON_IDEMPOTENT
}
