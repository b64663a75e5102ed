package maplerail.conform;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;

/** Over HTTP: each text is a POST, answered as JSON or as a stream of events. */
final class HttpPeer implements Peer {
    private final HttpClient client;
    private final Target target;
    private final ArrayDeque<String> heard = new ArrayDeque<>();
    private String session;

    HttpPeer(HttpClient client, Target target) {
        this.client = client;
        this.target = target;
    }

    /** One call; {@code session} may be null for none. */
    HttpResponse<String> call(String method, String id, String body, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + target.address() + target.path()))
                .timeout(Duration.ofMillis(target.waitMs()))
                .header("Req-Owner", target.team())
                .header("Accept", "application/json, text/event-stream")
                .header("Content-Type", "application/json")
                .method(
                        method,
                        body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
        if (id != null) request.header("Mcp-Session-Id", id);
        if (headers.length > 0) request.headers(headers);
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    @Override
    public void send(String text) throws IOException, InterruptedException {
        HttpResponse<String> answer = call("POST", session, text);
        answer.headers().firstValue("Mcp-Session-Id").ifPresent(id -> session = id);
        boolean events = answer.headers().firstValue("Content-Type").orElse("").startsWith("text/event-stream");
        if (!events && !answer.body().isEmpty()) heard.add(answer.body());
        if (!events) return;
        for (String event : answer.body().split("\n\n")) {
            StringBuilder data = new StringBuilder();
            for (String line : event.split("\n")) {
                if (line.startsWith("data:")) data.append(line.substring(5).strip());
            }
            if (data.length() > 0) heard.add(data.toString());
        }
    }

    String session() {
        return session;
    }

    @Override
    public String take() {
        return heard.poll();
    }

    @Override
    public boolean http() {
        return true;
    }

    @Override
    public void close() {
        try {
            if (session != null) call("DELETE", session, null);
        } catch (IOException e) {
            session = null; // it ends by itself when nobody uses it
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
