package maplerail.front.jsonrpc;

import io.undertow.websockets.core.WebSocketCallback;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSockets;
import java.util.function.Supplier;
import maplerail.core.ClientPresence;
import org.xnio.IoUtils;

/** Sends messages over a client's WebSocket, one per text frame. */
final class WebSocketSender implements MessageSender {
    private static final int PAUSE_CHARS = 64 * 1024; // unsent characters from which streams are paused

    private final WebSocketChannel channel;
    private final Session session;
    private final UnsentLimit.Account unsent; // in characters
    private final Supplier<ClientPresence> receivePending;
    private final Runnable onTaken;
    private boolean closed;

    /**
     * Creates a sender; {@code receivePending} processes the messages that are available on the channel, and {@code onTaken}
     * is called whenever the client has taken a message and is not slow.
     */
    WebSocketSender(
            WebSocketChannel channel,
            Session session,
            UnsentLimit.Account unsent,
            Supplier<ClientPresence> receivePending,
            Runnable onTaken) {
        this.onTaken = onTaken;
        this.unsent = unsent;
        this.channel = channel;
        this.session = session;
        this.receivePending = receivePending;
    }

    @Override
    public ClientPresence pollClient() {
        return receivePending.get();
    }

    @Override
    public void sendEvent(String message) {
        sendResponse(message);
    }

    @Override
    public void sendResponse(String message) {
        if (closed) return;
        int size = message.length();
        if (!unsent.tryAdd(size)) {
            close();
            return;
        }
        WebSockets.sendText(message, channel, new WebSocketCallback<Void>() {
            @Override
            public void complete(WebSocketChannel done, Void none) {
                unsent.onSent(size);
                if (unsent.bytes() > PAUSE_CHARS / 2) return;
                session.onClientWritable();
                onTaken.run();
            }

            @Override
            public void onError(WebSocketChannel done, Void none, Throwable error) {
                close();
            }
        });
    }

    @Override
    public boolean isSlow() {
        return unsent.bytes() > PAUSE_CHARS;
    }

    private void close() {
        closed = true;
        IoUtils.safeClose(channel);
        session.close();
    }
}
