package maplerail.routing;

/** What an endpoint update holds. */
public enum EndpointUpdateKind {
    /** Only the endpoints that changed. */
    DELTA,
    /** All endpoints. */
    SNAPSHOT,
    /** The last complete list that an earlier process knew. */
    REMEMBERED,
    /** Nothing: the subscription has failed. */
    FAILED
}
