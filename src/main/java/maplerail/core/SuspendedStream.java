package maplerail.core;

/**
 * A running stream that is suspended between two events while another process is asked to continue it. Nothing is read
 * from or written to its connections, and nothing here ends it, until exactly one method of its owner is called.
 *
 * @param requestClass the name of the request's class
 * @param requestId the client's id of the request
 * @param clientConnection the client's connection, as the front describes it
 * @param engineConnection the engine's connection, as the transport describes it
 * @param owner goes on with the stream or lets it go
 */
public record SuspendedStream(
        String requestClass, String requestId, Object clientConnection, Object engineConnection, Owner owner) {
    /** The part of this process that has the stream. To be called on the event loop. */
    public interface Owner {
        /** Another process continues the stream: this one forgets it, and leaves its connections open. */
        void release();

        /** No other process has taken the stream: it continues here. */
        void resume();

        /** It is unknown whether another process continues the stream: both connections are closed. */
        void breakOff();
    }
}
