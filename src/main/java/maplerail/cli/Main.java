package maplerail.cli;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import maplerail.config.ConfigException;
import maplerail.config.NodeConfig;
import maplerail.config.ToolsConfig;
import maplerail.conform.Suite;
import maplerail.conform.Target;
import maplerail.lab.Lab;
import maplerail.server.ClassArchiveTraining;
import maplerail.server.ConfigReloader;
import maplerail.server.Gateway;
import maplerail.server.SignalHandlers;
import maplerail.sim.Adapter;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The command line. */
public final class Main {
    private static final int BUFFER = 1 << 16;
    private static final long CONFORM_WAIT_MS = 10_000;
    private static final String USAGE = """
            usage: maplerail COMMAND [--config FILE] [--tools FILE]
              serve          run a gateway; its configuration is FILE, else $RELAY_CONFIG;
                             --tools switches the JSON-RPC front on, set up in that file
              check-config   read a configuration and say what is wrong with it
              adapter        decide on the simulator's wire, on standard input and output
              conform        try a server of tool calls at --address HOST:PORT (--path, /rpc) as --team NAME,
                             calling --tool NAME, which must do no harm; a line for each requirement
              lab            'lab demo' starts stand-ins, gateways and a short load on loopback, with faults, and reports;
                             'lab run FILE' plays an experiment's file, 'lab emulate FILE' in virtual time, at any size;
                             (--alone: gateways hold no failing engine in common); the report goes to --out
                             FOLDER (lab-report)
              rehearse       start, ask itself a few things and stop; the build records its classes
              version        print the version
              help           print this
            """;

    private Main() {}

    /** Runs a command and exits with its status: 0 done, 1 failed, 2 bad usage or configuration. */
    public static void main(String[] args) throws Exception {
        System.setProperty("org.jboss.logging.provider", "slf4j"); // XNIO and Undertow log where we do
        int status = run(args, System.getenv(), System.out, System.err);
        System.out.flush();
        System.err.flush();
        if (status >= 0) System.exit(status);
    }

    /** Runs a command; -1 for a program that goes on and ends by itself. */
    static int run(String[] args, Map<String, String> environment, PrintStream out, PrintStream errors)
            throws Exception {
        String command = args.length == 0 ? "" : args[0];
        Options options = new Options();
        if (command.equals("serve") || command.equals("check-config")) {
            options.addOption("c", "config", true, "the configuration file");
            options.addOption("t", "tools", true, "the operator's file for tool calls");
        }
        if (command.equals("conform")) {
            for (String name : List.of("address", "team", "tool")) {
                options.addOption(
                        Option.builder().longOpt(name).hasArg().required().get());
            }
            options.addOption(null, "path", true, "where it serves");
        }
        if (command.equals("lab")) {
            options.addOption(null, "out", true, "the report's folder");
            options.addOption(null, "alone", false, "emulated gateways hold no engines in common");
        }
        CommandLine line;
        try {
            String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
            line = new DefaultParser().parse(options, rest);
            int words = command.equals("lab") ? words(line.getArgList()) : 0;
            if (line.getArgList().size() > words)
                throw new ParseException("what is '" + line.getArgList().get(words) + "'?");
        } catch (ParseException e) {
            errors.print("maplerail: " + e.getMessage() + "\n" + USAGE);
            return 2;
        }
        switch (command) {
            case "serve", "check-config" -> {
                return configured(
                        command,
                        line.getOptionValue("config", environment.get("RELAY_CONFIG")),
                        line.getOptionValue("tools"),
                        environment,
                        out,
                        errors);
            }
            case "adapter" -> {
                return Adapter.run(
                        new BufferedInputStream(new FileInputStream(FileDescriptor.in), BUFFER),
                        new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER),
                        errors);
            }
            case "conform" -> {
                return conform(
                        new Target(
                                line.getOptionValue("address"),
                                line.getOptionValue("path", "/rpc"),
                                line.getOptionValue("team"),
                                line.getOptionValue("tool"),
                                CONFORM_WAIT_MS),
                        out);
            }
            case "lab" -> {
                List<String> words = line.getArgList();
                return Lab.run(
                        words.get(0),
                        words.size() > 1 ? words.get(1) : null,
                        line.hasOption("alone"),
                        Path.of(line.getOptionValue("out", "lab-report")),
                        out,
                        errors);
            }
            case "rehearse" -> {
                ClassArchiveTraining.run();
                return 0;
            }
            case "version" -> {
                String version = Main.class.getPackage().getImplementationVersion();
                out.println("maplerail " + (version == null ? "unpackaged" : version));
                return 0;
            }
            case "help", "--help", "-h" -> {
                out.print(USAGE);
                return 0;
            }
            default -> {
                errors.print(USAGE);
                return 2;
            }
        }
    }

    private static int conform(Target target, PrintStream out) throws InterruptedException {
        List<Suite.Outcome> all = new Suite(target).run();
        for (Suite.Outcome one : all) {
            out.printf(
                    "%-6s %2d %-9s %s (%s)%s%n",
                    one.fault() == null ? "met" : "FAILED",
                    one.number(),
                    one.transport(),
                    one.text(),
                    one.clause(),
                    one.fault() == null ? "" : ": " + one.fault());
        }
        long failed = all.stream().filter(one -> one.fault() != null).count();
        out.println(all.size() - failed + " met, " + failed + " failed");
        return failed == 0 ? 0 : 1;
    }

    private static int configured(
            String command,
            String file,
            String toolsFile,
            Map<String, String> environment,
            PrintStream out,
            PrintStream errors)
            throws Exception {
        NodeConfig config;
        ToolsConfig tools;
        String text;
        // Guards against a signal between the file's reading and the first moment in which it could be read again: the
        // machine's own way with it would end the program.
        CompletableFuture<Runnable> reloading = new CompletableFuture<>();
        if (command.equals("serve"))
            SignalHandlers.onHangup(() -> reloading.join().run());
        try {
            if (file == null) throw new ConfigException("RELAY_CONFIG: missing, and no --config");
            text = read(file);
            config = NodeConfig.read(text, environment);
            tools = toolsFile == null ? null : ToolsConfig.read(read(toolsFile));
        } catch (ConfigException e) {
            errors.println("maplerail: " + e.getMessage());
            return 2;
        }
        if (command.equals("check-config")) {
            out.println("maplerail: the configuration of " + config.name() + " can be used");
            return 0;
        }
        String shared = config.inherited() ? environment.get("TMPDIR") : null;
        Gateway gateway = new Gateway(config, tools, shared == null || shared.isEmpty() ? null : Path.of(shared));
        // The environment is as old as the process: after a new file it no longer comes first.
        Map<String, String> left = new HashMap<>(environment);
        left.remove("RELAY_DISCOVERY");
        ConfigReloader reloader = new ConfigReloader(Main::read, gateway::onConfigRejected);
        AtomicReference<String> inForce = new AtomicReference<>(text);
        reloading.complete(() -> reloader.run(() -> {
            reloader.reload(file, news -> {
                gateway.reload(NodeConfig.next(news, inForce.get(), left));
                inForce.set(news);
            });
            if (toolsFile != null) reloader.reload(toolsFile, news -> gateway.reload(ToolsConfig.read(news)));
        }));
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            gateway.drain();
                            try {
                                gateway.join();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "drain"));
        try {
            gateway.start();
        } catch (ConfigException e) {
            errors.println("maplerail: " + e.getMessage());
            return 2;
        }
        return -1;
    }

    /** How many words belong to a use of the lab. */
    private static int words(List<String> given) throws ParseException {
        if (given.equals(List.of("demo"))) return 1;
        if (given.size() >= 2 && Set.of("run", "emulate").contains(given.get(0))) return 2;
        throw new ParseException("lab: 'demo', 'run FILE' or 'emulate FILE'");
    }

    private static String read(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new ConfigException(file + ": cannot be read");
        }
    }
}
