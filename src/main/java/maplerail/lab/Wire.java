package maplerail.lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 as the lab's stand-ins speak it: a thread for each connection, blocking, on loopback. Not for service. */
final class Wire {
    private static final int MOST_BODY = 4 << 20;

    private Wire() {}

    /** A message: its first line in words, its headers by lower-case name, its body. */
    record Message(String[] words, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /** A value of {@code Req-Extra}, or 0. */
        double extra(String key) {
            for (String pair : header("req-extra").split(",")) {
                if (pair.startsWith(key + "=")) return Double.parseDouble(pair.substring(key.length() + 1));
            }
            return 0;
        }
    }

    /** What answers one request on a connection; false ends the connection. */
    interface Handler {
        boolean handle(Message message, Socket socket) throws IOException, InterruptedException;
    }

    /** A listening stand-in that can be ended, and with it all its connections, as a process that dies. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listening;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String name, Handler handler) throws IOException {
            this(name, handler, () -> {});
        }

        /** The same, with what is to be done at each connection that comes. */
        Server(String name, Handler handler, Runnable came) throws IOException {
            listening = new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());
            daemon(name, () -> {
                while (true) {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    came.run();
                    daemon(name, () -> {
                        try (socket) {
                            InputStream in = new BufferedInputStream(socket.getInputStream());
                            for (Message m = read(in); m != null; m = read(in)) if (!handler.handle(m, socket)) return;
                        } finally {
                            open.remove(socket);
                        }
                    });
                }
            });
        }

        InetSocketAddress address() {
            return (InetSocketAddress) listening.getLocalSocketAddress();
        }

        /** Connections that are open now. */
        int connections() {
            return open.size();
        }

        @Override
        public void close() throws IOException {
            listening.close();
            for (Socket socket : open) {
                try {
                    socket.setSoLinger(true, 0);
                } catch (IOException e) {
                    continue; // its far side has just left, and it is closed already
                }
                socket.close();
            }
        }
    }

    interface Work {
        void run() throws IOException, InterruptedException;
    }

    /** Runs work that ends with its sockets. */
    static Thread daemon(String name, Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException e) {
                        return; // a far side that left, or the end of the experiment
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The next message, or null at the end. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon > 0)
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        if (length < 0 || length > MOST_BODY) throw new IOException("a body of " + length + " bytes");
        return new Message(first.split(" "), headers, new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }

    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) return null;
            if (c != '\r') line.append((char) c);
        }
        return line.toString();
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    static boolean reply(Socket socket, int status, String body, String headers) throws IOException {
        write(
                socket,
                "HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n" + headers + "\r\n" + body);
        return true;
    }

    static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }
}
