package maplerail.front.jsonrpc;

import io.undertow.websockets.core.AbstractReceiveListener;
import io.undertow.websockets.core.BufferedBinaryMessage;
import io.undertow.websockets.core.BufferedTextMessage;
import io.undertow.websockets.core.CloseMessage;
import io.undertow.websockets.core.StreamSourceFrameChannel;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSockets;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import maplerail.core.EventLoop;
import maplerail.core.MemoryBudget;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/**
 * Receives a WebSocket's messages when the loop reports it readable, or on demand. A message that arrives after a close
 * frame was sent is dropped: no response to it could be sent, and its client repeats it on a new connection.
 */
final class WebSocketReceiver extends AbstractReceiveListener {
    private static final Logger LOG = LoggerFactory.getLogger(WebSocketReceiver.class);
    private static final int MAX_FRAMES_PER_POLL = 256;
    private static final double CLOSE_TIMEOUT_MS = 1_000; // for the client to respond to a close frame

    private final WebSocketChannel channel;
    private final Session session;
    private final BooleanSupplier isDisconnected;
    private final EventLoop loop;
    private final Metrics metrics;
    private final MessageSender sender;
    /** The memory of a message that is being received. */
    private final MemoryBudget.Reservation memory;

    private boolean receiving;
    private boolean closing;
    private int receivedFrames;

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
            MemoryBudget.Reservation memory,
            EventLoop loop,
            Metrics metrics) {
        this.memory = memory;
        this.channel = channel;
        this.session = session;
        this.isDisconnected = isDisconnected;
        this.loop = loop;
        this.metrics = metrics;
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

    /** Closes the WebSocket unless requests are open, after the messages that are available have been received. */
    void closeIfIdle(String reason) {
        if (isClosing() || session.openRequests() > 0) return;
        receivePending();
        if (session.openRequests() == 0) close(CloseMessage.GOING_AWAY, reason);
    }

    /** Sends a close frame, unless one was sent; a client that does not respond to it is cut off. */
    private void close(int code, String reason) {
        if (isClosing()) return;
        closing = true;
        LOG.debug("websocket closed code={} reason={} open_requests={}", code, reason, session.openRequests());
        WebSockets.sendClose(new CloseMessage(code, reason), channel, null);
        loop.schedule(loop.nowMs() + CLOSE_TIMEOUT_MS, () -> IoUtils.safeClose(channel));
    }

    private boolean isClosing() {
        return closing || channel.isCloseFrameSent();
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
        for (int i = 0, before = -1; !receiving && before != receivedFrames && i < MAX_FRAMES_PER_POLL; i++) {
            before = receivedFrames;
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
    protected void onText(WebSocketChannel from, StreamSourceFrameChannel frame) throws IOException {
        receivedFrames++;
        super.onText(from, frame);
    }

    @Override
    protected void onPing(WebSocketChannel from, StreamSourceFrameChannel frame) throws IOException {
        receivedFrames++;
        super.onPing(from, frame);
    }

    @Override
    protected void onPong(WebSocketChannel from, StreamSourceFrameChannel frame) throws IOException {
        receivedFrames++;
        super.onPong(from, frame);
    }

    /** Only text frames hold messages. */
    @Override
    protected void onBinary(WebSocketChannel from, StreamSourceFrameChannel frame) throws IOException {
        receivedFrames++;
        close(CloseMessage.WRONG_CODE, "text frames only");
        super.onBinary(from, frame);
    }

    @Override
    protected void onFullTextMessage(WebSocketChannel from, BufferedTextMessage message) {
        memory.release();
        if (isClosing()) {
            metrics.count(EventCount.MESSAGES_DROPPED_CLOSING);
            LOG.debug("message dropped after a close frame was sent");
            return;
        }
        session.receive(message.getData(), sender);
    }

    @Override
    protected void onFullBinaryMessage(WebSocketChannel from, BufferedBinaryMessage message) {
        message.getData().free();
    }
}
