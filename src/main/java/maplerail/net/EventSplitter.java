package maplerail.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events after each blank line. Only complete events are delivered: if a stream broke
 * within an event, the client would have to count a token that it cannot read.
 */
public final class EventSplitter {
    private static final int MAX_PARTIAL_EVENT_BYTES = 256 * 1024;
    private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /** Delivers all events that are complete, in one piece; false if an incomplete event is too large. */
    boolean feed(ByteBuffer piece, Consumer<byte[]> onEvents) {
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
        partialEvent.write(bytes, 0, end);
        if (end > 0) {
            byte[] events = partialEvent.toByteArray();
            partialEvent.reset();
            onEvents.accept(events);
        }
        partialEvent.write(bytes, end, bytes.length - end);
        return partialEvent.size() <= MAX_PARTIAL_EVENT_BYTES;
    }

    /** The data of each event in a sequence of complete events; events without data are left out. */
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

    /** The bytes received after the last complete event. */
    byte[] partialEventBytes() {
        return partialEvent.toByteArray();
    }
}
