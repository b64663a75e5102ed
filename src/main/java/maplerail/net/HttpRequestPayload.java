package maplerail.net;

import io.undertow.util.HttpString;
import java.util.List;
import java.util.Map;
import maplerail.core.RequestPayload;

/** The parts of a client's HTTP request that are forwarded to an engine unchanged. */
public record HttpRequestPayload(
        HttpString method, String target, List<Map.Entry<HttpString, String>> headers, byte[] body)
        implements RequestPayload {}
