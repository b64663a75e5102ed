package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.net.InetSocketAddress;

/** Creates HTTP requests. */
public final class HttpRequests {
    private HttpRequests() {}

    /** Creates a request to the server at an address, with no header but {@code Host}. */
    public static ClientRequest create(InetSocketAddress address, HttpString method, String target) {
        ClientRequest request = new ClientRequest().setMethod(method).setPath(target);
        request.getRequestHeaders().put(Headers.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
        return request;
    }
}
