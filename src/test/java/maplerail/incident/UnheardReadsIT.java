package maplerail.incident;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayProcess;
import maplerail.support.RequestLoad;
import maplerail.support.StandInFleet;
import maplerail.support.StandInFleet.Engine;
import maplerail.support.World;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Incident 45: states whose reads were not heard, or that engines leave long after the gateway gave the read up. Each is
 * released or taken within the limit of the settings (500 ms here) and the 300 ms more that the platform allows.
 */
class UnheardReadsIT {
    private static final double LIMIT_MS = 800;
    private static final int REQUESTS = 40;
    private static final int WARM_UP_REQUESTS = 12;
    private static final long BETWEEN_REQUESTS_MS = 25;
    private static final int FAULT_AT_REQUEST = 12;
    private static final String DEADLINE = "3.0";
    private static final long WATCHED_MS = 5_000; // after the last request: its deadline, and what is released then
    private static final long STEP_MS = 200;
    private static final long HANG_MS = 3_500;
    private static final long TERM_HANG_MS = 2_500;
    private static final long TERM_AFTER_HANG_MS = 200;

    @TempDir
    Path folder;

    /** What happens amid the load. */
    enum Fault {
        ANSWERS_OF_READERS_UNHEARD {
            @Override
            void begin(StandInFleet fleet, GatewayProcess gateway) {
                fleet.readers.forEach(reader -> reader.link.muteOpen());
            }
        },
        ANSWERS_OF_ALL_UNHEARD {
            @Override
            void begin(StandInFleet fleet, GatewayProcess gateway) {
                fleet.engines().forEach(engine -> engine.link.muteOpen());
            }
        },
        ALL_SILENT {
            @Override
            void begin(StandInFleet fleet, GatewayProcess gateway) {
                fleet.engines().forEach(engine -> engine.link.silenceOpen());
            }
        },
        READERS_SILENT_WRITERS_DECLINE {
            @Override
            void begin(StandInFleet fleet, GatewayProcess gateway) {
                fleet.writersDecline = true;
                fleet.readers.forEach(reader -> reader.link.silenceOpen());
            }
        },
        ALL_SILENT_READERS_RESET_NEW_CONNECTIONS {
            @Override
            void begin(StandInFleet fleet, GatewayProcess gateway) {
                fleet.readers.forEach(reader -> reader.link.resetNew());
                fleet.engines().forEach(engine -> engine.link.silenceOpen());
            }
        },
        A_READER_AND_THE_WRITERS_SILENT {
            @Override
            void begin(StandInFleet fleet, GatewayProcess gateway) {
                fleet.readers.get(0).link.silenceOpen();
                fleet.writers.forEach(writer -> writer.link.silenceOpen());
            }
        },
        ONE_AFTER_ANOTHER_UNHEARD {
            @Override
            void begin(StandInFleet fleet, GatewayProcess gateway) {
                background(() -> {
                    for (Engine engine : fleet.engines()) {
                        engine.link.muteOpen();
                        TimeUnit.MILLISECONDS.sleep(STEP_MS);
                    }
                });
            }
        },
        ANSWERS_OF_READERS_NEVER_END {
            @Override
            void begin(StandInFleet fleet, GatewayProcess gateway) {
                fleet.readersNeverEndAnswers = true;
            }
        },
        A_READER_HANGS {
            @Override
            void begin(StandInFleet fleet, GatewayProcess gateway) {
                fleet.readers.get(0).freeze(HANG_MS);
            }
        },
        ALL_READERS_HANG {
            @Override
            void begin(StandInFleet fleet, GatewayProcess gateway) {
                fleet.readers.forEach(reader -> reader.freeze(HANG_MS));
            }
        },
        A_READER_HANGS_AND_THE_PROCESS_IS_TOLD_TO_END {
            @Override
            void begin(StandInFleet fleet, GatewayProcess gateway) {
                fleet.readers.get(0).freeze(TERM_HANG_MS);
                background(() -> {
                    TimeUnit.MILLISECONDS.sleep(TERM_AFTER_HANG_MS);
                    gateway.signal("TERM");
                });
            }
        };

        abstract void begin(StandInFleet fleet, GatewayProcess gateway) throws Exception;

        private interface Step {
            void run() throws Exception;
        }

        private static void background(Step step) {
            Thread thread = new Thread(() -> {
                try {
                    step.run();
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
    }

    @ParameterizedTest
    @EnumSource
    void everyStateIsReleasedInTimeWhateverBecomesOfItsRead(Fault fault) throws Exception {
        playAmid(fault, new World());
    }

    /** Where the settings permit it, writers are asked about reads that go unheard. */
    @ParameterizedTest
    @EnumSource(
            names = {
                "ANSWERS_OF_READERS_UNHEARD",
                "ANSWERS_OF_ALL_UNHEARD",
                "ALL_SILENT_READERS_RESET_NEW_CONNECTIONS",
                "A_READER_HANGS"
            })
    void everyStateIsReleasedInTimeWhereWritersAreAskedAboutReads(Fault fault) throws Exception {
        playAmid(fault, new World().settings("\"pinLimitMs\"", "\"earlyPairing\":true,\"pinLimitMs\""));
    }

    private void playAmid(Fault fault, World surroundings) throws Exception {
        try (World world = surroundings;
                StandInFleet fleet = new StandInFleet(7, 3, 4, world);
                GatewayProcess gateway = GatewayProcess.start(folder, world.config("127.0.0.1:0"), null)) {
            RequestLoad load = new RequestLoad(gateway.port("listens on"), DEADLINE);
            for (int i = 0; i < WARM_UP_REQUESTS; i++) load.send("warm" + i);
            load.awaitAnswered();
            for (int i = 0; i < REQUESTS; i++) {
                if (i == FAULT_AT_REQUEST) fault.begin(fleet, gateway);
                load.trySend("held" + i);
                TimeUnit.MILLISECONDS.sleep(BETWEEN_REQUESTS_MS);
            }
            TimeUnit.MILLISECONDS.sleep(WATCHED_MS);
            Map<String, Long> late = fleet.ledger.heldLongerThan(LIMIT_MS);
            assertThat(fleet.ledger.size()).isGreaterThan(WARM_UP_REQUESTS + FAULT_AT_REQUEST);
            assertThat(late)
                    .as("held for so many ms, %s; log:%n%s", fault, RequestLoad.linesOf(late.keySet(), gateway.log()))
                    .isEmpty();
            load.close();
        }
    }
}
