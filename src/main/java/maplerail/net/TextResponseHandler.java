package maplerail.net;

import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Collects a response as text and reports it once, when it is complete; anything after that is ignored. */
public abstract class TextResponseHandler implements ResponseHandler {
    private static final int MAX_BODY_BYTES = 4 << 20;

    private final ByteArrayOutputStream bodyBytes = new ByteArrayOutputStream();
    private int status;
    private HeaderMap headers;
    private boolean completed;

    /** Handles the complete response; false if it is unusable, which then counts as no response. */
    protected abstract boolean handleResponse(int status, HeaderMap headers, String body);

    /** Called if there is no usable response. */
    protected abstract void onNoResponse();

    /** Aborts a call that was not answered in time. */
    public final void abortOnTimeout(Call call) {
        if (completed) return;
        call.abort();
        onFailed(false);
    }

    @Override
    public final void onHead(int code, HeaderMap head) {
        status = code;
        headers = head;
    }

    @Override
    public final void onBody(ByteBuffer piece) {
        while (piece.hasRemaining() && bodyBytes.size() < MAX_BODY_BYTES) bodyBytes.write(piece.get());
    }

    @Override
    public final void onComplete() {
        if (completed) return;
        completed = true;
        if (!handleResponse(status, headers, bodyBytes.toString(StandardCharsets.UTF_8))) onNoResponse();
    }

    @Override
    public final void onFailed(boolean neverSent) {
        if (completed) return;
        completed = true;
        onNoResponse();
    }
}
