package maplerail.conform;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.WebSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Over a WebSocket. */
final class SocketPeer implements Peer, WebSocket.Listener {
    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    private final StringBuilder part = new StringBuilder();
    private final long waitMs;
    private final WebSocket socket;

    SocketPeer(HttpClient client, Target target) throws IOException {
        waitMs = target.waitMs();
        try {
            socket = client.newWebSocketBuilder()
                    .header("Req-Owner", target.team())
                    .buildAsync(URI.create("ws://" + target.address() + target.path()), this)
                    .join();
        } catch (CompletionException e) {
            throw new IOException("no WebSocket: " + e.getCause());
        }
    }

    @Override
    public CompletionStage<?> onText(WebSocket from, CharSequence text, boolean last) {
        part.append(text);
        if (last) {
            heard.add(part.toString());
            part.setLength(0);
        }
        from.request(1);
        return null;
    }

    @Override
    public void send(String text) throws IOException {
        try {
            socket.sendText(text, true).join();
        } catch (CompletionException e) {
            throw new IOException(e.getCause());
        }
    }

    @Override
    public String take() throws InterruptedException {
        return heard.poll(waitMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean http() {
        return false;
    }

    @Override
    public void close() {
        socket.abort();
    }
}
