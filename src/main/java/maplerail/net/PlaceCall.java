package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import maplerail.core.ConnectionChoice;
import maplerail.core.EventLoop;
import maplerail.core.ReservePlaceResult;

/** One call that asks a writer to hold a place for a request. */
final class PlaceCall implements Reply {
    /** A writer answers after 300 ms at the latest where no read is in flight. */
    private static final double ANSWER_MS = 450;

    private static final int HELD_STATUS = 200;
    private static final int NO_READ_STATUS = 204;
    private static final int NOT_HELD_STATUS = 409;

    private final Pool pool;
    private final InetSocketAddress writer;
    private final String requestId;
    private final Consumer<ReservePlaceResult> onAnswer;
    private Call call;
    private EventLoop.Timer silence;
    private boolean over;

    PlaceCall(Pool pool, InetSocketAddress writer, String requestId, Consumer<ReservePlaceResult> onAnswer) {
        this.pool = pool;
        this.writer = writer;
        this.requestId = requestId;
        this.onAnswer = onAnswer;
    }

    void start(ConnectionChoice connection) {
        ClientRequest request = HttpRequests.create(writer, Methods.POST, "/internal/reservations/" + requestId);
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, 0);
        call = pool.start(writer, request, new byte[0], this, connection);
        silence = pool.loop().schedule(pool.loop().nowMs() + ANSWER_MS, this::onSilence);
    }

    private void onSilence() {
        call.abort();
        end(ReservePlaceResult.UNKNOWN);
    }

    private void end(ReservePlaceResult answer) {
        if (over) return;
        over = true;
        silence.cancel();
        onAnswer.accept(answer);
    }

    @Override
    public void head(int status, HeaderMap headers) {
        end(
                switch (status) {
                    case HELD_STATUS -> ReservePlaceResult.RESERVED;
                    case NOT_HELD_STATUS -> ReservePlaceResult.NOT_RESERVED;
                    case NO_READ_STATUS -> ReservePlaceResult.NO_READ_IN_FLIGHT;
                    default -> ReservePlaceResult.UNKNOWN;
                });
    }

    @Override
    public void body(ByteBuffer piece) {}

    @Override
    public void end() {}

    @Override
    public void failed(boolean neverSent) {
        end(ReservePlaceResult.UNKNOWN);
    }
}
