package maplerail.core;

/** The data that a front sends to engines with a request; opaque to the broker. */
public interface RequestPayload {
    /** Drops the data, as no further attempt will be sent; true if its memory is free now. */
    default boolean release() {
        return false;
    }

    /** The default of {@link #stallTimeoutMs()}. */
    double DEFAULT_STALL_TIMEOUT_MS = 3_000;

    /** The maximum time between two events of a stream before it counts as broken, in milliseconds. */
    default double stallTimeoutMs() {
        return DEFAULT_STALL_TIMEOUT_MS;
    }
}
