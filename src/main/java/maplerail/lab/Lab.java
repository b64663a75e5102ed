package maplerail.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplerail.config.ConfigException;

/** The {@code lab} command: plays an experiment's file, or a small one of its own for who comes new. */
public final class Lab {
    private Lab() {}

    /**
     * {@code run FILE}, {@code emulate FILE} or {@code demo}, with the report in a folder; the command's status.
     * {@code alone}: emulated gateways hold no engines in common, to be set beside those that do.
     */
    public static int run(String verb, String file, boolean alone, Path to, PrintStream out, PrintStream errors)
            throws IOException, InterruptedException {
        Experiment experiment;
        try {
            String text = verb.equals("demo") ? demo() : Files.readString(Path.of(file));
            experiment = Experiment.read(
                    verb.equals("demo") ? "demo" : Path.of(file).getFileName().toString(), text);
        } catch (ConfigException e) {
            errors.println("maplerail: " + e.getMessage());
            return 2;
        } catch (IOException e) {
            errors.println("maplerail: " + file + ": cannot be read");
            return 2;
        }
        if (verb.equals("emulate")) return emulate(experiment, alone, to, out, errors);
        String line = Rig.ownLine();
        if (line == null) {
            errors.println("maplerail: the lab starts the packaged program: java -jar target/maplerail.jar lab ...");
            return 2;
        }
        Path logs = Files.createTempDirectory("maplerail-lab");
        out.printf(
                "%d gateways in %d zones, %d engines, %.0f s; their logs are in %s%n",
                experiment.gateways().size(),
                experiment.zones().size(),
                experiment.engines().size(),
                experiment.seconds(),
                logs);
        try (Rig rig = new Rig(experiment, logs, line)) {
            rig.start();
            out.println("all gateways serve; the load begins");
            Thread progress = progress(experiment, rig.ledger(), out);
            new Play(experiment, rig).run();
            progress.interrupt();
            Map<String, Long> faults = new TreeMap<>(rig.net().counts());
            if (rig.fabric().dropped.get() > 0)
                faults.put("datagrams dropped", rig.fabric().dropped.get());
            Report report = new Report(experiment, rig.ledger(), faults);
            List<Path> plots = report.write(to);
            report.summary(out);
            out.println("report.json, seconds.csv and plots are in " + to.toAbsolutePath() + ": "
                    + plots.stream().map(p -> p.getFileName().toString()).toList());
            return rig.ledger().broken().isEmpty() ? 0 : 1;
        }
    }

    private static int emulate(Experiment experiment, boolean alone, Path to, PrintStream out, PrintStream errors)
            throws IOException {
        Emulator emulator;
        try {
            emulator = new Emulator(experiment);
            if (alone) emulator.alone();
        } catch (ConfigException e) {
            errors.println("maplerail: " + e.getMessage());
            return 2;
        }
        long startedNs = System.nanoTime();
        Ledger ledger = emulator.run();
        double wallS = (System.nanoTime() - startedNs) / 1e9;
        Runtime memory = Runtime.getRuntime();
        Report report = new Report(experiment, ledger, emulator.faults());
        report.write(to);
        report.summary(out);
        out.printf(
                java.util.Locale.ROOT,
                "%d gateways over %d engines, %.0f s in %.1f s, %d events, %d MB held%n",
                experiment.gateways().size(),
                experiment.engines().size(),
                experiment.seconds(),
                wallS,
                emulator.events(),
                memory.totalMemory() - memory.freeMemory() >> 20);
        return ledger.broken().isEmpty() ? 0 : 1;
    }

    static String demo() throws IOException {
        try (var in = Lab.class.getResourceAsStream("/lab-demo.json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static Thread progress(Experiment experiment, Ledger ledger, PrintStream out) {
        return Wire.daemon("progress", () -> {
            for (int s = 5; s <= experiment.seconds(); s += 5) {
                Thread.sleep(5_000);
                double upTo = ledger.nowMs() - 2_000; // what came later may still be on its way
                out.printf(
                        "%3d s: %d requests, served %.3f of those so far%n",
                        s, ledger.pages().size(), ledger.served(0, upTo));
            }
        });
    }
}
