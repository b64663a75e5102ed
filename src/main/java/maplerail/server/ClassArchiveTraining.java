package maplerail.server;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import maplerail.config.NodeConfig;
import maplerail.core.Lifecycle.Phase;

/**
 * Runs a gateway that serves a few requests of its own and stops. The build runs it to record the class archive (CDS) from
 * which a gateway starts: it is ready in less time, which counts when it is restarted.
 */
public final class ClassArchiveTraining {
    private static final String BODY = "{\"stream\":true}";
    private static final int ROUNDS = 5;
    private static final List<String> CALLS =
            List.of("GET /_ready", "GET /_vars", "PUT /_lameduck/on", "PUT /_lameduck/off");

    private ClassArchiveTraining() {}

    /** Runs it; returns once the gateway has stopped. */
    public static void run() throws IOException, InterruptedException {
        try (ServerSocket engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                InputStream text = ClassArchiveTraining.class.getResourceAsStream("/rehearsal.json")) {
            String config = new String(text.readAllBytes(), StandardCharsets.UTF_8);
            Gateway gateway = new Gateway(
                    NodeConfig.read(
                            config.replace("127.0.0.1:9\"", "127.0.0.1:" + engine.getLocalPort() + "\""), Map.of()),
                    null);
            Thread serving = new Thread(() -> serve(engine), "engine");
            serving.setDaemon(true);
            serving.start();
            gateway.start();
            while (gateway.phase() != Phase.READY) Thread.onSpinWait();
            String closing = " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: ";
            ask(gateway.address(), "GET /-/ready" + closing + "0\r\n\r\n");
            ask(gateway.address(), "POST /" + closing + "0\r\n\r\n");
            for (String call : CALLS) ask(gateway.adminAddress(), call + closing + "0\r\n\r\n");
            for (int i = 0; i < ROUNDS; i++) {
                ask(
                        gateway.address(),
                        "POST /v1/chat/completions" + closing + BODY.length() + "\r\nReq-Id: r" + i
                                + "\r\nReq-Kind: a\r\nReq-Owner: b\r\nReq-Key: 7f\r\nReq-Deadline: 0.5\r\n"
                                + "Req-Extra: prefix=5c,prompt_len=900,prefix_len=500,max_out=90\r\n\r\n" + BODY);
            }
            gateway.drain();
            gateway.join();
        }
    }

    private static void ask(InetSocketAddress at, String request) throws IOException {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }

    /** Answers each connection's one request by turns as a reader and as a writer, and once as neither. */
    private static void serve(ServerSocket engine) {
        for (int turn = 0; ; turn++) {
            try (Socket socket = engine.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                for (String line = in.readLine(); line != null && !line.isEmpty(); ) line = in.readLine();
                String answer = switch (turn % 4) {
                    case 0 -> "500 X\r\nContent-Length: 0\r\n\r\n";
                    case 1 -> "200 X\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n";
                    default -> "202 X\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
                };
                socket.getOutputStream().write(("HTTP/1.1 " + answer).getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                return; // the rehearsal is over
            }
        }
    }
}
