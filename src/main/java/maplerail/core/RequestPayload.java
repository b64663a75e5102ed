package maplerail.core;

/** The data that a front sends to engines with a request; opaque to the broker. */
public interface RequestPayload {
    /** Drops the data, as no further attempt will be sent; true if its memory is free now. */
    default boolean release() {
        return false;
    }

    /**
     * The default of {@link #stallTimeoutMs()}. A client must not wait for 5 s after an engine's last event; until then
     * an engine that writes slowly is not broken. The rest is for a process that is held up.
     */
    double DEFAULT_STALL_TIMEOUT_MS = 4_800;

    /** The maximum time between two events of a stream before it counts as broken, in milliseconds. */
    default double stallTimeoutMs() {
        return DEFAULT_STALL_TIMEOUT_MS;
    }
}
