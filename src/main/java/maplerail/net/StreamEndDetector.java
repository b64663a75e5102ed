package maplerail.net;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Detects the event that ends an engine's stream, {@code data: [DONE]}. A response whose framing ends without it is not
 * whole: an engine that fails may still end its body in good order.
 */
final class StreamEndDetector {
    private static final String END = "[DONE]";
    private static final byte[] END_BYTES = END.getBytes(StandardCharsets.UTF_8);

    private boolean ended;

    /** Follows a sequence of complete events. */
    void accept(byte[] events) {
        if (!ended && !contains(events, END_BYTES)) return;
        List<String> data = EventSplitter.extractData(events);
        if (!data.isEmpty()) ended = data.get(data.size() - 1).equals(END);
    }

    /** True if the last event with data was the one that ends a stream. */
    boolean isEnded() {
        return ended;
    }

    /** True if the stream is whole, where {@code remainder} follows its last complete event: comments may. */
    boolean isWhole(byte[] remainder) {
        return ended && EventSplitter.extractData(remainder).isEmpty();
    }

    private static boolean contains(byte[] bytes, byte[] sought) {
        for (int start = 0; start + sought.length <= bytes.length; start++) {
            int matched = 0;
            while (matched < sought.length && bytes[start + matched] == sought[matched]) matched++;
            if (matched == sought.length) return true;
        }
        return false;
    }
}
