package maplerail.core;

/** What a front passes to the engines with a request. The broker carries it and never looks inside. */
public interface RequestPayload {
    /** The default of {@link #stallTimeoutMs()}. */
    double DEFAULT_STALL_TIMEOUT_MS = 3_000;

    /** How long a stream that has begun may be silent before it counts as broken, in milliseconds. */
    default double stallTimeoutMs() {
        return DEFAULT_STALL_TIMEOUT_MS;
    }
}
