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

/** One call that asks a writer to reserve a place for a request. */
final class ReservationCall implements ResponseHandler {
    /** A writer that finds no read in flight answers after at most 300 ms. */
    private static final double TIMEOUT_MS = 450;

    private static final int RESERVED_STATUS = 200;
    private static final int NO_READ_STATUS = 204;
    private static final int NOT_RESERVED_STATUS = 409;

    private final ConnectionPool pool;
    private final InetSocketAddress writer;
    private final String requestId;
    private final Consumer<ReservePlaceResult> onAnswer;
    private Call call;
    private EventLoop.Timer timeoutTimer;
    private boolean completed;

    ReservationCall(
            ConnectionPool pool, InetSocketAddress writer, String requestId, Consumer<ReservePlaceResult> onAnswer) {
        this.pool = pool;
        this.writer = writer;
        this.requestId = requestId;
        this.onAnswer = onAnswer;
    }

    void start(ConnectionChoice connection) {
        ClientRequest request = HttpRequests.create(writer, Methods.POST, "/internal/reservations/" + requestId);
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, 0);
        call = pool.start(writer, request, new byte[0], this, connection);
        timeoutTimer = pool.loop().schedule(pool.loop().nowMs() + TIMEOUT_MS, this::onTimeout);
    }

    private void onTimeout() {
        boolean unsent = call.isUnsent();
        call.abort();
        complete(unsent ? ReservePlaceResult.NOT_SENT : ReservePlaceResult.UNKNOWN);
    }

    private void complete(ReservePlaceResult answer) {
        if (completed) return;
        completed = true;
        timeoutTimer.cancel();
        onAnswer.accept(answer);
    }

    @Override
    public void onHead(int status, HeaderMap headers) {
        complete(
                switch (status) {
                    case RESERVED_STATUS -> ReservePlaceResult.RESERVED;
                    case NOT_RESERVED_STATUS -> ReservePlaceResult.NOT_RESERVED;
                    case NO_READ_STATUS -> ReservePlaceResult.NO_READ_IN_FLIGHT;
                    default -> ReservePlaceResult.UNKNOWN;
                });
    }

    @Override
    public void onBody(ByteBuffer piece) {}

    @Override
    public void onComplete() {}

    @Override
    public void onFailed(boolean neverSent) {
        complete(neverSent ? ReservePlaceResult.NOT_SENT : ReservePlaceResult.UNKNOWN);
    }
}
