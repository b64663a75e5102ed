package maplerail.core;

/**
 * A running stream that is suspended between two events while another process is asked to continue it. Nothing is read
 * from or written to its connections, and nothing here ends it, until exactly one of {@link #release}, {@link #resume}
 * and {@link #breakOff} is called on the event loop.
 */
public interface SuspendedStream {
    /** The name of the request's class. */
    String requestClass();

    /** The client's id of the request. */
    String requestId();

    /** The client's connection, as the front describes it. */
    Object clientConnection();

    /** The engine's connection, as the transport describes it. */
    Object engineConnection();

    /** Another process continues the stream: this one forgets it, and leaves its connections open. */
    void release();

    /** No other process has taken the stream: it continues here. */
    void resume();

    /** It is unknown whether another process continues the stream: both connections are closed. */
    void breakOff();
}
