package maplerail.incident;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayProcess;
import maplerail.support.KeptConnection;
import maplerail.support.StandInFleet;
import maplerail.support.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A gateway that has had too much to do for a while, and what it does once the load is taken away. */
class OverloadRecoveryIT {
    private static final long OVERLOAD_MS = 3_000;
    private static final long STOPPED_MS = 85; // of each 100 ms of the overload
    private static final long RUNNING_MS = 15;
    private static final int CROWD_A_STEP = 10; // requests, each on a connection of its own
    private static final double RECOVERED_MS = 1_000; // after the load's end
    private static final int REQUESTS_AFTER = 20;
    private static final double ANSWERED_MS = 500; // of which a read takes 130 at most
    private static final double HELD_LIMIT_MS = 800;

    @TempDir
    Path folder;

    private final Map<String, Long> odd = new ConcurrentHashMap<>();
    private final List<KeptConnection> clients = new ArrayList<>();

    private void send(int port, String id, boolean judged) throws Exception {
        double sentMs = KeptConnection.nowMs();
        KeptConnection client = new KeptConnection(port, answer -> {
            long tookMs = Math.round(KeptConnection.nowMs() - sentMs);
            if (judged && (answer.status() != 200 || tookMs > ANSWERED_MS)) odd.put(id + " " + answer.status(), tookMs);
        });
        client.send(World.request(id, "lookup", "3.0"));
        clients.add(client);
    }

    /** Guards against a collapse that outlasts its cause: dials given up and made anew, each of which makes the loop later. */
    @Test
    void oneSecondAfterALoadIsTakenAwayRequestsAreServedAsBefore() throws Exception {
        try (World world = new World().admin();
                StandInFleet fleet = new StandInFleet(7, 3, 4, world);
                GatewayProcess gateway = GatewayProcess.start(folder, world.config("127.0.0.1:0"), null)) {
            int port = gateway.port("listens on");
            for (int i = 0; i < REQUESTS_AFTER; i++) send(port, "warm" + i, false);
            World.await("warm", () -> clients.stream().allMatch(client -> client.lastUnansweredMs() < 0));
            double untilMs = KeptConnection.nowMs() + OVERLOAD_MS;
            for (int step = 0; KeptConnection.nowMs() < untilMs; step++) {
                gateway.signal("STOP");
                for (int i = 0; i < CROWD_A_STEP; i++) send(port, "crowd" + step + "-" + i, false);
                TimeUnit.MILLISECONDS.sleep(STOPPED_MS);
                gateway.signal("CONT");
                TimeUnit.MILLISECONDS.sleep(RUNNING_MS);
            }
            TimeUnit.MILLISECONDS.sleep((long) RECOVERED_MS);
            for (int i = 0; i < REQUESTS_AFTER; i++) {
                send(port, "after" + i, true);
                TimeUnit.MILLISECONDS.sleep(25);
            }
            World.await("all answered", () -> clients.stream().allMatch(client -> client.lastUnansweredMs() < 0));
            System.out.println("overload of " + clients.size() + " requests: " + figures(gateway));
            assertThat(odd)
                    .as("status of a request after the load, and its time in ms")
                    .isEmpty();
            assertThat(gateway.figure("current")).isZero();
            assertThat(fleet.ledger.heldLongerThan(HELD_LIMIT_MS)).isEmpty();
            for (KeptConnection client : clients) client.close();
        }
    }

    private static Map<String, Long> figures(GatewayProcess gateway) {
        Map<String, Long> figures = new TreeMap<>();
        for (String name : List.of(
                "timer_delay_ms_count",
                "timer_delay_ms_le_100",
                "dials_begun",
                "dials_up",
                "dials_kept",
                "dials_given_up",
                "dial_ms_le_100",
                "loop_turn_ms_count",
                "loop_turn_ms_le_50",
                "deferred.lookup",
                "answered.lookup")) figures.put(name, gateway.figure(name));
        return figures;
    }
}
