package maplerail.incident;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayProcess;
import maplerail.support.RequestLoad;
import maplerail.support.StandInFleet;
import maplerail.support.World;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Incident 69: places that writers keep for a request whose reads were written and never begun. Each place and state is
 * released or taken within the limit of the settings (500 ms here) and the 300 ms more that the platform allows.
 */
class HeldPlacesIT {
    private static final double LIMIT_MS = 800;
    private static final int REQUESTS = 16;
    private static final int WARM_UP_REQUESTS = 12;
    private static final long BETWEEN_REQUESTS_MS = 250;
    private static final int FAULT_AT_REQUEST = 2;
    private static final String DEADLINE = "5.0";
    private static final long WATCHED_MS = 6_000; // after the last request: its deadline, and what is released then
    private static final long FREEZE_MS = 3_000;
    private static final long LONG_FREEZE_MS = 4_000;
    private static final long SLOW_READ_MS = 2_500;

    @TempDir
    Path folder;

    /** What happens amid the load; a frozen engine takes connections and bytes, and begins nothing. */
    enum Fault {
        ALL_READERS_FROZEN {
            @Override
            void begin(StandInFleet fleet) {
                fleet.readers.forEach(reader -> reader.freeze(FREEZE_MS));
            }
        },
        A_READER_FROZEN_AND_OPEN_CONNECTIONS_TO_OTHERS_SILENT {
            @Override
            void begin(StandInFleet fleet) {
                fleet.readers.get(0).freeze(LONG_FREEZE_MS);
                fleet.readers.stream().skip(1).forEach(reader -> reader.link.silenceOpen());
            }
        },
        READERS_FROZEN_AND_WRITERS_TOO {
            @Override
            void begin(StandInFleet fleet) {
                fleet.readers.forEach(reader -> reader.freeze(FREEZE_MS));
                fleet.writers.stream().limit(2).forEach(writer -> writer.freeze(FREEZE_MS));
            }
        },
        SLOW_READS_AND_READERS_SILENT {
            @Override
            void begin(StandInFleet fleet) {
                fleet.slowReadOneIn = 3;
                fleet.slowReadMs = SLOW_READ_MS;
                fleet.readers.forEach(reader -> reader.link.silenceOpen());
            }
        };

        abstract void begin(StandInFleet fleet);
    }

    /** Guards against releases that wait for a read which was written and has not arrived anywhere. */
    @ParameterizedTest
    @CsvSource({
        "ALL_READERS_FROZEN, 3",
        "ALL_READERS_FROZEN, 4",
        "ALL_READERS_FROZEN, 5",
        "A_READER_FROZEN_AND_OPEN_CONNECTIONS_TO_OTHERS_SILENT, 3",
        "READERS_FROZEN_AND_WRITERS_TOO, 3",
        "SLOW_READS_AND_READERS_SILENT, 3"
    })
    void everyPlaceIsReleasedInTimeWhateverBecomesOfTheReads(Fault fault, long seed) throws Exception {
        try (World world = new World().settings("\"pinLimitMs\"", "\"earlyPairing\":true,\"pinLimitMs\"");
                StandInFleet fleet = new StandInFleet(seed, 3, 4, world);
                GatewayProcess gateway = GatewayProcess.start(folder, world.config("127.0.0.1:0"), null)) {
            fleet.unknownPlaceOdds = 1;
            RequestLoad load = new RequestLoad(gateway.port("listens on"), DEADLINE);
            for (int i = 0; i < WARM_UP_REQUESTS; i++) load.send("warm" + i);
            load.awaitAnswered();
            for (int i = 0; i < REQUESTS; i++) {
                if (i == FAULT_AT_REQUEST) fault.begin(fleet);
                load.send("held" + i);
                TimeUnit.MILLISECONDS.sleep(BETWEEN_REQUESTS_MS);
            }
            TimeUnit.MILLISECONDS.sleep(WATCHED_MS);
            Map<String, Long> late = fleet.ledger.heldLongerThan(LIMIT_MS);
            System.out.println(
                    fault + " " + seed + ": places " + fleet.ledger.placesKept() + ", held too long " + late);
            assertThat(fleet.ledger.size()).isGreaterThan(WARM_UP_REQUESTS + FAULT_AT_REQUEST);
            assertThat(fleet.ledger.placesKept()).isPositive();
            assertThat(late)
                    .as("held for so many ms, %s; log:%n%s", fault, RequestLoad.linesOf(late.keySet(), gateway.log()))
                    .isEmpty();
            load.close();
        }
    }
}
