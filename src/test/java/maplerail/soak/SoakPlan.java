package maplerail.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** What one seed draws: sizes, settings, clients, faults and signals. Nothing in it knows how a run is judged. */
final class SoakPlan {
    private static final long LENGTH_MS = 9_000;
    private static final long FIRST_FAULT_MS = 1_500;

    /** What a fault does; a lasting one ends after its time, the others change what is open at their moment. */
    enum FaultKind {
        FREEZE,
        SILENCE_OPEN,
        MUTE_OPEN,
        CUT,
        UNHEARD,
        RESET,
        DELAY,
        DROP_NEW,
        SLOW_READS,
        WRITERS_DECLINE,
        LEAVE
    }

    /** A fault at some engines; the numbers count readers first, then writers. */
    record Fault(long atMs, FaultKind kind, List<Integer> engines, long lastsMs) {}

    /** A signal to the gateway; STOP is followed by CONT after {@code lastsMs}. */
    record Signal(long atMs, String name, long lastsMs) {}

    final long seed;
    final int readers;
    final int writers;
    final boolean placesAhead;
    final double unknownPlaceOdds;
    final long maxStreamMs;
    final int clients;
    final long thinkMs;
    final double leaveOdds;
    /** Idle connections that are open all the time, and requests that come at one moment. */
    final int crowd;

    final long crowdAtMs;
    final boolean ends;
    /** How long after SIGTERM new connections keep coming. */
    final long arrivingMs;

    final List<Fault> faults = new ArrayList<>();
    final List<Signal> signals = new ArrayList<>();
    private final SplittableRandom random;

    SoakPlan(long seed) {
        this.seed = seed;
        random = new SplittableRandom(seed);
        readers = 2 + random.nextInt(3);
        writers = 2 + random.nextInt(4);
        placesAhead = random.nextInt(4) > 0;
        unknownPlaceOdds = random.nextInt(3) / 2.0;
        maxStreamMs = random.nextLong(1, 1_500);
        clients = 4 + random.nextInt(12);
        thinkMs = 30 + random.nextInt(400);
        leaveOdds = random.nextInt(3) == 0 ? 0.15 : 0;
        crowd = random.nextInt(3) == 0 ? 40 + random.nextInt(80) : 0;
        crowdAtMs = random.nextLong(FIRST_FAULT_MS, LENGTH_MS - 3_000);
        ends = random.nextInt(3) > 0;
        int count = 1 + random.nextInt(4);
        for (int i = 0; i < count; i++) faults.add(drawFault());
        drawSignals();
        arrivingMs = 200 + random.nextLong(200);
    }

    long lengthMs() {
        return LENGTH_MS;
    }

    private Fault drawFault() {
        FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
        long atMs = random.nextLong(FIRST_FAULT_MS, LENGTH_MS - 3_500);
        return new Fault(atMs, kind, drawEngines(kind), 200 + random.nextLong(3_000));
    }

    /**
     * One writer can always be reached on a new connection and runs: where nobody can be reached, nothing can be let go.
     * Its open connections may fall silent, and it may decline.
     */
    private List<Integer> drawEngines(FaultKind kind) {
        boolean spareOne = kind != FaultKind.SILENCE_OPEN && kind != FaultKind.MUTE_OPEN;
        int last = readers + writers - (spareOne ? 1 : 0);
        return switch (random.nextInt(4)) {
            case 0 -> IntStream.range(0, readers).boxed().toList();
            case 1 -> IntStream.range(readers, last).boxed().toList();
            case 2 -> IntStream.range(0, last).boxed().toList();
            default ->
                IntStream.range(0, last)
                        .filter(i -> random.nextInt(3) == 0)
                        .boxed()
                        .toList();
        };
    }

    private void drawSignals() {
        if (random.nextInt(3) == 0) drawSeries("STOP", 20 + random.nextLong(120));
        if (random.nextInt(3) == 0) drawSeries("HUP", 0);
        if (ends) signals.add(new Signal(random.nextLong(FIRST_FAULT_MS, LENGTH_MS - 3_000), "TERM", 0));
    }

    private void drawSeries(String name, long lastsMs) {
        long atMs = random.nextLong(FIRST_FAULT_MS, LENGTH_MS - 3_000);
        int count = 2 + random.nextInt(8);
        long everyMs = lastsMs + 60 + random.nextLong(400);
        for (int i = 0; i < count; i++) signals.add(new Signal(atMs + i * everyMs, name, lastsMs));
    }

    @Override
    public String toString() {
        return "seed " + seed + ": " + readers + " readers, " + writers + " writers, places " + placesAhead + " odds "
                + unknownPlaceOdds + ", " + clients + " clients, crowd " + crowd + ", leave " + leaveOdds + ", "
                + faults + ", " + signals;
    }
}
