package maplerail.metrics;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * What the program counts of its work. Written on the loop, read from anywhere: a reader sees each figure as it is, and
 * waits for nobody. Knows no wire and no wording.
 */
public final class Metrics {
    /** Guards against a table that grows with every name that a configuration ever had. */
    private static final int MOST_CLASSES = 256;

    private static final String OTHER = "other"; // that names beyond the table count as

    private final Map<String, Tally> classes = new ConcurrentSkipListMap<>();
    private final AtomicLong sends = new AtomicLong();
    private final AtomicLong open = new AtomicLong();
    private final AtomicLong loaded = new AtomicLong();
    private final AtomicLong invalid = new AtomicLong();
    private final AtomicLong lists = new AtomicLong();
    private final Histogram timerDelays = new Histogram("timer_delay_ms");
    private final Histogram loopTurns = new Histogram("loop_turn_ms");
    private final Histogram dials = new Histogram("dial_ms");
    private final AtomicLongArray events = new AtomicLongArray(EventCount.values().length);
    private final Map<String, MemoryUse> memory = new ConcurrentSkipListMap<>();
    private volatile int listed;
    private volatile int avoided;
    private volatile long[] peers; // sent, bytes sent, heard, dropped; null where gateways do not tell each other

    private volatile long[] members; // as told to members(); null as for peers
    private volatile long[] outliers; // as told to outliers(); null as for peers

    /** The bytes of clients' data that are held, and the most that may be. */
    public static final class MemoryUse {
        private volatile long usedBytes;
        private volatile long limitBytes;

        /** Publishes both. */
        public void set(long used, long limit) {
            usedBytes = used;
            limitBytes = limit;
        }
    }

    /** The final answers of one class of requests. */
    public static final class Tally {
        private final AtomicLong[] counts = {new AtomicLong(), new AtomicLong(), new AtomicLong()};

        /** Counts a final answer. */
        public void count(Verdict verdict) {
            if (verdict != Verdict.UNWANTED) counts[verdict.ordinal()].incrementAndGet();
        }
    }

    /** What became of a request; nobody was left to hear of one that is unwanted, and it is not counted. */
    public enum Verdict {
        ANSWERED,
        DEFERRED,
        ERRORED,
        UNWANTED
    }

    /** One figure at one moment; a counter only grows. */
    public record Figure(String name, long value, boolean counter) {}

    /** The counts of a class by its name; they go on where a class was gone for a while. */
    public Tally of(String name) {
        Tally known = classes.get(name);
        if (known != null) return known;
        return classes.computeIfAbsent(classes.size() < MOST_CLASSES ? name : OTHER, n -> new Tally());
    }

    /** An attempt was written whole to its engine. */
    public void sent() {
        sends.incrementAndGet();
    }

    /** A request was taken. */
    public void taken() {
        open.incrementAndGet();
    }

    /** A request has had its final answer, or its client has gone. */
    public void ended() {
        open.decrementAndGet();
    }

    /** A configuration file was read again, and is in force or not. */
    public void reloaded(boolean accepted) {
        (accepted ? loaded : invalid).incrementAndGet();
    }

    /** Discovery's answer was no list, or one older than what is known; what is known stays in force. */
    public void listRejected() {
        lists.incrementAndGet();
    }

    /** The memory that the clients of a front may use, by the front's name. */
    public MemoryUse memory(String front) {
        return memory.computeIfAbsent(front, name -> new MemoryUse());
    }

    /** Something happened once. */
    public void count(EventCount event) {
        events.incrementAndGet(event.ordinal());
    }

    /** How often something has happened. */
    public long countOf(EventCount event) {
        return events.get(event.ordinal());
    }

    /** How late timers ran. */
    public Histogram timerDelays() {
        return timerDelays;
    }

    /** How long it took from an order for a look at the sockets until all that was ready had been handled. */
    public Histogram loopTurns() {
        return loopTurns;
    }

    /** How long connections to engines took to come up. */
    public Histogram dials() {
        return dials;
    }

    /** Engines in the list, and those of them that get nothing now though the list would have it. */
    public void engines(int inList, int passedOver) {
        listed = inList;
        avoided = passedOver;
    }

    /** What went between gateways so far: datagrams sent and their bytes, datagrams heard and used, and dropped. */
    public void peers(long sent, long bytes, long heard, long dropped) {
        peers = new long[] {sent, bytes, heard, dropped};
    }

    /**
     * The gateways of the tier as this one holds them to be; how often it declared one dead or refuted that of itself; what
     * it sent for that (datagrams, bytes) and dropped.
     */
    public void members(
            long alive, long suspect, long dead, long deaths, long refutations, long sent, long bytes, long dropped) {
        members = new long[] {alive, suspect, dead, deaths, refutations, sent, bytes, dropped};
    }

    /** Engines that the tier holds for failing several gateways, and the datagrams about such: sent, heard, dropped. */
    public void outliers(long held, long sent, long heard, long dropped) {
        outliers = new long[] {held, sent, heard, dropped};
    }

    /** All figures now. */
    public List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        classes.forEach((name, tally) -> {
            for (int i = 0; i < tally.counts.length; i++) {
                String verdict = Verdict.values()[i].name().toLowerCase(java.util.Locale.ROOT);
                out.add(new Figure(verdict + "." + name, tally.counts[i].get(), true));
            }
        });
        out.add(new Figure("sends", sends.get(), true));
        out.add(new Figure("current", open.get(), false));
        out.add(new Figure("cluster_size", listed, false));
        out.add(new Figure("cluster_unhealthy", avoided, false));
        out.add(new Figure("conf_loaded", loaded.get(), true));
        out.add(new Figure("conf_invalid", invalid.get(), true));
        out.add(new Figure("lists_rejected", lists.get(), true));
        memory.forEach((front, use) -> {
            out.add(new Figure("memory_used_bytes." + front, use.usedBytes, false));
            out.add(new Figure("memory_limit_bytes." + front, use.limitBytes, false));
        });
        for (EventCount event : EventCount.values()) {
            out.add(new Figure(event.figureName(), events.get(event.ordinal()), true));
        }
        for (Histogram histogram : List.of(timerDelays, loopTurns, dials)) out.addAll(histogram.figures());
        long[] failing = outliers;
        if (failing != null) {
            String[] names = {"outliers_held", "outliers_sent", "outliers_heard", "outliers_dropped"};
            for (int i = 0; i < names.length; i++) out.add(new Figure(names[i], failing[i], i > 0));
        }
        long[] tier = members;
        if (tier != null) {
            String[] names = {
                "members_alive",
                "members_suspect",
                "members_dead",
                "member_deaths",
                "member_refutations",
                "gossip_sent",
                "gossip_bytes",
                "gossip_dropped"
            };
            for (int i = 0; i < names.length; i++) out.add(new Figure(names[i], tier[i], i > 2));
        }
        long[] told = peers;
        if (told != null) {
            String[] names = {"peer_sent", "peer_bytes", "peer_heard", "peer_dropped"};
            for (int i = 0; i < names.length; i++) out.add(new Figure(names[i], told[i], true));
        }
        return out;
    }
}
