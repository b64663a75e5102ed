package maplerail.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.DoubleSupplier;

/**
 * What became of every request of an experiment, seen from both ends: the clients say what they were answered, the
 * stand-in engines what reached them. From the two, what the rules forbid is counted to the request. A request is what a
 * user wants; a client that comes again for it does so under ids of the form {@code ID.n}.
 */
public final class Ledger {
    private static final int MOST_SECONDS = 3_600; // of the series; what comes later counts in the last second

    /** How a client saw its request end. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED,
        BROKEN,
        CLOSED,
        TIMED_OUT,
        GAVE_UP,
        UNREACHABLE
    }

    /** One request. */
    public static final class Page {
        final String id;
        final String kind;
        final int zone;
        final boolean unsafe;
        final double dueMs;
        final AtomicInteger effects = new AtomicInteger();
        final AtomicInteger tries = new AtomicInteger();
        volatile double firstMs = Double.NaN;
        volatile double endMs = Double.NaN;
        volatile End end;

        /** A request of a class and a zone (its number), wanted {@code dueMs} after the start. */
        Page(String id, String kind, int zone, boolean unsafe, double dueMs) {
            this.id = id;
            this.kind = kind;
            this.zone = zone;
            this.unsafe = unsafe;
            this.dueMs = dueMs;
        }

        /** How it ended at last, or null. */
        public End end() {
            return end;
        }

        /** Its class. */
        public String kind() {
            return kind;
        }
    }

    private final Map<String, Page> pages = new ConcurrentHashMap<>();
    private final Map<String, AtomicLongArray> series = new ConcurrentHashMap<>();
    private final AtomicLong strangers = new AtomicLong();
    private volatile DoubleSupplier clock = () -> 0;

    /** Time runs from here. */
    void begin() {
        long startedNs = System.nanoTime();
        clock = () -> (System.nanoTime() - startedNs) / 1e6;
    }

    /** Time is what {@code ms} says, since the start. */
    void begin(DoubleSupplier ms) {
        clock = ms;
    }

    /** Milliseconds since the start. */
    double nowMs() {
        return clock.getAsDouble();
    }

    /** Opens a request's page before it is sent. */
    void open(Page page) {
        pages.put(page.id, page);
    }

    /** An attempt reached an engine whole. The rest of a stream that broke ({@code again}) has its effect no second time. */
    void reached(String id, boolean writes, boolean again, String engine, int engineZone) {
        int dot = id.indexOf('.');
        Page page = pages.get(dot < 0 ? id : id.substring(0, dot));
        if (page == null) {
            strangers.incrementAndGet();
            return;
        }
        if (writes && !again) page.effects.incrementAndGet();
        count("zone " + page.zone + " > " + engineZone);
        count("engine " + engine);
        count(writes ? "writes" : "reads");
    }

    /** Counts one thing now, in its series. */
    void count(String name) {
        int second = (int) Math.max(0, Math.min(MOST_SECONDS - 1, nowMs() / 1_000));
        series.computeIfAbsent(name, n -> new AtomicLongArray(MOST_SECONDS)).incrementAndGet(second);
    }

    /** All requests, in the order of their ids. */
    public List<Page> pages() {
        return new ArrayList<>(new TreeMap<>(pages).values());
    }

    /** The names of all series: {@code zone a > b} by the requests' zones and the engines', {@code engine x}, and more. */
    public List<String> names() {
        return series.keySet().stream().sorted().toList();
    }

    /** A series' count in one second since the start. */
    public long count(String name, int second) {
        AtomicLongArray counts = series.get(name);
        return counts == null || second >= MOST_SECONDS ? 0 : counts.get(second);
    }

    /** A series' count from one time to another, in seconds since the start. */
    public long count(String name, int from, int to) {
        long sum = 0;
        for (int second = from; second < to; second++) sum += count(name, second);
        return sum;
    }

    /** How many requests ended so. */
    public long ended(End end) {
        return pages.values().stream().filter(p -> p.end == end).count();
    }

    /** Whatever must not be: each entry names the rule and the request. Empty where all rules were kept. */
    public List<String> broken() {
        List<String> out = new ArrayList<>();
        for (Page page : pages()) {
            if (page.end == null) out.add("no end: " + page.id);
            if (page.unsafe && page.effects.get() > 1)
                out.add("sent " + page.effects.get() + " times, unsafe: " + page.id);
        }
        if (strangers.get() > 0) out.add("requests that no client sent: " + strangers.get());
        return out;
    }

    /** Of the requests that arrived in a span of time, those of clients that gave up left out, the share that was served. */
    public double served(double fromMs, double toMs) {
        List<Page> span = pages().stream()
                .filter(p -> p.dueMs >= fromMs && p.dueMs < toMs && p.end != End.GAVE_UP)
                .toList();
        return span.isEmpty()
                ? 1
                : (double) span.stream().filter(p -> p.end == End.SERVED).count() / span.size();
    }
}
