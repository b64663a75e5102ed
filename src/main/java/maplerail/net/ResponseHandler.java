package maplerail.net;

import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Receives the response to a {@link Call}: its head, pieces of its body, then one completion or failure. */
public interface ResponseHandler {
    /** False if the response is no longer wanted; checked before a call that waited for a connection is written. */
    default boolean isWanted() {
        return true;
    }

    /** Called when the request is about to be written: the last chance to set headers that depend on the time. */
    default void beforeWrite(HeaderMap headers) {}

    /** Called when the last byte of the request has been written. */
    default void onWritten() {}

    /** Called when the status line and headers have arrived. */
    void onHead(int status, HeaderMap headers);

    /**
     * True if a head or chunk of which no byte arrives for a while counts as broken; false while the handler's owner limits
     * the time itself.
     */
    default boolean isLimitedByParts() {
        return true;
    }

    /** Called for each piece of the body; the buffer is valid only during the call. */
    void onBody(ByteBuffer piece);

    /** Copies a piece of a body. */
    static void copy(ByteBuffer piece, ByteArrayOutputStream into) {
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        into.writeBytes(bytes);
    }

    /** True if the body received so far ends between two events, so that another handler can receive the rest. */
    default boolean isBetweenEvents() {
        return false;
    }

    /** Called when the body is complete according to its framing. */
    void onComplete();

    /** Called if the response is missing or incomplete; {@code neverSent}: the last byte was certainly not written. */
    void onFailed(boolean neverSent);
}
