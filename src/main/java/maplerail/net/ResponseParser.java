package maplerail.net;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A strict incremental parser for one HTTP/1.1 response. Undertow's client is too lenient here: its
 * {@code ChunkReader} takes an unparsable chunk size for 0, which marks the last chunk, and skips any bytes that follow
 * the data of a chunk; it does not limit the size of a head either. A malformed stream must never end as if it were
 * complete, so a chunk is delivered only after the line break that ends its data has been checked.
 */
final class ResponseParser {
    private static final int MAX_HEAD_BYTES = 16 * 1024; // of all heads together, or of the framing of one chunk
    private static final int MAX_CHUNK_BYTES = 1 << 20;
    private static final int MAX_INTERIM_RESPONSES = 16; // 1xx responses before the final one
    private static final int MAX_HEADERS = 100;
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;

    private enum ParseState {
        HEAD,
        FIXED_LENGTH_BODY,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        BODY_UNTIL_CLOSE,
        DONE
    }

    private final ResponseHandler handler;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private final ByteArrayOutputStream chunkBuffer = new ByteArrayOutputStream();
    private ParseState state = ParseState.HEAD;
    private HeaderMap headers = new HeaderMap();
    private int status;
    private int interimResponses;
    private int headerCount;
    private int headBytes;
    private long remainingBytes;
    private boolean keepAlive;
    private boolean unitStarted;

    ResponseParser(ResponseHandler handler) {
        this.handler = handler;
    }

    /**
     * Creates a parser for the rest of a chunked response. Another parser has read the start of it, up to the end of a
     * chunk.
     */
    static ResponseParser forRemainingChunks(ResponseHandler handler) {
        ResponseParser parser = new ResponseParser(handler);
        parser.status = 200;
        parser.keepAlive = true;
        parser.state = ParseState.CHUNK_SIZE;
        return parser;
    }

    /** True between two chunks: all data received is delivered, and {@link #forRemainingChunks} can parse the rest. */
    boolean isBetweenChunks() {
        return state == ParseState.CHUNK_SIZE && !unitStarted && keepAlive;
    }

    /** Parses bytes up to the end of the response; any that remain in the buffer are surplus. */
    void feed(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining() && state != ParseState.DONE) {
            switch (state) {
                case FIXED_LENGTH_BODY, BODY_UNTIL_CLOSE -> deliverBody(bytes);
                case CHUNK_DATA -> readChunkData(bytes);
                default -> {
                    unitStarted = true;
                    byte next = bytes.get();
                    if (++headBytes > MAX_HEAD_BYTES) throw new IOException("response head too long");
                    if (next == '\n') parseLine();
                    else lineBuffer.write(next);
                }
            }
        }
    }

    /** True once the response is complete. */
    boolean isDone() {
        return state == ParseState.DONE;
    }

    /** True while a head or chunk has been received in part. */
    boolean isWithinUnit() {
        return unitStarted && state != ParseState.DONE;
    }

    /** Ignores the rest of the response. */
    void stop() {
        state = ParseState.DONE;
    }

    /** True unless the response rules out that its connection is used again. */
    boolean isKeepAlive() {
        return keepAlive;
    }

    /** Handles the end of the input; true if that completes the response. */
    boolean onEndOfInput() {
        if (state == ParseState.BODY_UNTIL_CLOSE) state = ParseState.DONE;
        return isDone();
    }

    private void deliverBody(ByteBuffer bytes) {
        int count = state == ParseState.BODY_UNTIL_CLOSE
                ? bytes.remaining()
                : (int) Math.min(remainingBytes, bytes.remaining());
        ByteBuffer piece = bytes.duplicate().limit(bytes.position() + count);
        bytes.position(bytes.position() + count);
        remainingBytes -= count;
        if (state == ParseState.FIXED_LENGTH_BODY && remainingBytes == 0) state = ParseState.DONE;
        handler.onBody(piece);
    }

    private void readChunkData(ByteBuffer bytes) {
        int count = (int) Math.min(remainingBytes, bytes.remaining());
        byte[] data = new byte[count];
        bytes.get(data);
        chunkBuffer.write(data, 0, count);
        remainingBytes -= count;
        if (remainingBytes == 0) state = ParseState.CHUNK_END;
    }

    private void parseLine() throws IOException {
        byte[] raw = lineBuffer.toByteArray();
        lineBuffer.reset();
        boolean endsWithCarriageReturn = raw.length > 0 && raw[raw.length - 1] == '\r';
        String text = new String(raw, 0, raw.length - (endsWithCarriageReturn ? 1 : 0), StandardCharsets.ISO_8859_1);
        if (text.chars().anyMatch(c -> c < ' ' && c != '\t'))
            throw new IOException("control characters in the response head");
        switch (state) {
            case HEAD -> parseHeadLine(text);
            case CHUNK_SIZE -> parseChunkSize(text, endsWithCarriageReturn);
            case CHUNK_END -> {
                if (!endsWithCarriageReturn || !text.isEmpty())
                    throw new IOException("chunk data does not match the chunk size");
                byte[] data = chunkBuffer.toByteArray();
                chunkBuffer.reset();
                state = ParseState.CHUNK_SIZE;
                onUnitCompleted();
                handler.onBody(ByteBuffer.wrap(data));
            }
            default -> {
                if (text.isEmpty()) state = ParseState.DONE; // the empty line after the trailers, which are ignored
            }
        }
    }

    private void onUnitCompleted() {
        unitStarted = false;
        headBytes = 0;
    }

    private void parseChunkSize(String text, boolean endsWithCarriageReturn) throws IOException {
        int end = text.indexOf(';');
        String digits = (end < 0 ? text : text.substring(0, end)).trim();
        if (!endsWithCarriageReturn || !digits.matches("[0-9a-fA-F]{1," + MAX_CHUNK_SIZE_DIGITS + "}")) {
            throw new IOException("invalid chunk size");
        }
        remainingBytes = Long.parseLong(digits, 16);
        if (remainingBytes > MAX_CHUNK_BYTES) throw new IOException("chunk too large");
        state = remainingBytes == 0 ? ParseState.TRAILERS : ParseState.CHUNK_DATA;
    }

    private void parseHeadLine(String text) throws IOException {
        if (status == 0) {
            if (!text.matches("HTTP/1\\.[01] [1-9][0-9][0-9]( .*)?")) throw new IOException("invalid status line");
            status = Integer.parseInt(text.substring(9, 12));
            keepAlive = text.charAt(7) == '1';
        } else if (text.isEmpty()) {
            onHeadComplete();
        } else {
            int colon = text.indexOf(':');
            if (colon <= 0 || !text.substring(0, colon).matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+")) {
                throw new IOException("invalid header line");
            }
            if (++headerCount > MAX_HEADERS) throw new IOException("too many headers");
            headers.add(
                    new HttpString(text.substring(0, colon)),
                    text.substring(colon + 1).trim());
        }
    }

    private void onHeadComplete() throws IOException {
        if (status < 200) {
            // Interim responses before the final one are ignored.
            if (status == 101 || ++interimResponses > MAX_INTERIM_RESPONSES)
                throw new IOException("unexpected interim response: " + status);
            status = 0;
            headers = new HeaderMap();
            return;
        }
        String connectionHeader = headers.getFirst(Headers.CONNECTION);
        if (connectionHeader != null)
            keepAlive &= !connectionHeader.toLowerCase(java.util.Locale.ROOT).contains("close");
        boolean chunked = headers.contains(Headers.TRANSFER_ENCODING);
        boolean hasContentLength = headers.contains(Headers.CONTENT_LENGTH);
        if (chunked
                && (hasContentLength
                        || headers.count(Headers.TRANSFER_ENCODING) > 1
                        || !headers.getFirst(Headers.TRANSFER_ENCODING).equalsIgnoreCase("chunked"))) {
            throw new IOException("conflicting or unsupported response framing");
        }
        if (status == 204 || status == 304) {
            state = ParseState.DONE;
        } else if (chunked) {
            state = ParseState.CHUNK_SIZE;
        } else if (hasContentLength) {
            String length = headers.getFirst(Headers.CONTENT_LENGTH);
            if (headers.count(Headers.CONTENT_LENGTH) > 1 || !length.matches("[0-9]{1,15}")) {
                throw new IOException("invalid Content-Length");
            }
            remainingBytes = Long.parseLong(length);
            state = remainingBytes == 0 ? ParseState.DONE : ParseState.FIXED_LENGTH_BODY;
        } else {
            state = ParseState.BODY_UNTIL_CLOSE;
            keepAlive = false;
        }
        onUnitCompleted();
        handler.onHead(status, headers);
    }
}
