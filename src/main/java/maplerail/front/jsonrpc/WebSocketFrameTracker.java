package maplerail.front.jsonrpc;

import io.undertow.websockets.core.CloseMessage;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Follows the frames that a WebSocket's client sends (RFC 6455, section 5.2), to know whether a message has begun and is not
 * complete, and where the input violates the protocol. The library's decoder of the frames ends a WebSocket at once for a
 * violation, with all requests that are open on it, so that it must not receive one.
 */
final class WebSocketFrameTracker {
    private static final int FINAL_BIT = 0x80;
    private static final int RESERVED_BITS = 0x70;
    private static final int OPCODE_BITS = 0x0f;
    private static final int CONTROL_BIT = 0x08; // of opcodes
    private static final int CONTINUATION = 0;
    private static final int TEXT = 1;
    private static final int BINARY = 2;
    private static final int CLOSE = 8;
    private static final int PONG = 10;
    private static final int MASK_BIT = 0x80;
    private static final int LENGTH_BITS = 0x7f;
    private static final int LENGTH_IN_2_BYTES = 126;
    private static final int LENGTH_IN_8_BYTES = 127;
    private static final int MAX_CONTROL_BYTES = 125;
    private static final int MAX_FIRST_LENGTH_BYTE = 0x7f; // of eight: a length has 63 bits
    private static final int FIXED_HEAD_BYTES = 2;
    private static final int MASK_BYTES = 4;

    private final byte[] mask = new byte[MASK_BYTES];
    private int headBytes; // of the current frame's head, so far
    private int lengthBytes; // of its extended length
    private int firstByte;
    private long payloadBytes; // of its payload, announced and not received yet
    private int maskIndex;
    private boolean fragmented; // a message's last fragment is still to come
    private boolean isText; // the current message
    private Utf8Validator text = new Utf8Validator();
    private long completedMessages;
    private Optional<Violation> violation = Optional.empty();

    /** How input can violate the protocol, and the code and reason of the close frame that says so. */
    enum Violation {
        /** A frame has no valid form, or does not belong where it stands. */
        FRAME(CloseMessage.PROTOCOL_ERROR, "malformed frame"),
        /** The text of a message is not UTF-8. */
        TEXT(CloseMessage.MSG_CONTAINS_INVALID_DATA, "text is not UTF-8");

        private final int closeCode;
        private final String reason;

        Violation(int closeCode, String reason) {
            this.closeCode = closeCode;
            this.reason = reason;
        }

        int closeCode() {
            return closeCode;
        }

        String reason() {
            return reason;
        }
    }

    /** Follows bytes, in the order in which they arrive, up to the first that violates the protocol; that one is left. */
    void accept(ByteBuffer bytes) {
        while (bytes.hasRemaining() && violation.isEmpty()) {
            if (isHeadComplete()) acceptPayload(bytes);
            else acceptHeadByte(bytes);
            if (isHeadComplete() && payloadBytes == 0) onFrameComplete();
        }
    }

    /** How the input violates the protocol; empty while it does not. */
    Optional<Violation> violation() {
        return violation;
    }

    /** True if a message, or any frame, has been received in part. */
    boolean isWithinMessage() {
        return headBytes > 0 || fragmented;
    }

    /** The number of times that a message or a frame between messages was completed. */
    long completedMessages() {
        return completedMessages;
    }

    private int totalHeadBytes() {
        return FIXED_HEAD_BYTES + lengthBytes + MASK_BYTES;
    }

    private boolean isHeadComplete() {
        return headBytes >= FIXED_HEAD_BYTES && headBytes == totalHeadBytes();
    }

    private boolean isControl() {
        return (firstByte & CONTROL_BIT) != 0;
    }

    private boolean isTextFrame() {
        return isText && !isControl();
    }

    private boolean isLastFrameOfMessage() {
        return !isControl() && (firstByte & FINAL_BIT) != 0;
    }

    private void acceptHeadByte(ByteBuffer bytes) {
        int next = bytes.get(bytes.position()) & 0xff;
        boolean isValid = switch (headBytes) {
            case 0 -> isValidFirstByte(next);
            case 1 -> isValidSecondByte(next);
            default -> isValidLaterHeadByte(next);
        };
        if (!isValid) {
            violation = Optional.of(Violation.FRAME);
        } else if (headBytes + 1 == totalHeadBytes() && isEmptyEndWithinCharacter()) {
            violation = Optional.of(Violation.TEXT);
        } else {
            bytes.get();
            headBytes++;
        }
    }

    private boolean isEmptyEndWithinCharacter() {
        return payloadBytes == 0 && isTextFrame() && isLastFrameOfMessage() && !text.isComplete();
    }

    private boolean isValidFirstByte(int next) {
        int opcode = next & OPCODE_BITS;
        boolean isFinal = (next & FINAL_BIT) != 0;
        boolean isValid = (next & RESERVED_BITS) == 0
                && switch (opcode) {
                    case CONTINUATION -> fragmented;
                    case TEXT, BINARY -> !fragmented;
                    default -> opcode >= CLOSE && opcode <= PONG && isFinal;
                };
        if (isValid && (opcode == TEXT || opcode == BINARY)) isText = opcode == TEXT;
        firstByte = next;
        return isValid;
    }

    private boolean isValidSecondByte(int next) {
        int length = next & LENGTH_BITS;
        boolean isCloseCodeCut = (firstByte & OPCODE_BITS) == CLOSE && length == 1;
        lengthBytes = length == LENGTH_IN_2_BYTES ? 2 : length == LENGTH_IN_8_BYTES ? 8 : 0;
        payloadBytes = lengthBytes == 0 ? length : 0;
        return (next & MASK_BIT) != 0 && !isCloseCodeCut && !(isControl() && length > MAX_CONTROL_BYTES);
    }

    private boolean isValidLaterHeadByte(int next) {
        int lengthIndex = headBytes - FIXED_HEAD_BYTES;
        if (lengthIndex >= lengthBytes) {
            mask[lengthIndex - lengthBytes] = (byte) next;
            return true;
        }
        payloadBytes = payloadBytes << 8 | next;
        return lengthIndex > 0 || lengthBytes < 8 || next <= MAX_FIRST_LENGTH_BYTE;
    }

    private void acceptPayload(ByteBuffer bytes) {
        int count = (int) Math.min(payloadBytes, bytes.remaining());
        int valid = isTextFrame() ? validTextBytes(bytes, count) : count;
        bytes.position(bytes.position() + valid);
        payloadBytes -= valid;
        if (valid < count) violation = Optional.of(Violation.TEXT);
    }

    /** How many of the next bytes of a text continue it validly. */
    private int validTextBytes(ByteBuffer bytes, int count) {
        for (int i = 0; i < count; i++) {
            int next = (bytes.get(bytes.position() + i) ^ mask[maskIndex]) & 0xff;
            boolean isLast = isLastFrameOfMessage() && i + 1 == payloadBytes;
            if (!text.accept(next) || isLast && !text.isComplete()) return i;
            maskIndex = (maskIndex + 1) % MASK_BYTES;
        }
        return count;
    }

    private void onFrameComplete() {
        if (!isControl()) fragmented = (firstByte & FINAL_BIT) == 0;
        headBytes = 0;
        lengthBytes = 0;
        maskIndex = 0;
        if (!fragmented) completedMessages++;
        if (isLastFrameOfMessage()) text = new Utf8Validator();
    }
}
