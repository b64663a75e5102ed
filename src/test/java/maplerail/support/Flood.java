package maplerail.support;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/** Connections on which requests are sent one behind the other without waiting; what is answered is read and counted. */
public final class Flood implements Closeable {
    private static final int DISTINCT_REQUESTS = 20_000; // of each connection, made before it begins
    private static final int WRITE_BYTES = 256 * 1024;

    private final List<Socket> sockets = new ArrayList<>();
    private final AtomicLong numbers = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();
    private final LongFunction<byte[]> requests;
    private volatile boolean over;

    /** Begins on a number of connections; {@code requests} makes the bytes of each request from its number. */
    public Flood(int port, int connections, LongFunction<byte[]> requests) throws IOException {
        this(port, connections, new byte[0], requests);
    }

    /** The same with bytes that begin each connection. */
    public Flood(int port, int connections, byte[] opening, LongFunction<byte[]> requests) throws IOException {
        this.requests = requests;
        for (int i = 0; i < connections; i++) {
            byte[] all = distinctRequests();
            Socket socket = new Socket("127.0.0.1", port);
            sockets.add(socket);
            socket.getOutputStream().write(opening);
            start(() -> write(socket.getOutputStream(), all));
            start(() -> read(socket.getInputStream()));
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                Thread.currentThread().interrupt(); // the connection has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private byte[] distinctRequests() {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < DISTINCT_REQUESTS; i++) all.writeBytes(requests.apply(numbers.incrementAndGet()));
        return all.toByteArray();
    }

    private void write(OutputStream out, byte[] all) throws IOException {
        while (!over) {
            for (int from = 0; from < all.length; from += WRITE_BYTES)
                out.write(all, from, Math.min(WRITE_BYTES, all.length - from));
        }
    }

    private void read(InputStream in) throws IOException {
        byte[] buffer = new byte[64 * 1024];
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) receivedBytes.addAndGet(count);
    }

    /** The bytes of all answers so far. */
    public long receivedBytes() {
        return receivedBytes.get();
    }

    /** A whole HTTP request; {@code headers} are whole lines. */
    public static byte[] post(String path, String headers, String body) {
        return ("POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        over = true;
        for (Socket socket : sockets) socket.close();
    }
}
