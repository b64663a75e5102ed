package maplerail.support;

import static maplerail.support.World.await;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The packaged program as the deploy file starts it, in a process of its own with its log in a file. */
public final class GatewayProcess implements AutoCloseable {
    private final Process process;
    private final Path log;

    private GatewayProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /** Starts a gateway in a folder, with tool calls if {@code tools} is not null, and waits until it is ready. */
    public static GatewayProcess start(Path folder, String config, String tools) throws Exception {
        Path configFile = Files.writeString(folder.resolve("config.json"), config);
        Path log = folder.resolve("log");
        String run = World.runLine();
        if (tools != null) run += " --tools " + Files.writeString(folder.resolve("tools.json"), tools);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.environment().put("RELAY_CONFIG", configFile.toString());
        builder.environment().put("TMPDIR", folder.toString());
        GatewayProcess gateway =
                new GatewayProcess(builder.redirectError(log.toFile()).start(), log);
        await(
                "ready",
                () -> World.say(
                                gateway.port("listens on"),
                                "GET /-/ready HTTP/1.1\r\nHost: x\r\n" + "Connection: close\r\n\r\n")
                        .startsWith("HTTP/1.1 200"));
        return gateway;
    }

    public String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return "";
        }
    }

    /** The port that follows a phrase in the log; 0 while it is not there. */
    public int port(String phrase) {
        Matcher said = Pattern.compile("INFO \\S+ - (?:n0 )?" + phrase + " \\S*:(\\d+)\\s")
                .matcher(log());
        return said.find() ? Integer.parseInt(said.group(1)) : 0;
    }

    /** What operators are answered. */
    public String call(String call) {
        return World.say(port("operators are answered at"), call + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    /** A figure as operators read it; -1 if there is none of that name. */
    public long figure(String name) {
        Matcher value = Pattern.compile("gateway\\." + Pattern.quote(name) + ":(\\d+)\\|")
                .matcher(call("GET /_vars"));
        return value.find() ? Long.parseLong(value.group(1)) : -1;
    }

    public void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** The most memory that the process has had resident so far, in KiB. */
    public long peakMemoryKb() throws IOException {
        Matcher peak = Pattern.compile("VmHWM:\\s+(\\d+) kB")
                .matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
        return peak.find() ? Long.parseLong(peak.group(1)) : -1;
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
