package maplerail.routing;

/** What service discovery says of an engine. */
public enum EndpointState {
    /** Takes new work. */
    READY,
    /** Finishes what it has and takes nothing new. */
    DRAINING,
    /** Is no longer there. */
    REMOVED
}
