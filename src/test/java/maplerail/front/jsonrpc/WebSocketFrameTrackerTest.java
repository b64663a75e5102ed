package maplerail.front.jsonrpc;

import static maplerail.support.RawWebSocket.CONTINUATION;
import static maplerail.support.RawWebSocket.PING;
import static maplerail.support.RawWebSocket.TEXT;
import static maplerail.support.RawWebSocket.frame;
import static maplerail.support.RawWebSocket.head;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WebSocketFrameTrackerTest {
    private static final int PART_BYTES = 70_000; // so that each form of a length occurs

    private static byte[] messages() {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(frame(TEXT, true, "a"));
        all.writeBytes(frame(PING, true, ""));
        all.writeBytes(frame(TEXT, false, "x".repeat(PART_BYTES)));
        all.writeBytes(frame(PING, true, "p"));
        all.writeBytes(frame(CONTINUATION, false, ""));
        all.writeBytes(frame(CONTINUATION, true, "x".repeat(300)));
        all.writeBytes(frame(TEXT, true, ""));
        return all.toByteArray();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1_000, 1 << 20})
    void itIsBetweenMessagesAfterWholeOnesAndWithinOneBefore(int step) {
        byte[] bytes = messages();
        WebSocketFrameTracker tracker = new WebSocketFrameTracker();
        for (int i = 0; i < bytes.length; i += step) {
            tracker.accept(ByteBuffer.wrap(bytes, i, Math.min(step, bytes.length - i)));
        }
        assertThat(tracker.isWithinMessage()).isFalse();
        assertThat(tracker.completedMessages()).isEqualTo(4);
        tracker.accept(ByteBuffer.wrap(frame(TEXT, true, "b"), 0, 1));
        assertThat(tracker.isWithinMessage()).isTrue();
    }

    /** Guards against malformed frames that reach the library's decoder, which ends the WebSocket with its open calls. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1_000, 1 << 20})
    void inputIsAcceptedUpToTheFirstByteThatViolatesTheProtocol(int step) {
        byte[] sound = messages();
        byte[] malformed = frame(CONTINUATION, true, "");
        byte[] notText = frame(TEXT, true, new byte[] {'a', (byte) 0xc3, 'b'});
        assertThat(acceptedBytes(sound, malformed, step)).isEqualTo(sound.length);
        assertThat(acceptedBytes(sound, notText, step)).isEqualTo(sound.length + notText.length - 1);
    }

    private static int acceptedBytes(byte[] sound, byte[] malformed, int step) {
        byte[] bytes = Arrays.copyOf(sound, sound.length + 2 * malformed.length);
        System.arraycopy(malformed, 0, bytes, sound.length, malformed.length);
        WebSocketFrameTracker tracker = new WebSocketFrameTracker();
        int accepted = 0;
        for (int i = 0; i < bytes.length; i += step) {
            ByteBuffer piece = ByteBuffer.wrap(bytes, i, Math.min(step, bytes.length - i));
            tracker.accept(piece);
            accepted += piece.position() - i;
        }
        assertThat(tracker.violation()).isPresent();
        return accepted;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 125, 126, 65_535, 65_536, 1L << 40, Long.MAX_VALUE})
    void aFrameIsCompleteWithTheLastByteOfItsPayloadOnly(long length) {
        WebSocketFrameTracker tracker = new WebSocketFrameTracker();
        tracker.accept(ByteBuffer.wrap(head(TEXT, true, length)));
        assertThat(tracker.isWithinMessage()).isTrue();
        if (length > 1 << 20) {
            tracker.accept(ByteBuffer.allocate(1 << 20));
            assertThat(tracker.isWithinMessage()).isTrue();
            return;
        }
        byte[] payload = new byte[(int) length];
        tracker.accept(ByteBuffer.wrap(Arrays.copyOf(payload, payload.length - 1)));
        assertThat(tracker.isWithinMessage()).isTrue();
        tracker.accept(ByteBuffer.allocate(1));
        assertThat(tracker.isWithinMessage()).isFalse();
    }
}
