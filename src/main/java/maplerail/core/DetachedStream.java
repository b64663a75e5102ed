package maplerail.core;

/**
 * A stream between two events, on its way to another process.
 *
 * @param requestClass the name of the request's class
 * @param requestId the client's id of the request
 * @param clientConnection what the front detached
 * @param engineConnection what the transport detached
 */
public record DetachedStream(String requestClass, String requestId, Object clientConnection, Object engineConnection) {}
