package maplerail.front;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.util.function.BooleanSupplier;

/** Notices that a client leaves while it waits for its answer: it has ended its side, whatever it sent before. */
public final class DisconnectDetector {
    private DisconnectDetector() {}

    /**
     * Between a request and its answer nothing is read from a client, so nobody would see it leave: looks for the end
     * of its side until {@code over}.
     */
    public static void watch(HttpServerExchange exchange, BooleanSupplier over, Runnable left) {
        ReadAheadConduit ahead = ahead(exchange);
        if (ahead == null) return;
        ((HttpServerConnection) exchange.getConnection())
                .getChannel()
                .getSourceChannel()
                .setReadListener(c -> {
                    // What has come is the next request's: the server reads it after this one.
                    if (over.getAsBoolean()) ahead.suspendReads();
                    else if (ahead.ended()) left.run();
                    else if (ahead.full()) ahead.suspendReads();
                });
        ahead.resumeReads();
    }

    /** True if the client has left by now, though its end may not have had its turn on the loop. */
    public static boolean gone(HttpServerExchange exchange) {
        return of(exchange).getAsBoolean();
    }

    /** The same for the client of a connection that goes on as something else, for as long as it lasts. */
    public static BooleanSupplier of(HttpServerExchange exchange) {
        ReadAheadConduit ahead = ahead(exchange);
        return ahead == null ? () -> false : ahead::ended;
    }

    /** True if something has come behind the request that nobody has read. */
    public static boolean early(HttpServerExchange exchange) {
        ReadAheadConduit ahead = ahead(exchange);
        return ahead != null && ahead.holds();
    }

    private static ReadAheadConduit ahead(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection connection
                        && connection.getOriginalSourceConduit() instanceof ReadAheadConduit ahead
                ? ahead
                : null;
    }
}
