package maplerail.front;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.util.function.BooleanSupplier;
import maplerail.core.ClientPresence;

/** Detects that a client closes its side while it waits for a response, even if it has sent further input before. */
public final class DisconnectDetector {
    private DisconnectDetector() {}

    /**
     * Watches for a disconnect until {@code isFinished}. The server itself reads nothing between a request and the end
     * of its response, and would not detect one.
     */
    public static void watch(HttpServerExchange exchange, BooleanSupplier isFinished, Runnable onDisconnect) {
        ReadAheadConduit conduit = readAhead(exchange);
        if (conduit == null) return;
        ((HttpServerConnection) exchange.getConnection())
                .getChannel()
                .getSourceChannel()
                .setReadListener(c -> {
                    // The input belongs to the next request, which the server reads after this one.
                    if (isFinished.getAsBoolean()) conduit.suspendReads();
                    else if (conduit.pollEnd()) onDisconnect.run();
                    else if (conduit.isFull()) conduit.suspendReads();
                });
        conduit.resumeReads();
    }

    /** True if the client has disconnected, even if the loop has not processed that yet. */
    public static boolean isDisconnected(HttpServerExchange exchange) {
        ReadAheadConduit conduit = readAhead(exchange);
        return conduit != null && conduit.pollEnd();
    }

    /** Looks for a disconnect of the client, as far as its unread input can be buffered. */
    public static ClientPresence clientPresence(HttpServerExchange exchange) {
        ReadAheadConduit conduit = readAhead(exchange);
        return conduit == null ? ClientPresence.CONNECTED : conduit.clientPresence();
    }

    /** True if input after the request was received and is not read yet. */
    public static boolean hasUnreadInput(HttpServerExchange exchange) {
        ReadAheadConduit conduit = readAhead(exchange);
        return conduit != null && conduit.hasBuffered();
    }

    /** Stops reading the client's input, as another process may continue to read it. */
    public static void suspend(HttpServerExchange exchange) {
        ReadAheadConduit conduit = readAhead(exchange);
        if (conduit != null) conduit.suspend();
    }

    /** Watches again after {@link #suspend}. */
    public static void resume(HttpServerExchange exchange) {
        ReadAheadConduit conduit = readAhead(exchange);
        if (conduit != null) conduit.resume();
    }

    private static ReadAheadConduit readAhead(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection connection
                        && connection.getOriginalSourceConduit() instanceof ReadAheadConduit conduit
                ? conduit
                : null;
    }
}
