package maplerail.cli;

import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Starts the packaged program by the deploy file's own lines and speaks to it over sockets. */
class JarIT {
    @TempDir
    Path folder;

    private static String line(String key) throws Exception {
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith(key + " = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
    }

    private Process start(String command, String config) throws Exception {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
        if (config != null) builder.environment().put("RELAY_CONFIG", config);
        return builder.redirectError(new File(folder.toFile(), "log")).start();
    }

    private String log() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            return "";
        }
    }

    /** The port that the program says it listens on; 0 before it does. */
    private int port() {
        Matcher said = Pattern.compile("listens on \\S*:(\\d+)\\s").matcher(log());
        return said.find() ? Integer.parseInt(said.group(1)) : 0;
    }

    private static String say(int port, String request) {
        return World.say(port, request.replaceFirst("\r\n", "\r\nConnection: close\r\n"));
    }

    @Test
    void theProgramServesAndFinishesWhatItTookAfterTheSignal() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(x -> {
                    x.stream();
                    x.chunk("data: 1\n\n");
                    streams.add(x);
                });
                World world = new World().engine("r", "prefill", reader).engine("w", "decode", writer)) {
            Path config = folder.resolve("config.json");
            Files.writeString(config, world.config("127.0.0.1:0"));
            Process gateway = start(line("run"), config.toString());
            try {
                await("listening", () -> port() > 0);
                int port = port();
                await(
                        "ready",
                        () -> say(port, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                                .startsWith("HTTP/1.1 200"));
                try (Socket client = new Socket("127.0.0.1", port)) {
                    client.getOutputStream()
                            .write(World.request("a1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
                    StandIn.Exchange stream = World.take(streams);
                    gateway.destroy(); // SIGTERM
                    await(
                            "draining",
                            () -> say(port, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                                    .contains(" 503 "));
                    stream.chunk("data: [DONE]\n\n");
                    stream.last();
                    InputStream in = client.getInputStream();
                    assertThat(World.readAll(in)).contains("[DONE]").endsWith("\r\n0\r\n\r\n");
                }
                await("ended", () -> !gateway.isAlive());
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /** The largest lists there may be, in the memory of the run line: heard, served from, and heard again. */
    @Test
    void aThousandEnginesAndAThousandPeersFit() throws Exception {
        int many = 1_024;
        AtomicInteger version = new AtomicInteger(5);
        try (StandIn reader = World.reader();
                StandIn writer = World.writer();
                StandIn agent = new StandIn(x -> {
                    int now = version.get();
                    if (x.target.contains("index=" + now + "&") && !x.target.endsWith("wait=1")) {
                        x.awaitEnd();
                        return;
                    }
                    StringBuilder list =
                            new StringBuilder("{\n  \"seq\": " + now + ",\n  \"whole\": true,\n  \"hosts\": [\n");
                    for (int i = 0; i < many; i++) {
                        list.append(i == 0 ? "" : ",\n")
                                .append("    {\n      \"host\": \"s-")
                                .append(i)
                                .append("\",\n      \"dial\": \"")
                                .append((i % 2 == 0 ? reader : writer).address())
                                .append("\",\n      \"site\": \"caerdydd\",\n      \"class\": \"")
                                .append(i % 2 == 0 ? "prefill" : "decode")
                                .append("\",\n      \"block\": ")
                                .append(i / 16)
                                .append(
                                        ",\n      \"health\": \"in_service\",\n      \"share\": 1.0,\n      \"born_ms\": 0\n    }");
                    }
                    x.reply(200, list.append("\n  ]\n}\n").toString());
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .discoveredBy(agent)
                        .admin()) {
            List<String> members = new java.util.ArrayList<>();
            for (int i = 0; i < many; i++) members.add("127.1." + i / 256 + "." + i % 256 + ":7946");
            members.set(many - 1, "127.0.0.1:0");
            world.peers(many - 1, "127.0.0.1:0", "127.0.0.1:9", members);
            Path config = folder.resolve("config.json");
            Files.writeString(config, world.config("127.0.0.1:0"));
            Process gateway = start(line("run"), config.toString());
            try {
                await("listening", () -> port() > 0);
                for (int i = 0; i < 200; i++) {
                    if (i % 20 == 0) version.incrementAndGet();
                    // A busy machine makes it refuse some: what counts is that it serves.
                    String id = "a" + i;
                    AtomicInteger tries = new AtomicInteger();
                    await(
                            "served",
                            () -> say(port(), World.request(id + "." + tries.incrementAndGet(), "lookup", "5.0"))
                                    .startsWith("HTTP/1.1 200"));
                }
                Matcher admin = Pattern.compile("answered at \\S*:(\\d+)\\s").matcher(log());
                assertThat(admin.find()).isTrue();
                assertThat(say(Integer.parseInt(admin.group(1)), "GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n"))
                        .contains("gateway.cluster_size:" + many + "|g");
                assertThat(log()).doesNotContain("OutOfMemory");
                assertThat(gateway.isAlive()).isTrue();
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /** Clients that ask once or never and hold their connections, more than there are descriptors, while discovery is silent. */
    @Test
    void idleClientsLeaveDescriptorsForAllElse() throws Exception {
        int most = 192;
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        AtomicInteger silent = new AtomicInteger();
        List<Socket> idle = new java.util.ArrayList<>();
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(x -> {
                    if (x.method.equals("DELETE")) x.reply(204, "");
                    else {
                        x.stream();
                        x.chunk("data: 1\n\n");
                        streams.add(x);
                    }
                });
                StandIn other = World.writer();
                World world = new World().engine("r", "prefill", reader).engine("w1", "decode", writer);
                StandIn agent = new StandIn(x -> {
                    if (silent.get() == 1
                            || silent.get() == 2 && x.target.contains("index=9&wait=") && !x.target.endsWith("wait=1"))
                        x.awaitEnd();
                    else if (silent.get() == 0) x.reply(200, "{\"seq\":3,\"whole\":false,\"hosts\":[]}");
                    else x.reply(200, world.listWithout("w1", "w2", other, 9));
                })) {
            world.discoveredBy(agent).sockets(most).admin();
            Path config = folder.resolve("config.json");
            Files.writeString(config, world.config("127.0.0.1:0"));
            Process gateway = start("ulimit -n " + most + "; " + line("run"), config.toString());
            Path descriptors = Path.of("/proc/" + gateway.pid() + "/fd");
            try {
                await("listening", () -> port() > 0);
                Matcher admin = Pattern.compile("answered at \\S*:(\\d+)\\s").matcher(log());
                await("operators are answered", admin::find);
                int adminPort = Integer.parseInt(admin.group(1));
                try (Socket client = new Socket("127.0.0.1", port())) {
                    client.getOutputStream()
                            .write(World.request("a1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
                    StandIn.Exchange stream = World.take(streams);
                    silent.set(1);
                    for (int i = 0; i < 2 * most; i++) {
                        Socket socket = new Socket("127.0.0.1", port());
                        idle.add(socket);
                        if (i % 2 == 0)
                            socket.getOutputStream()
                                    .write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                    }
                    // Fed meanwhile: a stream without an event would be broken off before the silent watch is given up.
                    for (long calls = agent.count("GET /api/targets");
                            agent.count("GET /api/targets") <= calls + 20;
                            Thread.sleep(100)) {
                        stream.chunk("data: 2\n\n");
                    }
                    assertThat(say(adminPort, "GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n"))
                            .contains("gateway.cluster_size:2|g");
                    stream.chunk("data: [DONE]\n\n");
                    stream.last();
                    assertThat(World.untilLastChunk(client.getInputStream()))
                            .contains("[DONE]")
                            .endsWith("\r\n0\r\n\r\n");
                }
                silent.set(2);
                await("the new list is heard", () -> agent.count("GET /api/targets?index=9&") > 1);
                await(
                        "service is back",
                        () -> say(port(), World.request("a" + System.nanoTime(), "lookup", "5.0"))
                                .startsWith("HTTP/1.1 200"));
                assertThat(other.count("POST")).isPositive();
                assertThat(descriptors.toFile().list().length).isLessThanOrEqualTo(most);
                assertThat(log()).doesNotContain("Too many open files");
            } finally {
                gateway.destroyForcibly();
                for (Socket socket : idle) socket.close();
            }
        }
    }

    /** The machine's own way with SIGHUP would end the program; Java's, to ignore it where whoever starts it did. */
    @ParameterizedTest
    @ValueSource(strings = {"", "trap '' HUP TERM; "})
    void aHangupMovesTheWatchAndKeepsWhatIsOpen(String before) throws Exception {
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        StandIn.Handler begin = x -> {
            x.stream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        };
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(begin);
                StandIn other = new StandIn(begin);
                World world = new World().engine("r", "prefill", reader).engine("w", "decode", writer);
                World next = new World().engine("r", "prefill", reader).engine("w2", "decode", other)) {
            Path config = folder.resolve("config.json");
            Files.writeString(config, world.config("127.0.0.1:0"));
            Process gateway = start(
                    before + "RELAY_DISCOVERY=" + world.discovery().address() + " " + line("run"), config.toString());
            try {
                await("listening", () -> port() > 0);
                try (Socket client = new Socket("127.0.0.1", port())) {
                    client.getOutputStream()
                            .write(World.request("a1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
                    StandIn.Exchange stream = World.take(streams);
                    for (String text : List.of("{", "{\"settings\":{}}", next.config("127.0.0.1:0"))) {
                        Files.writeString(config, text);
                        assertThat(new ProcessBuilder("kill", "-HUP", "" + gateway.pid())
                                        .start()
                                        .waitFor())
                                .isZero();
                        if (text.startsWith("{\"s"))
                            await("named", () -> log().contains("config.settings.lanes: missing"));
                    }
                    await("moved", () -> log().contains("configuration reloaded discovery="));
                    await("watched", () -> next.discovery().count("GET /api/targets?index=") > 0);
                    stream.chunk("data: [DONE]\n\n");
                    stream.last();
                    client.getOutputStream()
                            .write(World.request("a2", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
                    await("the new list holds", () -> other.count("POST") == 1);
                    gateway.destroy();
                    stream = World.take(streams);
                    stream.endStream();
                    assertThat(World.readAll(client.getInputStream()))
                            .contains("[DONE]")
                            .endsWith("\r\n0\r\n\r\n");
                }
                await("ended", () -> !gateway.isAlive());
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /** Between the reading of the file and the first handler, the signal ended the program. */
    @Test
    void aHangupDuringTheStartIsObeyedAfterIt() throws Exception {
        try (StandIn reader = World.reader();
                StandIn writer = World.writer();
                World world = new World().engine("r", "prefill", reader).engine("w", "decode", writer);
                World next = new World().engine("r", "prefill", reader).engine("w", "decode", writer)) {
            Path pipe = folder.resolve("config.json");
            assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor())
                    .isZero();
            Process gateway = start(line("run"), pipe.toString());
            try {
                try (OutputStream first = Files.newOutputStream(pipe)) { // opens once the program reads
                    assertThat(new ProcessBuilder("kill", "-HUP", "" + gateway.pid())
                                    .start()
                                    .waitFor())
                            .isZero();
                    first.write(world.config("127.0.0.1:0").getBytes(StandardCharsets.UTF_8));
                }
                await("listening", () -> port() > 0);
                Files.writeString(pipe, next.config("127.0.0.1:0"));
                await(
                        "moved",
                        () -> log().contains("configuration reloaded discovery=/"
                                + next.discovery().address()));
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    @Test
    void theAdapterAnswersAnEmptyBatchAndEndsWithItsInput() throws Exception {
        Process adapter = start(line("sim"), null);
        adapter.getOutputStream().write(new byte[16]);
        adapter.getOutputStream().close();
        assertThat(adapter.getInputStream().readAllBytes()).isEqualTo(new byte[8]);
        assertThat(adapter.waitFor()).isZero();
    }

    @Test
    void theBuildRecordsTheClassesFromWhichTheProgramStarts() throws Exception {
        Process version = start(
                line("run")
                        .replaceFirst("-XX:SharedArchiveFile", "-Xshare:on $0")
                        .replace("-Xshare:auto", "")
                        .replaceFirst("serve$", "version"),
                null);
        assertThat(version.waitFor()).isZero();
    }

    @Test
    void badConfigurationEndsItWith2() throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, "{}");
        Process gateway = start(line("run"), config.toString());
        assertThat(gateway.waitFor()).isEqualTo(2);
        assertThat(Files.readString(folder.resolve("log"))).contains("config.settings: missing");
    }

    /** The packaged program before its own suite, by its own command line, over both transports. */
    @Test
    void theProgramConforms() throws Exception {
        try (StandIn tool = new StandIn(x -> x.reply(200, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}"));
                StandIn reader = World.reader();
                World world = new World().engine("r", "prefill", reader)) {
            Path config = folder.resolve("config.json");
            Path tools = folder.resolve("tools.json");
            Files.writeString(config, world.config("127.0.0.1:0"));
            // The example file as it stands, but for where things are.
            Files.writeString(
                    tools,
                    Files.readString(Path.of("deploy/tools.json"))
                            .replace("127.0.0.1:8790", "127.0.0.1:0")
                            .replace("{\"path\": \"/tools\"}", "{\"servers\": [\"" + tool.address() + "\"]}"));
            Process gateway = start(line("run") + " --tools " + tools, config.toString());
            Pattern at = Pattern.compile("tool calls listen on \\S*:(\\d+)\\s");
            try {
                await("listening", () -> at.matcher(log()).find());
                Matcher said = at.matcher(log());
                said.find();
                Process suite = new ProcessBuilder(
                                "java",
                                "-jar",
                                "target/maplerail.jar",
                                "conform",
                                "--address",
                                "127.0.0.1:" + said.group(1),
                                "--team",
                                "cyngor-glannau",
                                "--tool",
                                "columns.find")
                        .start();
                String report = new String(suite.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertThat(suite.waitFor()).as(report).isZero();
                assertThat(report).contains(" met, 0 failed").doesNotContain("FAILED");
            } finally {
                gateway.destroyForcibly();
            }
        }
    }
}
