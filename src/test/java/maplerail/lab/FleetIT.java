package maplerail.lab;

import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Three gateways of the packaged program, one tier, with a fault fabric between them: what one learns of a reader the
 * others use, and what the fabric takes from a gateway it does not. Readers: one that takes 400 ms a read, one at once.
 */
class FleetIT {
    private static final int GATEWAYS = 3;

    @TempDir
    Path folder;

    private final List<Process> started = new ArrayList<>();

    @AfterEach
    void stop() {
        started.forEach(Process::destroyForcibly);
    }

    private String log(int rank) {
        try {
            return Files.readString(folder.resolve("g" + rank));
        } catch (IOException e) {
            return "";
        }
    }

    private int said(int rank, String pattern) {
        Matcher found = Pattern.compile(pattern + " \\S*:(\\d+)\\s").matcher(log(rank));
        return found.find() ? Integer.parseInt(found.group(1)) : 0;
    }

    private long figure(int rank, String name) {
        String vars = World.say(said(rank, "operators are answered at"), "GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n");
        Matcher value = Pattern.compile("gateway\\." + name + ":(\\d+)\\|").matcher(vars);
        return value.find() ? Long.parseLong(value.group(1)) : -1;
    }

    /** A request of its own conversation, so that no reader holds it already. */
    private static String request(String id) {
        String body = "{\"stream\":true}";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\nReq-Id: " + id
                + "\r\nReq-Kind: lookup\r\nReq-Owner: cyngor-glannau\r\nReq-Key: "
                + Long.toHexString(id.hashCode() * 31L + 7)
                + "\r\nReq-Deadline: 5.0\r\nReq-Extra: prompt_len=500,max_out=100\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private static StandIn reader(Queue<String> ids, long ms) throws IOException {
        return new StandIn(x -> {
            if (x.method.equals("DELETE")) {
                x.reply(204, "");
                return;
            }
            ids.add(x.headers.get("req-id"));
            Thread.sleep(ms);
            x.reply(202, "{\"cached_tokens\":0}");
        });
    }

    private int serve(int rank, String prefix, int count) {
        int port = said(rank, "listens on");
        int served = 0;
        for (int i = 0; i < count; i++) {
            if (World.say(port, request(prefix + i)).contains("[DONE]")) served++;
        }
        return served;
    }

    @Test
    void whatOneGatewaySawOfAReaderSteersTheOthersUnlessTheirLinkIsCut() throws Exception {
        Queue<String> slowIds = new ConcurrentLinkedQueue<>();
        Queue<String> quickIds = new ConcurrentLinkedQueue<>();
        List<InetSocketAddress> listens = PeerFabric.freeAddresses(GATEWAYS);
        try (StandIn slow = reader(slowIds, 400);
                StandIn quick = reader(quickIds, 0);
                StandIn writer = World.writer();
                World world = new World()
                        .admin()
                        .engine("r1", "prefill", slow)
                        .engine("r2", "prefill", quick)
                        .engine("w", "decode", writer);
                PeerFabric fabric = new PeerFabric(listens, 7)) {
            List<String> members = new ArrayList<>();
            for (int i = 0; i < GATEWAYS; i++) members.add(address(fabric.from(i)));
            // Gateway 2 hears nobody: the control.
            fabric.cut(0, 2, true);
            fabric.cut(1, 2, true);
            for (int rank = 0; rank < GATEWAYS; rank++) {
                Path config = folder.resolve("config" + rank);
                Files.writeString(
                        config,
                        world.peers(rank, address(listens.get(rank)), address(fabric.all()), members)
                                .config("127.0.0.1:0"));
                ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", World.runLine());
                builder.environment().put("RELAY_CONFIG", config.toString());
                started.add(builder.redirectError(new File(folder.toFile(), "g" + rank))
                        .start());
            }
            for (int rank = 0; rank < GATEWAYS; rank++) {
                int r = rank;
                await(
                        "gateway " + r + " ready",
                        () -> said(r, "listens on") > 0
                                && World.say(
                                                said(r, "listens on"),
                                                "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                                        .startsWith("HTTP/1.1 200")
                                && log(r).contains("tier joined"));
            }
            // Gateway 0 meets both readers and finds the slow one; it tells the tier.
            assertThat(serve(0, "a", 24)).isEqualTo(24);
            assertThat(slowIds.stream().filter(id -> id.startsWith("a"))).isNotEmpty();
            await("figures at 0", () -> figure(0, "peer_sent") > 0);
            // One more read leaves news behind, so one more datagram follows what was summed before: then all is told.
            long sent = figure(0, "peer_sent");
            assertThat(serve(0, "z", 1)).isEqualTo(1);
            await(
                    "all told to 1",
                    () -> figure(0, "peer_sent") > sent && figure(1, "peer_heard") >= figure(0, "peer_sent"));
            // Gateway 1 has never read anywhere: its reads go where gateway 0's went well.
            assertThat(serve(1, "b", 12)).isEqualTo(12);
            assertThat(slowIds.stream().filter(id -> id.startsWith("b"))).isEmpty();
            assertThat(quickIds.stream().filter(id -> id.startsWith("b"))).hasSize(12);
            // Gateway 2, cut off, knows nothing and meets the slow reader as gateway 0 did.
            assertThat(serve(2, "c", 12)).isEqualTo(12);
            assertThat(slowIds.stream().filter(id -> id.startsWith("c"))).isNotEmpty();
            assertThat(figure(2, "peer_heard")).isZero();
            assertThat(fabric.dropped.get()).isPositive();
            // What comes from no address of the tier is dropped and counted, never used.
            long before = figure(1, "peer_dropped");
            try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                byte[] junk = "not a datagram of the tier".getBytes(StandardCharsets.UTF_8);
                stranger.send(new DatagramPacket(junk, junk.length, listens.get(1)));
            }
            await("dropped at 1", () -> figure(1, "peer_dropped") > before);
        }
    }

    private static String address(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }
}
