package maplerail.net;

import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A reply that is wanted whole, as text, once; what comes after its end is passed over. */
public abstract class TextResponseHandler implements Reply {
    private static final int MOST = 4 << 20;

    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private int status;
    private HeaderMap headers;
    private boolean over;

    /** The whole answer; false if it is of no use, which then counts as none. */
    protected abstract boolean handleResponse(int code, HeaderMap head, String body);

    /** No answer came, or none of use. */
    protected abstract void onNoResponse();

    /** Gives up a call that should have been answered by now. */
    public final void abortOnTimeout(Call call) {
        if (over) return;
        call.abort();
        failed(false);
    }

    @Override
    public final void head(int code, HeaderMap head) {
        status = code;
        headers = head;
    }

    @Override
    public final void body(ByteBuffer piece) {
        while (piece.hasRemaining() && text.size() < MOST) text.write(piece.get());
    }

    @Override
    public final void end() {
        if (over) return;
        over = true;
        if (!handleResponse(status, headers, text.toString(StandardCharsets.UTF_8))) onNoResponse();
    }

    @Override
    public final void failed(boolean neverSent) {
        if (over) return;
        over = true;
        onNoResponse();
    }
}
