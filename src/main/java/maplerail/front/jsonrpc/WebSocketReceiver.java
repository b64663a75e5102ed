package maplerail.front.jsonrpc;

import io.undertow.websockets.core.AbstractReceiveListener;
import io.undertow.websockets.core.BufferedBinaryMessage;
import io.undertow.websockets.core.BufferedTextMessage;
import io.undertow.websockets.core.CloseMessage;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSockets;
import java.util.function.BooleanSupplier;
import maplerail.core.EventLoop;
import maplerail.core.MemoryBudget;
import org.xnio.IoUtils;

/** Receives a WebSocket's messages when the loop reports it readable, or on demand. */
final class WebSocketReceiver extends AbstractReceiveListener {
    private static final int MAX_READS_PER_POLL = 64;
    private static final double CLOSE_TIMEOUT_MS = 1_000; // for the client to respond to a close frame

    private final WebSocketChannel channel;
    private final Session session;
    private final BooleanSupplier isDisconnected;
    private final MessageSender sender;
    /** The memory of a message that is being received. */
    private final MemoryBudget.Reservation memory;

    private boolean receiving;
    private boolean closing;
    private int receivedMessages;

    /**
     * Creates a receiver; it receives once it is set as the channel's listener.
     *
     * @param isDisconnected true if the client has closed its side, even if the loop has not processed that yet
     * @param memory the memory of a message that is being received, which holds nothing yet
     */
    WebSocketReceiver(
            WebSocketChannel channel,
            Session session,
            BooleanSupplier isDisconnected,
            MemoryBudget.Reservation memory) {
        this.memory = memory;
        this.channel = channel;
        this.session = session;
        this.isDisconnected = isDisconnected;
        this.sender = new WebSocketSender(channel, session, this::receivePending);
    }

    @Override
    public void handleEvent(WebSocketChannel from) {
        receiving = true;
        try {
            super.handleEvent(from);
        } finally {
            receiving = false;
        }
    }

    /** Sends a close frame unless requests are open, after the messages that are available have been received. */
    void closeIfIdle(EventLoop loop) {
        if (closing || session.openRequests() > 0) return;
        receivePending();
        if (session.openRequests() > 0) return;
        closing = true;
        WebSockets.sendClose(new CloseMessage(CloseMessage.GOING_AWAY, "draining"), channel, null);
        loop.schedule(loop.nowMs() + CLOSE_TIMEOUT_MS, () -> IoUtils.safeClose(channel));
    }

    /** Frees the memory of a message that was received in part: the channel has closed. */
    void releaseMemory() {
        memory.release();
    }

    private void receivePending() {
        if (isDisconnected.getAsBoolean()) {
            IoUtils.safeClose(channel);
            session.close();
        }
        // Not while a message is being received: messages must not be processed within one another.
        for (int i = 0, before = -1; !receiving && before != receivedMessages && i < MAX_READS_PER_POLL; i++) {
            before = receivedMessages;
            handleEvent(channel);
        }
    }

    /** Called when a message begins: reserves all that it may hold. A longer one ends the connection (1009). */
    @Override
    protected long getMaxTextBufferSize() {
        memory.release();
        long maxBytes = Math.max(1, Math.min(RpcFront.MAX_MESSAGE_BYTES, memory.maxBytes()));
        memory.grow(maxBytes);
        return maxBytes;
    }

    @Override
    protected long getMaxBinaryBufferSize() {
        return 0;
    }

    @Override
    protected void onFullTextMessage(WebSocketChannel from, BufferedTextMessage message) {
        receivedMessages++;
        memory.release();
        session.receive(message.getData(), sender);
    }

    @Override
    protected void onFullBinaryMessage(WebSocketChannel from, BufferedBinaryMessage message) {
        message.getData().free();
        WebSockets.sendClose(new CloseMessage(CloseMessage.WRONG_CODE, "text frames only"), from, null);
    }
}
