package maplerail.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Cuts a stream of server-sent events after each blank line. Guards against passing on half an event when a
 * stream breaks: the client would have to count a token that it cannot read.
 */
final class EventSplitter {
    private static final int MOST = 256 * 1024; // of an event that does not end
    private final ByteArrayOutputStream begun = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /** Hands on all events that are whole now, in one piece; false for an event without end. */
    boolean feed(ByteBuffer piece, Consumer<byte[]> whole) {
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        int end = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                if (lineEmpty) end = i + 1;
                lineEmpty = true;
            } else if (bytes[i] != '\r') {
                lineEmpty = false;
            }
        }
        begun.write(bytes, 0, end);
        if (end > 0) {
            byte[] events = begun.toByteArray();
            begun.reset();
            whole.accept(events);
        }
        begun.write(bytes, end, bytes.length - end);
        return begun.size() <= MOST;
    }

    /** What came after the last whole event. */
    byte[] rest() {
        return begun.toByteArray();
    }
}
