package maplerail.support;

import java.io.IOException;
import java.net.ConnectException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** Requests to one gateway, each on a connection of its own, of both classes in turn. */
public final class RequestLoad implements AutoCloseable {
    private final int port;
    private final String deadline;
    private final List<KeptConnection> clients = new CopyOnWriteArrayList<>();
    private int sent;

    /** A load whose clients wait for {@code deadline} seconds. */
    public RequestLoad(int port, String deadline) {
        this.port = port;
        this.deadline = deadline;
    }

    /** Sends a request. */
    public KeptConnection send(String id) throws IOException {
        KeptConnection client = new KeptConnection(port, answer -> {});
        client.send(World.request(id, sent++ % 2 == 0 ? "lookup" : "repair-order", deadline));
        clients.add(client);
        return client;
    }

    /** Sends a request, unless nobody listens: a process that was told to end takes no connections after a while. */
    public void trySend(String id) throws IOException {
        try {
            send(id);
        } catch (ConnectException e) {
            return;
        }
    }

    /** Waits until each request that was sent has its answer. */
    public void awaitAnswered() throws InterruptedException {
        World.await("answered", () -> clients.stream().allMatch(client -> client.lastUnansweredMs() < 0));
    }

    /** What a log says of some requests. */
    public static String linesOf(Set<String> requests, String log) {
        return log.lines()
                .filter(line -> requests.stream().anyMatch(id -> line.contains("request=" + id + " ")))
                .collect(Collectors.joining("\n"));
    }

    @Override
    public void close() throws IOException {
        for (KeptConnection client : clients) client.close();
    }
}
