package maplerail.net;

import io.undertow.util.HttpString;
import java.util.List;
import java.util.Map;
import maplerail.core.RequestPayload;

/** The parts of a client's HTTP request that are forwarded to an engine unchanged. */
public final class HttpRequestPayload implements RequestPayload {
    private static final byte[] RELEASED = {};

    private final HttpString method;
    private final String target;
    private final List<Map.Entry<HttpString, String>> headers;
    private byte[] body;

    /** Creates the payload of a request; {@code body} must not be changed any more. */
    public HttpRequestPayload(
            HttpString method, String target, List<Map.Entry<HttpString, String>> headers, byte[] body) {
        this.method = method;
        this.target = target;
        this.headers = headers;
        this.body = body;
    }

    HttpString method() {
        return method;
    }

    String target() {
        return target;
    }

    List<Map.Entry<HttpString, String>> headers() {
        return headers;
    }

    byte[] body() {
        if (body == RELEASED) throw new IllegalStateException("the body was released");
        return body;
    }

    @Override
    public boolean release() {
        body = RELEASED;
        return true;
    }
}
