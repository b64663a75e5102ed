package maplerail.front.jsonrpc;

import io.undertow.websockets.core.WebSocketCallback;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSockets;
import org.xnio.IoUtils;

/** Sends messages over a client's WebSocket, one per text frame. */
final class WebSocketSender implements MessageSender {
    private static final int PAUSE_CHARS = 64 * 1024; // unsent characters from which streams are paused
    private static final int MAX_UNSENT_CHARS = 1024 * 1024; // beyond which the WebSocket is closed

    private final WebSocketChannel channel;
    private final Session session;
    private final Runnable receivePending;
    private int unsentChars;
    private boolean closed;

    /** Creates a sender; {@code receivePending} processes the messages that are available on the channel. */
    WebSocketSender(WebSocketChannel channel, Session session, Runnable receivePending) {
        this.channel = channel;
        this.session = session;
        this.receivePending = receivePending;
    }

    @Override
    public void pollClient() {
        receivePending.run();
    }

    @Override
    public void sendEvent(String message) {
        sendResponse(message);
    }

    @Override
    public void sendResponse(String message) {
        if (closed) return;
        int size = message.length();
        unsentChars += size;
        if (unsentChars > MAX_UNSENT_CHARS) {
            close();
            return;
        }
        WebSockets.sendText(message, channel, new WebSocketCallback<Void>() {
            @Override
            public void complete(WebSocketChannel done, Void none) {
                unsentChars -= size;
                if (unsentChars <= PAUSE_CHARS / 2) session.onClientWritable();
            }

            @Override
            public void onError(WebSocketChannel done, Void none, Throwable error) {
                close();
            }
        });
    }

    @Override
    public boolean isSlow() {
        return unsentChars > PAUSE_CHARS;
    }

    private void close() {
        closed = true;
        IoUtils.safeClose(channel);
        session.close();
    }
}
