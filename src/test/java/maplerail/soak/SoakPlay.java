package maplerail.soak;

import java.net.ConnectException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import maplerail.lab.FaultNet;
import maplerail.soak.SoakClient.Sent;
import maplerail.soak.SoakPictures.Burst;
import maplerail.soak.SoakPlan.Fault;
import maplerail.soak.SoakPlan.Signal;
import maplerail.support.Flood;
import maplerail.support.GatewayProcess;
import maplerail.support.KeptConnection;
import maplerail.support.StandInFleet;
import maplerail.support.StandInFleet.Engine;
import maplerail.support.World;

/** Plays one plan on a gateway process and returns what the judge found. */
final class SoakPlay {
    private static final int WARM_UP_REQUESTS = 12;
    private static final double KILL_AFTER_TERM_MS = 3_700; // longest deadline, 3 s at most, and 0.7 s: the earliest
    private static final long SETTLE_MS = 2_500; // after the last answer, for what is let go then
    private static final long PATIENCE_MS = 7_000; // of the longest waiting client, and its slack

    private final SoakPlan plan;
    private final SoakPictures pictures;
    private final Queue<Sent> requests = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;
    private volatile double termMs = Double.NaN;
    private volatile double killMs = Double.NaN;
    private String log = "";

    private interface Work {
        void run() throws Exception;
    }

    SoakPlay(SoakPlan plan, SoakPictures pictures) {
        this.plan = plan;
        this.pictures = pictures;
    }

    /** The number of requests that were sent. */
    int size() {
        return requests.size();
    }

    /** What the gateway has logged. */
    String log() {
        return log;
    }

    List<String> run(Path folder) throws Exception {
        World setting = new World();
        if (plan.placesAhead) setting.settings("\"pinLimitMs\"", "\"earlyPairing\":true,\"pinLimitMs\"");
        try (World world = setting;
                StandInFleet fleet = new StandInFleet(plan.seed, plan.readers, plan.writers, world);
                GatewayProcess gateway = GatewayProcess.start(folder, world.config("127.0.0.1:0"), null)) {
            fleet.unknownPlaceOdds = plan.unknownPlaceOdds;
            int port = gateway.port("listens on");
            SoakClient first = new SoakClient(port, requests, this::mayConnect);
            for (int i = 0; i < WARM_UP_REQUESTS; i++) first.request("warm" + i, true, 3_000, 0);
            fleet.maxStreamMs = plan.maxStreamMs;
            fleet.slowStreamOneIn = pictures.slowOneIn();
            fleet.slowEventMs = pictures.slowEventMs();
            fleet.cutStreamOneIn = pictures.cutOneIn();
            play(port, fleet, gateway, world);
            List<String> broken = new SoakJudge(requests, fleet.ledger, fleet.log).judge(termMs, killMs);
            if (Double.isNaN(termMs) && !gateway.isAlive()) broken.add("the process has ended by itself");
            log = gateway.log();
            return broken;
        }
    }

    private void play(int port, StandInFleet fleet, GatewayProcess gateway, World world) throws Exception {
        double startMs = KeptConnection.nowMs();
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < plan.crowd; i++) idle.add(new Socket("127.0.0.1", port));
        for (int i = 0; i < plan.clients; i++) startClient(port, i);
        for (int i = 0; i < plan.crowd; i++) startCrowdRequest(port, i, startMs);
        for (Fault fault : plan.faults) at(startMs + fault.atMs(), () -> playFault(fault, fleet, world));
        for (Signal signal : plan.signals) at(startMs + signal.atMs(), () -> playSignal(signal, gateway));
        startPictures(port, startMs, idle);
        sleepUntil(startMs + plan.lengthMs());
        over = true;
        for (Thread thread : threads) thread.join(PATIENCE_MS);
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        for (Socket socket : idle) socket.close();
    }

    private void startClient(int port, int number) {
        SplittableRandom random = new SplittableRandom(plan.seed * 1_000 + number);
        start(() -> {
            SoakClient client = new SoakClient(port, requests, this::mayConnect);
            for (int i = 0; !over; i++) {
                long leaveMs = random.nextDouble() < plan.leaveOdds ? 1 + random.nextLong(1_500) : 0;
                boolean repeatable = random.nextInt(3) > 0;
                double deadlineMs = 1_000 + random.nextInt(3_500);
                String id = "c" + number + "-" + i;
                if (!client.request(id, repeatable, deadlineMs, leaveMs)) break;
                if (random.nextDouble() < pictures.againOdds() && !client.requestAgain()) break;
                TimeUnit.MILLISECONDS.sleep(random.nextLong(2 * plan.thinkMs));
            }
            client.disconnect();
        });
    }

    private void startPictures(int port, double startMs, List<Socket> halves) throws Exception {
        for (int i = 0; i < pictures.halves(); i++) {
            Socket half = new Socket("127.0.0.1", port);
            halves.add(half);
            start(() -> half.getOutputStream().write(SoakPictures.half()));
        }
        for (int i = 0; i < pictures.bursts().size(); i++) {
            Burst burst = pictures.bursts().get(i);
            List<String> ids = new ArrayList<>();
            for (int j = 0; j < burst.requests(); j++) ids.add("burst" + i + "-" + j);
            at(startMs + burst.atMs(), () -> {
                if (mayConnect()) SoakClient.burst(port, requests, ids, burst);
            });
        }
        SoakPictures.Press press = pictures.press();
        if (press.kind() == SoakPictures.Unsound.NOTHING) return;
        at(startMs + press.atMs(), () -> {
            if (!mayConnect()) return;
            try (Flood flood = new Flood(port, press.connections(), press.kind()::request)) {
                TimeUnit.MILLISECONDS.sleep(press.lastsMs());
            } catch (ConnectException e) {
                return; // nobody listens any more
            }
        });
    }

    /** For some time after SIGTERM new connections keep coming. */
    private boolean mayConnect() {
        double sinceTermMs = KeptConnection.nowMs() - termMs;
        return Double.isNaN(sinceTermMs) || sinceTermMs <= plan.arrivingMs;
    }

    private void startCrowdRequest(int port, int number, double startMs) {
        at(startMs + plan.crowdAtMs, () -> {
            SoakClient client = new SoakClient(port, requests, this::mayConnect);
            client.request("crowd" + number, number % 3 > 0, 3_000, 0);
            client.disconnect();
        });
    }

    private void playSignal(Signal signal, GatewayProcess gateway) throws Exception {
        if (signal.name().equals("TERM")) {
            termMs = KeptConnection.nowMs();
            gateway.signal("TERM");
            sleepUntil(termMs + KILL_AFTER_TERM_MS);
            killMs = KeptConnection.nowMs();
            gateway.signal("KILL");
            return;
        }
        gateway.signal(signal.name());
        if (!signal.name().equals("STOP")) return;
        TimeUnit.MILLISECONDS.sleep(signal.lastsMs());
        gateway.signal("CONT");
    }

    private void playFault(Fault fault, StandInFleet fleet, World world) throws Exception {
        List<Engine> engines =
                fault.engines().stream().map(fleet.engines()::get).toList();
        switch (fault.kind()) {
            case FREEZE -> engines.forEach(engine -> engine.freeze(fault.lastsMs()));
            case SILENCE_OPEN -> engines.forEach(engine -> engine.link.silenceOpen());
            case MUTE_OPEN -> engines.forEach(engine -> engine.link.muteOpen());
            case CUT -> setForAWhile(engines, FaultNet.Fault.cut(false), fault);
            case UNHEARD -> setForAWhile(engines, FaultNet.Fault.cut(true), fault);
            case RESET -> setForAWhile(engines, FaultNet.Fault.resets(), fault);
            case DELAY -> setForAWhile(engines, FaultNet.Fault.delay(20, 60), fault);
            case DROP_NEW -> setForAWhile(engines, FaultNet.Fault.drops(0.3), fault);
            case SLOW_READS -> {
                fleet.slowReadOneIn = 2;
                fleet.slowReadMs = fault.lastsMs();
            }
            case WRITERS_DECLINE -> {
                fleet.writersDecline = true;
                TimeUnit.MILLISECONDS.sleep(fault.lastsMs());
                fleet.writersDecline = false;
            }
            case LEAVE -> {
                for (Engine engine : engines)
                    world.engine(engine.name, engine.kind, engine.link.address(), "terminating");
                TimeUnit.MILLISECONDS.sleep(fault.lastsMs());
                for (Engine engine : engines) world.engine(engine.name, engine.kind, engine.link.address());
            }
        }
    }

    private static void setForAWhile(List<Engine> engines, FaultNet.Fault wrong, Fault fault) throws Exception {
        engines.forEach(engine -> engine.link.set(wrong));
        TimeUnit.MILLISECONDS.sleep(fault.lastsMs());
        engines.forEach(engine -> engine.link.set(FaultNet.Fault.NONE));
    }

    private void at(double whenMs, Work work) {
        start(() -> {
            sleepUntil(whenMs);
            work.run();
        });
    }

    private static void sleepUntil(double whenMs) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, Math.round(whenMs - KeptConnection.nowMs())));
    }

    private void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }
}
