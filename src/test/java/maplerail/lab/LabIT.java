package maplerail.lab;

import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Several gateways of the packaged program on the lab's rig, with faults between them. */
class LabIT {
    @TempDir
    Path folder;

    private static String run() throws IOException {
        return maplerail.support.World.runLine().replaceFirst("^exec ", "");
    }

    private static Experiment experiment(String load, String faults) {
        return Experiment.read("test", """
                {"seed": 5, "seconds": 9, "zones": ["caerdydd", "abertawe"], "gateways": ["caerdydd", "caerdydd", "abertawe"],
                 "engines": [{"role": "reader", "zone": "caerdydd", "tokens_per_ms": 40, "slots": 8},
                  {"role": "reader", "zone": "abertawe", "tokens_per_ms": 40, "slots": 8},
                  {"role": "writer", "zone": "caerdydd", "ms_per_token": 5}, {"role": "writer", "zone": "abertawe", "ms_per_token": 5}],
                 "load": {%s}, "faults": [%s]}""".formatted(load, faults));
    }

    /** Counted to the request: each has its one end, no order has its effect twice, and the zones that are whole serve on. */
    @Test
    void aZoneThatIsCutOffForSecondsLosesNoRequest() throws Exception {
        Experiment experiment = experiment(
                "\"per_second\": 15, \"answer_tokens\": 40",
                "{\"kind\": \"cut\", \"zone\": \"abertawe\", \"at\": 3, \"for\": 3}");
        try (Rig rig = new Rig(experiment, folder, run())) {
            rig.start();
            new Play(experiment, rig).run();
            Ledger ledger = rig.ledger();
            assertThat(ledger.pages())
                    .hasSameSizeAs(Load.plan(experiment))
                    .allSatisfy(page -> assertThat(page.end()).isNotNull());
            assertThat(ledger.broken()).isEmpty();
            assertThat(ledger.ended(Ledger.End.CLOSED)
                            + ledger.ended(Ledger.End.TIMED_OUT)
                            + ledger.ended(Ledger.End.UNREACHABLE))
                    .as("without an answer")
                    .isZero();
            assertThat(rig.net().counts().getOrDefault("silent", 0L)
                            + rig.fabric().dropped.get())
                    .as("the cut took something")
                    .isPositive();
            assertThat(ledger.served(0, 3_000)).as("before").isGreaterThan(0.95);
            // The emulator's gateways have the same module and the same load: what it says of this cut is about what
            // happened.
            Ledger model = new Emulator(experiment).run();
            assertThat(model.pages()).hasSameSizeAs(ledger.pages());
            assertThat(model.served(0, 9_000)).isCloseTo(ledger.served(0, 9_000), within(0.05));
        }
    }

    /**
     * Four gateways hold each other to be there, whatever a lossy path does; one that is killed, stopped or cut off is
     * missed by the others, and is back with them after that. It blames nobody for the time that it lost.
     */
    @Test
    void gatewaysKnowWhichOfThemAreThere() throws Exception {
        Experiment experiment = Experiment.read("members", """
                {"seed": 3, "seconds": 6, "zones": ["z"], "gateways": ["z", "z", "z", "z"],
                 "engines": [{"role": "reader", "zone": "z", "tokens_per_ms": 40}, {"role": "writer", "zone": "z", "ms_per_token": 2}],
                 "load": {"per_second": 10}, "faults": [{"kind": "peers_drop", "at": 0, "for": 6, "amount": 0.3}]}""");
        try (Rig rig = new Rig(experiment, folder, run())) {
            rig.start();
            all(rig, 4, 0, 1, 2, 3);
            new Play(experiment, rig).run();
            rig.fabric().drop(0);
            all(rig, 4, 0, 1, 2, 3);
            for (int g = 0; g < 4; g++)
                assertThat(rig.figure(g, "member_deaths")).as("for loss alone").isZero();
            assertThat(rig.fabric().dropped.get()).isPositive();
            rig.signal(3, "KILL");
            all(rig, 3, 0, 1, 2);
            rig.launch(3);
            rig.awaitReady(3);
            all(rig, 4, 0, 1, 2, 3);
            rig.signal(2, "STOP");
            all(rig, 3, 0, 1, 3);
            rig.signal(2, "CONT");
            all(rig, 4, 0, 1, 2, 3);
            assertThat(rig.figure(2, "member_deaths")).isZero();
            rig.fabric().partition(java.util.Set.of(1), true);
            all(rig, 3, 0, 2, 3);
            all(rig, 1, 1);
            rig.fabric().partition(java.util.Set.of(1), false);
            all(rig, 4, 0, 1, 2, 3);
        }
    }

    /**
     * One of four writers fails for good: once several gateways said so, all but the owners leave it alone, so that what it
     * gets does not grow with the gateways; healed, it is used again.
     */
    @Test
    void whatFailsSeveralGatewaysIsLeftAloneByTheTier() throws Exception {
        Experiment experiment = Experiment.read("outlier", """
                {"seed": 8, "seconds": 10, "zones": ["z"], "gateways": ["z", "z", "z", "z"],
                 "engines": [{"role": "reader", "zone": "z", "tokens_per_ms": 60, "slots": 8},
                  {"role": "writer", "zone": "z", "ms_per_token": 2, "count": 4}],
                 "load": {"per_second": 40, "answer_tokens": 20, "unsafe_share": 0.2},
                 "faults": [{"kind": "fail", "engine": "w-z-1", "at": 1}]}""");
        try (Rig rig = new Rig(experiment, folder, run())) {
            rig.start();
            new Play(experiment, rig).run();
            Ledger ledger = rig.ledger();
            assertThat(ledger.broken()).isEmpty();
            long holding = java.util.stream.IntStream.range(0, 4)
                    .filter(g -> said(g, "engine ejected by the tier"))
                    .count();
            assertThat(holding).as("gateways that left it alone").isGreaterThanOrEqualTo(2);
            long failing = ledger.count("engine w-z-1", 4, 10);
            // Their mean: which of the others a small load goes to is a matter of the first streams' pace.
            double well = java.util.stream.IntStream.rangeClosed(2, 4)
                    .mapToLong(i -> ledger.count("engine w-z-" + i, 4, 10))
                    .average()
                    .orElseThrow();
            assertThat((double) failing)
                    .as("sent to the failing one, of " + well + " to each of the others")
                    .isLessThan(well / 4);
            rig.engines().get(1).failing(false);
            for (int g = 0; g < 4; g++) {
                int gateway = g;
                await("used again at " + g, () -> rig.figure(gateway, "outliers_held") == 0);
            }
        }
    }

    /** News that a gateway can't hear reach it once its way to discovery is whole again; it serves on meanwhile. */
    @Test
    void aGatewayWithoutDiscoveryServesOnAndHearsLater() throws Exception {
        Experiment experiment = experiment("\"per_second\": 1", "");
        try (Rig rig = new Rig(experiment, folder, run())) {
            rig.start();
            rig.discovery(0, FaultNet.Fault.cut(false));
            rig.tell("r-caerdydd-0", "terminated");
            await(
                    "heard by the others",
                    () -> rig.figure(1, "cluster_size") == 3 && rig.figure(2, "cluster_size") == 3);
            assertThat(rig.figure(0, "cluster_size")).isEqualTo(4);
            rig.discovery(0, FaultNet.Fault.NONE);
            await("heard at last", () -> rig.figure(0, "cluster_size") == 3);
        }
    }

    /** The lab's own process is killed: the gateways that it started end with it. */
    @Test
    void nothingIsLeftOfALabThatIsKilled() throws Exception {
        Path file = folder.resolve("long.json");
        Files.writeString(file, """
                {"seconds": 600, "zones": ["z"], "gateways": ["z", "z"], "load": {"per_second": 1},
                 "engines": [{"role": "reader", "zone": "z", "tokens_per_ms": 60}, {"role": "writer", "zone": "z", "ms_per_token": 2}]}""");
        Path said = folder.resolve("said");
        Process lab = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-jar",
                        "target/maplerail.jar",
                        "lab",
                        "run",
                        file.toString(),
                        "--out",
                        folder.resolve("out").toString())
                .redirectErrorStream(true)
                .redirectOutput(said.toFile())
                .start();
        try {
            await("serving", () -> {
                try {
                    return Files.readString(said).contains("all gateways serve");
                } catch (IOException e) {
                    return false;
                }
            });
            List<ProcessHandle> started = lab.descendants().toList();
            assertThat(started.stream()
                            .filter(p -> p.info().command().orElse("").endsWith("java")))
                    .hasSize(2);
            lab.destroyForcibly();
            for (ProcessHandle one : started) await("ended " + one.pid(), () -> !one.isAlive());
        } finally {
            lab.descendants().forEach(ProcessHandle::destroyForcibly);
            lab.destroyForcibly();
        }
    }

    @Test
    void aGatewayThatDoesNotStartIsSaidWithItsLog() throws Exception {
        try (Rig rig = new Rig(experiment("\"per_second\": 1", ""), folder, "sh -c 'echo no such thing >&2; exit 3'")) {
            org.assertj.core.api.Assertions.assertThatThrownBy(rig::start)
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("does not start")
                    .hasMessageContaining("no such thing");
        }
    }

    private boolean said(int gateway, String text) {
        try {
            return Files.readString(folder.resolve("g" + gateway + "-0.log")).contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    private static void all(Rig rig, int alive, int... gateways) throws Exception {
        for (int g : gateways) await(alive + " at " + g, () -> rig.figure(g, "members_alive") == alive);
    }

    /** One that is stopped, one killed, and the rig's end: nothing is left running. */
    @Test
    void gatewaysStopAndDieAndNoneIsLeftBehind() throws Exception {
        Experiment experiment = experiment("\"per_second\": 1", "");
        List<Long> pids;
        try (Rig rig = new Rig(experiment, folder, run())) {
            rig.start();
            pids = java.util.stream.IntStream.range(0, 3).mapToObj(rig::process).toList();
            rig.signal(0, "KILL");
            await("killed", () -> !rig.alive(0));
            rig.launch(0);
            rig.awaitReady(0);
            assertThat(rig.process(0)).isNotEqualTo(pids.get(0));
            rig.signal(1, "STOP");
            assertThat(rig.alive(1)).isTrue();
            rig.signal(1, "CONT");
            assertThat(rig.figure(1, "cluster_size")).isEqualTo(4);
            pids = java.util.stream.IntStream.range(0, 3).mapToObj(rig::process).toList();
        }
        for (long pid : pids)
            await("ended", () -> ProcessHandle.of(pid).map(p -> !p.isAlive()).orElse(true));
    }
}
