package maplerail.support;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.function.Consumer;

/** A client that keeps its connection for as long as it may, and notes when each request that has no answer yet was sent. */
public final class KeptConnection implements AutoCloseable {
    /** What has come on the connection, or that it ended. */
    public record Answer(int status, boolean closes, String body, boolean complete) {}

    private final Socket socket;
    private final Consumer<Answer> onAnswer;
    private final Deque<Double> sentMs = new ArrayDeque<>();
    private boolean ended;
    private double endedMs;
    private boolean paused;

    /** Connects; {@code onAnswer} hears of each answer on a thread of the connection's own. */
    public KeptConnection(int port, Consumer<Answer> onAnswer) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        this.onAnswer = onAnswer;
        Thread reader = new Thread(this::read, "kept-connection");
        reader.setDaemon(true);
        reader.start();
    }

    public static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** Sends a whole request. */
    public void send(String request) {
        synchronized (this) {
            sentMs.addLast(nowMs());
        }
        sendPart(request);
    }

    /** Sends bytes that are no whole request yet. */
    public void sendPart(String part) {
        try {
            socket.getOutputStream().write(part.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            ended(); // as its reader will find
        }
    }

    /** Reads nothing more until {@link #resume}. */
    public synchronized void pause() {
        paused = true;
    }

    public synchronized void resume() {
        paused = false;
        notifyAll();
    }

    public synchronized boolean isEnded() {
        return ended;
    }

    public synchronized double endedMs() {
        return endedMs;
    }

    /** When the last request without an answer was sent; negative infinity if each has one. */
    public synchronized double lastUnansweredMs() {
        return sentMs.isEmpty() ? Double.NEGATIVE_INFINITY : sentMs.peekLast();
    }

    private synchronized void ended() {
        if (ended) return;
        ended = true;
        endedMs = nowMs();
    }

    private void read() {
        try {
            InputStream in = socket.getInputStream();
            for (Answer answer = next(in); answer != null; answer = next(in)) {
                synchronized (this) {
                    if (answer.complete()) sentMs.pollFirst();
                }
                onAnswer.accept(answer);
                if (answer.closes() || !answer.complete()) break;
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt(); // a reset is an end
        }
        ended();
        try {
            socket.close();
        } catch (IOException e) {
            return;
        }
    }

    private Answer next(InputStream in) throws IOException, InterruptedException {
        String head = upTo(in, "\r\n\r\n");
        if (head == null) return null;
        String lower = head.toLowerCase(Locale.ROOT);
        boolean closes = lower.contains("connection: close");
        int status = Integer.parseInt(head.split(" ")[1]);
        if (lower.contains("transfer-encoding: chunked")) {
            String body = upTo(in, "0\r\n\r\n");
            return new Answer(status, closes, body == null ? "" : body, body != null);
        }
        int at = lower.indexOf("content-length: ");
        int length = at < 0 ? 0 : Integer.parseInt(lower.substring(at + 16).split("\r")[0]);
        byte[] body = in.readNBytes(length);
        return new Answer(status, closes, new String(body, StandardCharsets.UTF_8), body.length == length);
    }

    private String upTo(InputStream in, String end) throws IOException, InterruptedException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        while (true) {
            synchronized (this) {
                while (paused) wait();
            }
            int next = in.read();
            if (next < 0) return null;
            text.write(next);
            if (next == '\n' && text.toString(StandardCharsets.UTF_8).endsWith(end)) {
                return text.toString(StandardCharsets.UTF_8);
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
