package maplerail.front;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import maplerail.metrics.EventCount;

/** The response to a request that is not complete, after which its connection ends. */
enum EarlyResponse {
    /** The request was not complete in time. */
    REQUEST_TIMEOUT("408 Request Timeout", EventCount.CONNECTIONS_CLOSED_REQUEST_TIMEOUT),
    /** The process stops, so that the request can't be waited for. */
    DRAINING("503 Service Unavailable", EventCount.CONNECTIONS_CLOSED_DRAINING);

    private final byte[] text;
    private final EventCount cause;

    EarlyResponse(String status, EventCount cause) {
        this.text = ("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        this.cause = cause;
    }

    ByteBuffer text() {
        return ByteBuffer.wrap(text);
    }

    /** Why the connection ends, as it is counted. */
    EventCount cause() {
        return cause;
    }
}
