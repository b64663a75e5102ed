package maplerail.front.jsonrpc;

import io.undertow.websockets.core.WebSocketCallback;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSockets;
import org.xnio.IoUtils;

/** A client's WebSocket: one message for each text frame. */
final class SocketSink implements Sink {
    private static final int SLOW_CHARS = 64 * 1024; // not taken by the client: streams wait
    private static final int DEAD_CHARS = 1024 * 1024; // not taken by the client: it is given up

    private final WebSocketChannel channel;
    private final Session session;
    private final Runnable hear;
    private int waiting;
    private boolean closed;

    /** {@code hear} hears whatever has come on the channel by now. */
    SocketSink(WebSocketChannel channel, Session session, Runnable hear) {
        this.channel = channel;
        this.session = session;
        this.hear = hear;
    }

    @Override
    public void look() {
        hear.run();
    }

    @Override
    public void event(String message) {
        answer(message);
    }

    @Override
    public void answer(String message) {
        if (closed) return;
        int size = message.length();
        waiting += size;
        if (waiting > DEAD_CHARS) {
            end();
            return;
        }
        WebSockets.sendText(message, channel, new WebSocketCallback<Void>() {
            @Override
            public void complete(WebSocketChannel done, Void none) {
                waiting -= size;
                if (waiting <= SLOW_CHARS / 2) session.goOn();
            }

            @Override
            public void onError(WebSocketChannel done, Void none, Throwable error) {
                end();
            }
        });
    }

    @Override
    public boolean slow() {
        return waiting > SLOW_CHARS;
    }

    private void end() {
        closed = true;
        IoUtils.safeClose(channel);
        session.gone();
    }
}
