import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The platform on days with a new version under load: keeps the clients' listening socket, and starts each process with
 * it as descriptor 0. Java cannot hand a socket to a child, so a few lines of Perl do.
 */
final class Platform implements AutoCloseable {
    private static final String PERL = """
            use Socket; $^F = 50; $| = 1; $SIG{CHLD} = 'IGNORE';
            socket(S, PF_INET, SOCK_STREAM, 0) and bind(S, sockaddr_in(0, inet_aton('127.0.0.1'))) and listen(S, 1024) or die;
            print +(sockaddr_in(getsockname(S)))[0], "\\n";
            while (my $line = <STDIN>) {
              my $pid = fork();
              if (!$pid) { open(STDIN, '<&S'); exec('/bin/sh', '-c', $line); }
              push @started, $pid; print "$pid\\n";
            }
            kill 9, @started;
            """;

    private final Process perl;
    private final BufferedReader said;
    private final List<Long> processes = new ArrayList<>();
    final int port;

    Platform(Path folder) throws IOException {
        perl = new ProcessBuilder("perl", "-e", PERL)
                .directory(Kit.root().toFile())
                .redirectError(folder.resolve("platform.log").toFile())
                .start();
        Kit.STARTED.add(perl);
        said = new BufferedReader(new InputStreamReader(perl.getInputStream(), StandardCharsets.UTF_8));
        port = Integer.parseInt(said.readLine());
    }

    /** Starts a gateway by the deploy file's command; returns its process id. */
    long start(Path folder, String name, String config) throws IOException {
        Path file = Files.writeString(folder.resolve(name + ".json"), config);
        String line = "export RELAY_INHERITED_FD=0 TMPDIR=" + folder + " RELAY_CONFIG=" + file + "; " + Kit.runLine()
                + " >" + folder.resolve(name + ".log") + " 2>&1\n";
        perl.getOutputStream().write(line.getBytes(StandardCharsets.UTF_8));
        perl.getOutputStream().flush();
        long pid = Long.parseLong(said.readLine());
        processes.add(pid);
        return pid;
    }

    static boolean isAlive(long pid) {
        return ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
    }

    /** Ends what it started. */
    @Override
    public void close() throws Exception {
        for (long pid : processes) ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
        perl.getOutputStream().close();
        perl.waitFor();
    }
}
