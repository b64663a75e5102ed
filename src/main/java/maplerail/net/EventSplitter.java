package maplerail.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Cuts a stream of server-sent events after each blank line. Guards against passing on half an event when a
 * stream breaks: the client would have to count a token that it cannot read.
 */
public final class EventSplitter {
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

    /** The data of each event in a piece of whole ones; events without any are left out. */
    public static List<String> extractData(byte[] events) {
        List<String> out = new ArrayList<>();
        for (String event : new String(events, StandardCharsets.UTF_8).split("\r?\n\r?\n")) {
            StringBuilder data = new StringBuilder();
            for (String line : event.split("\r?\n")) {
                if (!line.startsWith("data:")) continue;
                if (data.length() > 0) data.append('\n');
                data.append(line.startsWith("data: ") ? line.substring(6) : line.substring(5));
            }
            if (data.length() > 0) out.add(data.toString());
        }
        return out;
    }

    /** What came after the last whole event. */
    byte[] rest() {
        return begun.toByteArray();
    }
}
