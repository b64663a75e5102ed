package maplerail.support;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A server for tests on an ephemeral loopback port, which can also misbehave: reset, fall silent, break off. */
public final class StandIn implements AutoCloseable {
    /** What the server does with a request. */
    public interface Handler {
        void handle(Exchange exchange) throws Exception;
    }

    private final ServerSocket server;
    private final Handler handler;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger ended = new AtomicInteger();
    /** Every request as "METHOD target". */
    public final List<String> seen = new CopyOnWriteArrayList<>();

    public StandIn(Handler handler) throws IOException {
        this.handler = handler;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        thread(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                thread(() -> serve(socket));
            }
        });
    }

    private interface Work {
        void run() throws Exception;
    }

    private static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The far side went away, or the test is over: what a test looks for it asserts itself.
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        connections.incrementAndGet();
        try {
            int number = 0;
            for (Exchange next = read(socket, in, 0); next != null; next = read(socket, in, ++number)) {
                seen.add(next.method + " " + next.target);
                handler.handle(next);
            }
        } finally {
            ended.incrementAndGet();
            socket.close();
        }
    }

    private static Exchange read(Socket socket, InputStream in, int number) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        String[] words = first.split(" ");
        return new Exchange(words[0], words[1], headers, new String(body, StandardCharsets.UTF_8), socket, in, number);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) return null;
            if (c != '\r') line.append((char) c);
        }
        return line.toString();
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    public InetSocketAddress socketAddress() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    public int connections() {
        return connections.get();
    }

    public int ended() {
        return ended.get();
    }

    public long count(String start) {
        return seen.stream().filter(s -> s.startsWith(start)).count();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** One request, and ways to answer it. */
    public static final class Exchange {
        public final String method;
        public final String target;
        public final Map<String, String> headers;
        public final String body;
        /** Its place among the requests of its connection. */
        public final int number;

        private final Socket socket;
        private final InputStream in;

        Exchange(
                String method,
                String target,
                Map<String, String> headers,
                String body,
                Socket socket,
                InputStream in,
                int number) {
            this.method = method;
            this.target = target;
            this.headers = headers;
            this.body = body;
            this.socket = socket;
            this.in = in;
            this.number = number;
        }

        public void write(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        public void reply(int status, String text, String... headerLines) throws IOException {
            String more = headerLines.length == 0 ? "" : String.join("\r\n", headerLines) + "\r\n";
            write("HTTP/1.1 " + status + " X\r\nContent-Length: " + text.length() + "\r\n" + more + "\r\n" + text);
        }

        public void stream() throws IOException {
            write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        public void chunk(String text) throws IOException {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        public void last() throws IOException {
            write("0\r\n\r\n");
        }

        /** Ends a stream as whole streams end: with its last event and the last chunk. */
        public void endStream() throws IOException {
            chunk("data: [DONE]\n\n");
            last();
        }

        /** Ends the connection with a reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Waits for a while; true as soon as the far side has ended the connection. */
        public boolean isEndedWithin(long ms) throws IOException {
            socket.setSoTimeout((int) Math.max(1, ms));
            in.mark(1);
            try {
                if (in.read() < 0) return true;
                in.reset(); // it sends on, which it may
                return false;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true; // a reset ends it as well
            } finally {
                if (!socket.isClosed()) socket.setSoTimeout(0);
            }
        }

        /** Waits until the far side has ended the connection. */
        public void awaitEnd() {
            try {
                while (socket.getInputStream().read() >= 0) {
                    continue;
                }
            } catch (IOException e) {
                return; // a reset ends it as well
            }
        }
    }
}
