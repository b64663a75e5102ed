package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.net.InetSocketAddress;

/** Requests to a server at an address. */
public final class HttpRequests {
    private HttpRequests() {}

    /** One with its host named and nothing else. */
    public static ClientRequest create(InetSocketAddress address, HttpString method, String target) {
        ClientRequest request = new ClientRequest().setMethod(method).setPath(target);
        request.getRequestHeaders().put(Headers.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
        return request;
    }
}
