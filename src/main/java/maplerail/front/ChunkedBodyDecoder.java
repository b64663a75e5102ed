package maplerail.front;

import java.nio.ByteBuffer;

/**
 * A strict incremental decoder for the chunked transfer coding of a request (RFC 9112, section 7.1), without I/O. Chunk
 * extensions and trailer fields are checked for their form and ignored. Each line must end with CR LF, as other line ends
 * are read differently by different servers, so that one request could hide another.
 */
final class ChunkedBodyDecoder {
    /** The sizes, extensions, line ends and trailers of a body, in bytes: a fixed part, and a part for each byte of data. */
    private static final long MAX_FRAMING_BYTES = 16 * 1024;

    private static final long MAX_FRAMING_BYTES_PER_DATA_BYTE = 16;
    private static final long MAX_CHUNK_BYTES = 1L << 40; // a larger size might overflow the sum of several
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~"; // RFC 9110, section 5.6.2

    private enum State {
        SIZE_FIRST_DIGIT,
        SIZE,
        SPACE_AFTER_SIZE,
        EXTENSION,
        SIZE_LINE_FEED,
        DATA,
        DATA_CARRIAGE_RETURN,
        DATA_LINE_FEED,
        TRAILER_START,
        TRAILER_NAME,
        TRAILER_VALUE,
        TRAILER_LINE_FEED,
        FINAL_LINE_FEED,
        COMPLETE
    }

    private State state = State.SIZE_FIRST_DIGIT;
    private long chunkBytes;
    private long remainingChunkBytes;
    private long announcedBytes;
    private long decodedBytes;
    private long framingBytes;

    /**
     * Decodes bytes up to the end of the body, which may leave some in {@code encoded}.
     *
     * @param decoded receives the data; must have room for as many bytes as {@code encoded} holds
     * @throws MalformedRequestException if the bytes do not follow the coding; the decoder must not be used any more
     */
    void decode(ByteBuffer encoded, ByteBuffer decoded) throws MalformedRequestException {
        while (encoded.hasRemaining() && state != State.COMPLETE) {
            if (state == State.DATA) copyData(encoded, decoded);
            else decodeFraming(encoded.get() & 0xff);
        }
    }

    /** True once the empty line after the last chunk has been read. */
    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** The sizes of all chunks that have been announced so far, whether their data has arrived or not. */
    long announcedBytes() {
        return announcedBytes;
    }

    private void copyData(ByteBuffer encoded, ByteBuffer decoded) {
        int count = (int) Math.min(remainingChunkBytes, encoded.remaining());
        decoded.put(encoded.slice(encoded.position(), count));
        encoded.position(encoded.position() + count);
        decodedBytes += count;
        remainingChunkBytes -= count;
        if (remainingChunkBytes == 0) state = State.DATA_CARRIAGE_RETURN;
    }

    private void decodeFraming(int next) throws MalformedRequestException {
        if (++framingBytes > MAX_FRAMING_BYTES + MAX_FRAMING_BYTES_PER_DATA_BYTE * decodedBytes) {
            throw new MalformedRequestException("chunked body: too many bytes that are no data");
        }
        switch (state) {
            case SIZE_FIRST_DIGIT, SIZE, SPACE_AFTER_SIZE -> decodeSize(next);
            case EXTENSION -> state = textOrLineEnd(next, State.EXTENSION, State.SIZE_LINE_FEED);
            case SIZE_LINE_FEED -> {
                requireLineFeed(next);
                onChunkAnnounced();
            }
            case DATA_CARRIAGE_RETURN -> {
                if (next != '\r') throw new MalformedRequestException("chunked body: data longer than its size");
                state = State.DATA_LINE_FEED;
            }
            case DATA_LINE_FEED -> {
                requireLineFeed(next);
                state = State.SIZE_FIRST_DIGIT;
            }
            default -> decodeTrailer(next);
        }
    }

    private void decodeSize(int next) throws MalformedRequestException {
        int digit = state == State.SPACE_AFTER_SIZE ? -1 : hexDigit(next);
        if (digit >= 0) {
            if (state == State.SIZE_FIRST_DIGIT) chunkBytes = 0;
            chunkBytes = Math.min(MAX_CHUNK_BYTES, chunkBytes * 16 + digit);
            state = State.SIZE;
        } else if (state == State.SIZE_FIRST_DIGIT) {
            throw new MalformedRequestException("chunked body: a chunk size is no number");
        } else if (next == '\r') {
            state = State.SIZE_LINE_FEED;
        } else if (next == ';') {
            state = State.EXTENSION;
        } else if (next == ' ' || next == '\t') {
            state = State.SPACE_AFTER_SIZE;
        } else {
            throw new MalformedRequestException("chunked body: a chunk size is no number");
        }
    }

    private void onChunkAnnounced() {
        announcedBytes += chunkBytes;
        remainingChunkBytes = chunkBytes;
        state = chunkBytes == 0 ? State.TRAILER_START : State.DATA;
    }

    private void decodeTrailer(int next) throws MalformedRequestException {
        switch (state) {
            case TRAILER_START -> {
                if (next == '\r') state = State.FINAL_LINE_FEED;
                else state = trailerName(next);
            }
            case TRAILER_NAME -> state = next == ':' ? State.TRAILER_VALUE : trailerName(next);
            case TRAILER_VALUE -> state = textOrLineEnd(next, State.TRAILER_VALUE, State.TRAILER_LINE_FEED);
            case TRAILER_LINE_FEED -> {
                requireLineFeed(next);
                state = State.TRAILER_START;
            }
            case FINAL_LINE_FEED -> {
                requireLineFeed(next);
                state = State.COMPLETE;
            }
            default -> throw new IllegalStateException(state.toString());
        }
    }

    private static State trailerName(int next) throws MalformedRequestException {
        if (!isTokenCharacter(next)) throw new MalformedRequestException("chunked body: a trailer is no header line");
        return State.TRAILER_NAME;
    }

    private static State textOrLineEnd(int next, State text, State lineEnd) throws MalformedRequestException {
        if (next == '\r') return lineEnd;
        if (next < ' ' && next != '\t' || next == 0x7f) {
            throw new MalformedRequestException("chunked body: a control character");
        }
        return text;
    }

    private static void requireLineFeed(int next) throws MalformedRequestException {
        if (next != '\n') throw new MalformedRequestException("chunked body: a carriage return without a line feed");
    }

    private static int hexDigit(int character) {
        return character < 0x80 ? Character.digit(character, 16) : -1;
    }

    /** True for the characters of a header's name. */
    static boolean isTokenCharacter(int character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || TOKEN_PUNCTUATION.indexOf(character) >= 0;
    }
}
