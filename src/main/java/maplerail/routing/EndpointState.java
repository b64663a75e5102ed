package maplerail.routing;

/** The state of an engine according to service discovery. */
public enum EndpointState {
    /** The engine accepts new work. */
    READY,
    /** The engine finishes its current work and accepts no new work. */
    DRAINING,
    /** The engine is no longer listed. */
    REMOVED
}
