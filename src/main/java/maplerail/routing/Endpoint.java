package maplerail.routing;

/**
 * An engine as service discovery lists it.
 *
 * @param engine the engine's ID, which stays the same when its process restarts
 * @param state whether it accepts new work
 * @param startedMs when its process started; 0 if that was long ago
 * @param zone the index of its zone
 * @param cell the index of its cell, the group of engines between which state transfers are fast
 * @param capacityScale its capacity as a multiple of its kind's
 * @param kind the index of its kind in {@link RoutingSettings#engineKinds()}
 */
public record Endpoint(
        long engine, EndpointState state, double startedMs, int zone, int cell, double capacityScale, int kind) {

    /** Returns the same endpoint in another state. */
    public Endpoint withState(EndpointState newState) {
        return new Endpoint(engine, newState, startedMs, zone, cell, capacityScale, kind);
    }
}
