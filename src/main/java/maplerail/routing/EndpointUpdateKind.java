package maplerail.routing;

/** The content of an endpoint update. */
public enum EndpointUpdateKind {
    /** Only the endpoints that changed. */
    DELTA,
    /** All endpoints. */
    SNAPSHOT,
    /** The last complete list of an earlier process of this gateway. */
    REMEMBERED,
    /** No endpoints: the subscription has failed. */
    FAILED
}
