package maplerail.core;

/**
 * A stream that was detached between two events, for handover to another process.
 *
 * @param requestClass the name of the request's class
 * @param requestId the client's id of the request
 * @param clientConnection the client's connection, as detached by the front
 * @param engineConnection the engine's connection, as detached by the transport
 */
public record DetachedStream(String requestClass, String requestId, Object clientConnection, Object engineConnection) {}
