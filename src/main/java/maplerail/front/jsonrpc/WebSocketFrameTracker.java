package maplerail.front.jsonrpc;

import java.nio.ByteBuffer;

/**
 * Follows the frames that a WebSocket's client sends (RFC 6455, section 5.2), to know whether a message has begun and is not
 * complete. It reads the heads of frames and skips their payloads; it checks nothing, which is left to the decoder of the
 * frames.
 */
final class WebSocketFrameTracker {
    private static final int FINAL_BIT = 0x80;
    private static final int OPCODE_BITS = 0x0f;
    private static final int CONTROL_BIT = 0x08; // of opcodes
    private static final int MASK_BIT = 0x80;
    private static final int LENGTH_BITS = 0x7f;
    private static final int LENGTH_IN_2_BYTES = 126;
    private static final int LENGTH_IN_8_BYTES = 127;
    private static final int FIXED_HEAD_BYTES = 2;
    private static final int MASK_BYTES = 4;

    private int headBytes; // of the current frame's head, so far
    private int lengthBytes; // of its extended length
    private int maskBytes;
    private int firstByte;
    private long payloadBytes; // of its payload, announced and not received yet
    private boolean fragmented; // a message's last fragment is still to come
    private long completedMessages;

    /** Follows bytes, in the order in which they arrive. */
    void accept(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            if (isHeadComplete()) skipPayload(bytes);
            else acceptHead(bytes.get() & 0xff);
            if (isHeadComplete() && payloadBytes == 0) onFrameComplete();
        }
    }

    /** True if a message, or any frame, has been received in part. */
    boolean isWithinMessage() {
        return headBytes > 0 || fragmented;
    }

    /** The number of times that a message or a frame between messages was completed. */
    long completedMessages() {
        return completedMessages;
    }

    private boolean isHeadComplete() {
        return headBytes >= FIXED_HEAD_BYTES && headBytes == FIXED_HEAD_BYTES + lengthBytes + maskBytes;
    }

    private void acceptHead(int next) {
        int index = headBytes++;
        if (index == 0) {
            firstByte = next;
        } else if (index == 1) {
            acceptLengthAndMask(next);
        } else if (index < FIXED_HEAD_BYTES + lengthBytes) {
            payloadBytes = payloadBytes << 8 | next;
        }
    }

    private void acceptLengthAndMask(int next) {
        int length = next & LENGTH_BITS;
        lengthBytes = length == LENGTH_IN_2_BYTES ? 2 : length == LENGTH_IN_8_BYTES ? 8 : 0;
        payloadBytes = lengthBytes == 0 ? length : 0;
        maskBytes = (next & MASK_BIT) == 0 ? 0 : MASK_BYTES;
    }

    private void skipPayload(ByteBuffer bytes) {
        // A length with its highest bit set is invalid; read as a number without sign it never ends.
        int count = payloadBytes < 0 ? bytes.remaining() : (int) Math.min(payloadBytes, bytes.remaining());
        bytes.position(bytes.position() + count);
        payloadBytes -= count;
    }

    private void onFrameComplete() {
        boolean isControl = (firstByte & OPCODE_BITS & CONTROL_BIT) != 0;
        if (!isControl) fragmented = (firstByte & FINAL_BIT) == 0;
        headBytes = 0;
        lengthBytes = 0;
        maskBytes = 0;
        if (!fragmented) completedMessages++;
    }
}
