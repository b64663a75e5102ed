package maplerail.front.jsonrpc;

import io.undertow.websockets.core.AbstractReceiveListener;
import io.undertow.websockets.core.BufferedBinaryMessage;
import io.undertow.websockets.core.CloseMessage;
import io.undertow.websockets.core.StreamSourceFrameChannel;
import io.undertow.websockets.core.WebSocketCallback;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSockets;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalDouble;
import maplerail.core.ClientPresence;
import maplerail.core.EventLoop;
import maplerail.core.MemoryBudget;
import maplerail.front.BodyBuffer;
import maplerail.front.UpgradedConnection;
import maplerail.front.UpgradedHandler;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/**
 * Receives a WebSocket's messages when the loop reports it readable, or on demand.
 *
 * <p>A message must be well-formed, complete in time and small enough, else it ends the WebSocket: no more is received, and the
 * requests that are open are answered before the close frame is sent. A message that arrives after a close frame was sent is
 * dropped: no response to it could be sent, and its client repeats it on a new connection.
 */
final class WebSocketReceiver extends AbstractReceiveListener implements UpgradedHandler {
    private static final Logger LOG = LoggerFactory.getLogger(WebSocketReceiver.class);
    private static final int MAX_FRAMES_PER_POLL = 256;
    private static final int MAX_UNSENT_PONGS = 16; // from which nothing is received until its client takes them
    private static final double CLOSE_TIMEOUT_MS = 1_000; // for the client to respond to a close frame
    private static final double POLL_MS = 50; // between two looks whether the open requests are answered

    private final WebSocketChannel channel;
    private final Session session;
    private final UpgradedConnection connection;
    private final EventLoop loop;
    private final Metrics metrics;
    private final UnsentLimit.Account unsent;
    private final MessageSender sender;
    private final MemoryBudget.Reservation memory; // of a message that is being received
    private final WebSocketFrameTracker frameTracker = new WebSocketFrameTracker();

    private Optional<IncomingMessage> message = Optional.empty();
    private double messageSinceMs; // while one is received in part
    private double lastUsedMs;
    private boolean timerSet;
    private boolean receiving;
    private boolean awaitsTurn; // nothing is received for readiness of the socket until then
    private boolean turnSubmitted;
    private int unsentPongs;
    private boolean failed; // nothing more is received
    private boolean closing;
    private long receivedFrames;

    /** Creates a receiver; it receives once it is set as the channel's listener. */
    WebSocketReceiver(
            WebSocketChannel channel,
            Session session,
            UpgradedConnection connection,
            UnsentLimit unsentLimit,
            EventLoop loop,
            Metrics metrics) {
        this.channel = channel;
        this.session = session;
        this.connection = connection;
        this.loop = loop;
        this.metrics = metrics;
        this.memory = connection.reserveMemory();
        this.lastUsedMs = loop.nowMs();
        this.unsent = unsentLimit.open(session.team());
        this.sender = new WebSocketSender(channel, session, unsent, this::pollClient, this::resumeIfWaiting);
        connection.filterInput(this::onInput);
    }

    // ---- Receiving ----

    /** Receives one frame, or more of the message that is being received; what has come of that is read at once. */
    @Override
    public void handleEvent(WebSocketChannel from) {
        receive(() -> {
            super.handleEvent(from);
            readMessage();
        });
        awaitTurn();
    }

    /** Receives nothing more before other connections had their turn: the channel would go on while it has input. */
    private void awaitTurn() {
        if (awaitsTurn || failed) return;
        awaitsTurn = true;
        channel.suspendReceives();
        resumeIfWaiting();
    }

    private void beginTurn() {
        turnSubmitted = false;
        boolean isSlow = unsentPongs >= MAX_UNSENT_PONGS || sender.isSlow();
        if (isSlow) return;
        awaitsTurn = false;
        if (channel.isOpen()) channel.resumeReceives();
    }

    /** Receives again once the client has taken what it was sent: nothing is received for answers that nobody reads. */
    private void resumeIfWaiting() {
        if (!awaitsTurn || turnSubmitted) return;
        turnSubmitted = true;
        connection.submitTurn(this::beginTurn);
    }

    /** Runs what receives; not within itself, as messages must not be processed within one another. */
    private void receive(Runnable reception) {
        if (failed) {
            endIfDisconnected();
            return;
        }
        receiving = true;
        try {
            reception.run();
        } finally {
            receiving = false;
        }
    }

    private boolean endIfDisconnected() {
        if (!connection.isDisconnected()) return false;
        IoUtils.safeClose(channel);
        session.close();
        return true;
    }

    private ClientPresence pollClient() {
        receivePending();
        return connection.clientPresence();
    }

    /** Receives the frames that are available; false if there may be more. */
    private boolean receivePending() {
        endIfDisconnected();
        if (receiving) return false;
        for (int i = 0; i < MAX_FRAMES_PER_POLL; i++) {
            long before = progress();
            handleEvent(channel);
            if (before == progress()) return true;
        }
        return false;
    }

    /** Changes whenever anything was received. */
    private long progress() {
        return receivedFrames + connection.consumedBytes();
    }

    /** Follows the input as it is read, before its frames are decoded, and leaves what violates the protocol. */
    private void onInput(ByteBuffer bytes) {
        lastUsedMs = loop.nowMs();
        long completedBefore = frameTracker.completedMessages();
        boolean wasWithinMessage = frameTracker.isWithinMessage();
        frameTracker.accept(bytes);
        boolean begins = !wasWithinMessage || frameTracker.completedMessages() != completedBefore;
        if (begins) messageSinceMs = loop.nowMs();
        if (frameTracker.isWithinMessage() && !timerSet) setTimer();
        if (frameTracker.violation().isPresent()) loop.schedule(loop.nowMs(), this::onViolation);
    }

    /** Ends the WebSocket for a violation of the protocol, once the frames before it have been received. */
    private void onViolation() {
        if (failed || isClosing()) return;
        if (!receivePending()) {
            loop.schedule(loop.nowMs(), this::onViolation);
            return;
        }
        frameTracker
                .violation()
                .ifPresent(violation -> fail(EventCount.MESSAGES_MALFORMED, violation.closeCode(), violation.reason()));
    }

    @Override
    protected void onText(WebSocketChannel from, StreamSourceFrameChannel frames) {
        receivedFrames++;
        message = Optional.of(new IncomingMessage(frames, RpcFront.MAX_MESSAGE_BYTES, memory));
        frames.getReadSetter().set(readable -> receive(this::readMessage));
        frames.resumeReads();
    }

    private void readMessage() {
        if (message.isEmpty()) return;
        IncomingMessage current = message.get();
        boolean isComplete;
        try {
            isComplete = current.read();
        } catch (IOException e) {
            dropMessage();
            onError(channel, e);
            return;
        }
        if (isClosing()) current.drop();
        else if (current.state() == BodyBuffer.State.TOO_LARGE)
            fail(EventCount.MESSAGES_MALFORMED, CloseMessage.MSG_TOO_BIG, "message too large");
        if (isComplete && message.isPresent()) onComplete(current);
    }

    private void onComplete(IncomingMessage complete) {
        message = Optional.empty();
        if (isClosing()) {
            metrics.count(EventCount.MESSAGES_DROPPED_CLOSING);
            LOG.debug("message dropped after a close frame was sent");
        } else if (complete.state() == BodyBuffer.State.NO_MEMORY) {
            metrics.count(EventCount.REQUESTS_REFUSED_MEMORY);
            session.refuse(complete.id(), "memory", sender);
        } else {
            Optional<String> text = complete.text();
            complete.drop();
            if (text.isPresent()) session.receive(text.get(), sender);
            else sender.sendResponse(RpcError.PARSE_ERROR.response("null"));
        }
    }

    private void dropMessage() {
        message.ifPresent(IncomingMessage::abandon);
        message = Optional.empty();
    }

    /** Frees what a message that was received in part and unsent ones hold: the channel has closed. */
    void onClosed() {
        dropMessage();
        unsent.close();
        failed = true;
    }

    /** Only text frames hold messages. */
    @Override
    protected void onBinary(WebSocketChannel from, StreamSourceFrameChannel frame) {
        receivedFrames++;
        fail(EventCount.MESSAGES_MALFORMED, CloseMessage.WRONG_CODE, "text frames only");
    }

    @Override
    protected void onPing(WebSocketChannel from, StreamSourceFrameChannel frame) throws IOException {
        receivedFrames++;
        super.onPing(from, frame);
    }

    @Override
    protected void onFullPingMessage(WebSocketChannel from, BufferedBinaryMessage message) {
        var data = message.getData();
        unsentPongs++;
        WebSockets.sendPong(data.getResource(), from, new WebSocketCallback<Void>() {
            @Override
            public void complete(WebSocketChannel done, Void none) {
                data.free();
                unsentPongs--;
                resumeIfWaiting();
            }

            @Override
            public void onError(WebSocketChannel done, Void none, Throwable error) {
                data.free();
                IoUtils.safeClose(done);
            }
        });
    }

    @Override
    protected void onPong(WebSocketChannel from, StreamSourceFrameChannel frame) throws IOException {
        receivedFrames++;
        super.onPong(from, frame);
    }

    // ---- Time limit ----

    private void setTimer() {
        timerSet = true;
        loop.schedule(messageSinceMs + connection.messageTimeoutMs(), this::onTimer);
    }

    private void onTimer() {
        timerSet = false;
        if (failed || isClosing()) return;
        if (isMessageOverdue()) receivePending();
        if (isMessageOverdue()) {
            fail(
                    EventCount.CONNECTIONS_CLOSED_REQUEST_TIMEOUT,
                    CloseMessage.MSG_VIOLATES_POLICY,
                    "message not complete in time");
        } else if (frameTracker.isWithinMessage() && !timerSet) {
            setTimer();
        }
    }

    private boolean isMessageOverdue() {
        return frameTracker.isWithinMessage() && loop.nowMs() - messageSinceMs >= connection.messageTimeoutMs();
    }

    /** True while a message has been received in part and may still be completed. */
    boolean isReceivingMessage() {
        return !failed && !isClosing() && frameTracker.isWithinMessage() && !isMessageOverdue();
    }

    // ---- Close ----

    @Override
    public OptionalDouble idleSinceMs() {
        if (session.openRequests() > 0) lastUsedMs = loop.nowMs();
        boolean isInUse = failed || isClosing() || session.openRequests() > 0 || isReceivingMessage();
        return isInUse ? OptionalDouble.empty() : OptionalDouble.of(lastUsedMs);
    }

    /** Closes the WebSocket unless requests are open, after the messages that are available have been received. */
    @Override
    public boolean closeIfIdle(String reason) {
        if (failed || isClosing() || session.openRequests() > 0) return false;
        boolean isAllReceived = receivePending();
        if (failed || session.openRequests() > 0 || isReceivingMessage() || !isAllReceived) return false;
        close(CloseMessage.GOING_AWAY, reason);
        return true;
    }

    /** Ends the WebSocket for what its client sends: nothing more is received, and what is open is answered first. */
    private void fail(EventCount cause, int code, String reason) {
        if (failed || isClosing()) return;
        failed = true;
        metrics.count(cause);
        dropMessage();
        connection.discardInput();
        if (session.openRequests() > 0) {
            sender.sendResponse(RpcError.INVALID_REQUEST.response("null", reason, ""));
        }
        closeOnceAnswered(code, reason);
    }

    private void closeOnceAnswered(int code, String reason) {
        if (endIfDisconnected()) return;
        if (session.openRequests() == 0) close(code, reason);
        else loop.schedule(loop.nowMs() + POLL_MS, () -> closeOnceAnswered(code, reason));
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
}
