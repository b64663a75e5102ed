import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins and process helpers that the review's cases share. Everything is on loopback addresses. */
final class Kit {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final long START_NANOS = System.nanoTime();

    private Kit() {}

    /** Milliseconds since the start of the script. */
    static double now() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    static void sleep(double ms) {
        try {
            Thread.sleep(Math.max(0, (long) ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Work {
        void run() throws Exception;
    }

    static Thread thread(String name, Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (Exception e) {
                        // The far side went away; what matters is recorded by the case itself.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** True unless the environment says TROUBLE=0. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    // ---- The record ----

    /** record.txt in the folder of the case: one line an event, with the time in milliseconds. */
    static final class Record implements Closeable {
        private final PrintWriter out;

        Record(Path folder) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        }

        synchronized void line(String text) {
            out.printf(Locale.ROOT, "%9.1f %s%n", now(), text);
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    // ---- HTTP servers ----

    /** What a server does with a request. */
    interface Handler {
        void handle(Exchange exchange) throws Exception;
    }

    /** An HTTP/1.1 server with a thread for each connection. */
    static final class Server implements Closeable {
        private final ServerSocket socket;

        Server(Handler handler) throws IOException {
            socket = new ServerSocket(0, 1_024, LOOPBACK);
            thread("accept", () -> {
                while (true) {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    thread("serve", () -> serve(accepted, handler));
                }
            });
        }

        private static void serve(Socket accepted, Handler handler) throws Exception {
            try (accepted) {
                InputStream in = new BufferedInputStream(accepted.getInputStream());
                for (Exchange next = Exchange.read(accepted, in); next != null; next = Exchange.read(accepted, in)) {
                    handler.handle(next);
                    if (accepted.isClosed()) return;
                }
            }
        }

        int port() {
            return socket.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** One request at a server, and ways to answer it. */
    static final class Exchange {
        final Socket socket;
        final String method;
        final String target;
        final Map<String, String> headers;
        final byte[] body;

        private Exchange(Socket socket, String method, String target, Map<String, String> headers, byte[] body) {
            this.socket = socket;
            this.method = method;
            this.target = target;
            this.headers = headers;
            this.body = body;
        }

        static Exchange read(Socket socket, InputStream in) throws IOException {
            String first = readLine(in);
            if (first == null) return null;
            Map<String, String> headers = readHeaders(in);
            byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            String[] words = first.split(" ");
            return new Exchange(socket, words[0], words[1], headers, body);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        void write(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void reply(int status, String text, String... headerLines) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\nContent-Length: "
                    + text.getBytes(StandardCharsets.UTF_8).length + "\r\n");
            for (String line : headerLines) head.append(line).append("\r\n");
            write(head + "\r\n" + text);
        }

        void beginStream() throws IOException {
            write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void event(String data) throws IOException {
            String text = "data: " + data + "\n\n";
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void endStream() throws IOException {
            write("0\r\n\r\n");
        }

        /** A token of an answer, as an engine writes it. */
        void token(String content) throws IOException {
            event("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content + "\"},\"finish_reason\":null}]}");
        }

        /** The last events of an answer and the last chunk. */
        void endAnswer(int tokens) throws IOException {
            event("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}");
            event("{\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":" + tokens
                    + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}");
            event("[DONE]");
            endStream();
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) return null;
            if (c != '\r') line.write(c);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon > 0)
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
        }
        return headers;
    }

    // ---- Discovery ----

    /** The agent that tells a gateway the engines. */
    static final class Discovery implements Closeable {
        private final Map<String, String> hosts = new LinkedHashMap<>();
        private final Server server;
        private long version = 1;

        Discovery() throws IOException {
            server = new Server(this::answer);
        }

        String address() {
            return server.address();
        }

        /** Adds or changes an engine. */
        void put(String host, String dial, String site, String kind, String health, long bornMs) {
            put(host, dial, site, kind, 1, health, bornMs);
        }

        /** The same in a cell. */
        synchronized void put(
                String host, String dial, String site, String kind, int cell, String health, long bornMs) {
            hosts.put(
                    host,
                    "{\"host\":\"" + host + "\",\"dial\":\"" + dial + "\",\"site\":\"" + site + "\",\"class\":\""
                            + kind + "\",\"block\":" + cell + ",\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + bornMs
                            + "}");
            version++;
            notifyAll();
        }

        synchronized String list() {
            return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts.values()) + "]}";
        }

        private void answer(Exchange x) throws Exception {
            Matcher asked = Pattern.compile("index=(\\d+)&wait=(\\d+)").matcher(x.target);
            if (!asked.find()) {
                x.reply(200, list());
                return;
            }
            long known = Long.parseLong(asked.group(1));
            double untilMs = now() + Long.parseLong(asked.group(2));
            String news;
            synchronized (this) {
                while (version <= known && now() < untilMs) wait(Math.max(1, (long) (untilMs - now())));
                news = version > known
                        ? list()
                        : "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[]}";
            }
            x.reply(200, news);
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- The gateway's process ----

    /** The root of the repository. */
    static Path root() {
        String told = System.getenv("REVIEW_ROOT");
        return Path.of(told == null ? "." : told).toAbsolutePath().normalize();
    }

    /** The command of the deploy file that starts a gateway. */
    static String runLine() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root().resolve("deploy/balancer.toml")));
        if (!run.find()) throw new IOException("no run line");
        return run.group(1);
    }

    /** A process that is ended with the script at the latest. */
    static final List<Process> STARTED = Collections.synchronizedList(new ArrayList<>());

    static void endAll() {
        for (Process process : List.copyOf(STARTED)) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Starts the gateway as the platform does: {@code /bin/sh -c run} from the root. */
    static Process startGateway(Path folder, String name, String config, String more, Map<String, String> environment)
            throws IOException {
        Path file = Files.writeString(folder.resolve(name + ".json"), config);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine() + more);
        builder.directory(root().toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("RELAY_"));
        builder.environment().put("RELAY_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().putAll(environment);
        File log = folder.resolve(name + ".log").toFile();
        Process process =
                builder.redirectErrorStream(true).redirectOutput(log).start();
        STARTED.add(process);
        return process;
    }

    static void signal(String signal, long pid) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
    }

    /** Waits until a call answers 200; false if it never does. */
    static boolean awaitYes(int port, String path, double withinMs) {
        for (double untilMs = now() + withinMs; now() < untilMs; sleep(50)) {
            if (call(port, "GET " + path).startsWith("HTTP/1.1 200")) return true;
        }
        return false;
    }

    /** One call on a connection of its own; the head and body, or "" without an answer. */
    static String call(int port, String call) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
            socket.setSoTimeout(2_000);
            socket.getOutputStream()
                    .write((call + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    // ---- Clients ----

    /** What a client got: a status, or -1 without one; {@code whole} if the body came to its end. */
    static final class Answer {
        int status = -1;
        boolean whole;
        String ended = "";
        String body = "";
        double sentMs;
        double headMs = Double.POSITIVE_INFINITY; // when the answer's first line had come
        double endedMs;

        @Override
        public String toString() {
            String head = headMs < Double.POSITIVE_INFINITY ? " head_after_ms=" + Math.round(headMs - sentMs) : "";
            return "status=" + status + head + " whole=" + whole + " after_ms=" + Math.round(endedMs - sentMs)
                    + (ended.isEmpty() ? "" : " ended=" + ended);
        }
    }

    /** A client's request for an answer. */
    static byte[] request(String id, String kind, String owner, double deadlineS, int bodyBytes) {
        String start = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":100,\"messages\":[{\"role\":\"user\",\"content\":\"";
        String end = "\"}]}";
        String body = start + "a".repeat(Math.max(1, bodyBytes - start.length() - end.length())) + end;
        String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind
                + (owner.isEmpty() ? "" : "\r\nReq-Owner: " + owner) + "\r\nReq-Key: " + Integer.toHexString(id.hashCode())
                + "\r\nReq-Deadline: " + String.format(Locale.ROOT, "%.3f", deadlineS) + "\r\nReq-Extra: prompt_len="
                + body.length() / 4 + ",max_out=100\r\nContent-Length: " + body.length() + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.UTF_8);
    }

    /** Reads one answer from a connection; gives up after a time. */
    static Answer readAnswer(Socket socket, Answer answer, double withinMs) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            socket.setSoTimeout((int) Math.max(1, withinMs));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String first = readLine(in);
            if (first == null) throw new EOFException("closed without an answer");
            answer.headMs = now();
            answer.status = Integer.parseInt(first.split(" ")[1]);
            Map<String, String> headers = readHeaders(in);
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                while (true) {
                    String size = readLine(in);
                    if (size == null) throw new EOFException("closed within the answer");
                    int length = Integer.parseInt(size.trim(), 16);
                    byte[] data = in.readNBytes(length);
                    if (data.length < length) throw new EOFException("closed within the answer");
                    body.write(data);
                    if (readLine(in) == null) throw new EOFException("closed within the answer");
                    if (length == 0) break;
                }
            } else {
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                byte[] data = in.readNBytes(length);
                body.write(data);
                if (data.length < length) throw new EOFException("closed within the answer");
            }
            answer.whole = true;
        } catch (SocketTimeoutException e) {
            answer.ended = "nothing came in time";
        } catch (IOException | RuntimeException e) {
            answer.ended = e.getMessage() == null ? e.toString() : e.getMessage();
        }
        answer.body = body.toString(StandardCharsets.UTF_8);
        answer.endedMs = now();
        return answer;
    }

    /** Sends a request on a new connection and reads its answer. */
    static Answer ask(int port, byte[] request, double withinMs) {
        Answer answer = new Answer();
        answer.sentMs = now();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2_000);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request);
            answer.sentMs = now();
            return readAnswer(socket, answer, withinMs);
        } catch (IOException e) {
            answer.ended = "not connected or not written: " + e.getMessage();
            answer.endedMs = now();
            return answer;
        }
    }

    private static final AtomicInteger IDS = new AtomicInteger();

    static String newId(String start) {
        return start + String.format("%06x", IDS.incrementAndGet()) + Long.toHexString(System.nanoTime() & 0xffffff);
    }
}
