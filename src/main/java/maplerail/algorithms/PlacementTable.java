package maplerail.algorithms;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * Tracks which holders are assumed to hold data of a key, and how much of it. A placement expires after a fixed time. The
 * table is bounded: it keeps the keys that were put most recently, and for each key its latest holders.
 *
 * @param <H> the type of the holders, compared by identity
 */
public final class PlacementTable<H> {
    /** The amount that a holder is assumed to hold, as of a time. */
    public record Placement<H>(H holder, double amount, double atMs) {}

    /** Receives the placements of all keys. */
    @FunctionalInterface
    public interface Visitor<H> {
        /** Called for each placement, ordered by the time at which the key was last put, then by age, the oldest first. */
        void visit(long key, Placement<H> placement);
    }

    private final int maxHolders;
    private final double ttlMs;
    private final LruTable<Deque<Placement<H>>> placements;
    private double nowMs;

    /**
     * Creates an empty table.
     *
     * @param maxKeys the maximum number of keys
     * @param maxHolders the maximum number of holders of a key
     * @param ttlMs the time after which a placement expires
     */
    public PlacementTable(int maxKeys, int maxHolders, double ttlMs) {
        this.maxHolders = maxHolders;
        this.ttlMs = ttlMs;
        this.placements = new LruTable<>(maxKeys, this::isExpired);
    }

    /** Returns the amount that a holder is assumed to hold of a key; 0 if there is no placement. */
    public double amount(long key, H holder, double atMs) {
        Deque<Placement<H>> current = placements.get(key);
        if (current == null) return 0;
        for (Placement<H> placement : current) {
            if (placement.holder() == holder && placement.atMs() > atMs - ttlMs) return placement.amount();
        }
        return 0;
    }

    /** Puts a placement, which replaces the holder's earlier one for that key. */
    public void put(long key, Placement<H> placement, double atMs) {
        nowMs = atMs;
        Deque<Placement<H>> current = Objects.requireNonNullElseGet(placements.get(key), ArrayDeque::new);
        current.removeIf(p -> p.holder() == placement.holder() || isStale(p));
        current.addLast(placement);
        if (current.size() > maxHolders) current.removeFirst();
        placements.put(key, current);
    }

    /** Removes a holder's placement for a key, if there is one. */
    public void remove(long key, H holder) {
        Deque<Placement<H>> current = placements.get(key);
        if (current != null) current.removeIf(p -> p.holder() == holder);
    }

    /** Calls {@code visitor} with all placements, including expired ones that have not been evicted yet. */
    public void forEach(Visitor<H> visitor) {
        placements.forEach((key, current) -> current.forEach(placement -> visitor.visit(key, placement)));
    }

    /** Returns the number of keys in the table. */
    public int size() {
        return placements.size();
    }

    private boolean isExpired(Deque<Placement<H>> current) {
        return current.isEmpty() || isStale(current.peekLast());
    }

    private boolean isStale(Placement<H> placement) {
        return placement.atMs() <= nowMs - ttlMs;
    }
}
