package maplerail.algorithms;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * Which holders are believed to hold how much of what is known by a key. An entry is believed for a fixed time; of each
 * key only the latest few holders are kept, and of all keys only those that were put most recently.
 *
 * @param <H> the type of the holders, compared by identity
 */
public final class PlacementTable<H> {
    /** That a holder holds an amount, as of a time. */
    public record Placement<H>(H holder, double amount, double atMs) {}

    /** Receives the placements of all keys. */
    @FunctionalInterface
    public interface Visitor<H> {
        /** Called for each placement, those of the key that was put first, and then the eldest, first. */
        void visit(long key, Placement<H> placement);
    }

    private final int maxHolders;
    private final double ageMs;
    private final LruTable<Deque<Placement<H>>> placements;
    private double nowMs;

    /**
     * Creates an empty table.
     *
     * @param maxKeys the most keys
     * @param maxHolders the most holders of a key
     * @param ageMs the time for which a placement is believed
     */
    public PlacementTable(int maxKeys, int maxHolders, double ageMs) {
        this.maxHolders = maxHolders;
        this.ageMs = ageMs;
        this.placements = new LruTable<>(maxKeys, this::isExpired);
    }

    /** The amount that a holder is believed to hold of a key; 0 if none. */
    public double amount(long key, H holder, double atMs) {
        Deque<Placement<H>> known = placements.get(key);
        if (known == null) return 0;
        for (Placement<H> placement : known) {
            if (placement.holder() == holder && placement.atMs() > atMs - ageMs) return placement.amount();
        }
        return 0;
    }

    /** Puts a placement in place of the holder's earlier one of that key. */
    public void put(long key, Placement<H> placement, double atMs) {
        nowMs = atMs;
        Deque<Placement<H>> known = Objects.requireNonNullElseGet(placements.get(key), ArrayDeque::new);
        known.removeIf(p -> p.holder() == placement.holder() || isOld(p));
        known.addLast(placement);
        if (known.size() > maxHolders) known.removeFirst();
        placements.put(key, known);
    }

    /** Removes a holder's placement of a key, if there is one. */
    public void remove(long key, H holder) {
        Deque<Placement<H>> known = placements.get(key);
        if (known != null) known.removeIf(p -> p.holder() == holder);
    }

    /** Shows all placements, expired ones that were not evicted yet included. */
    public void visit(Visitor<H> visitor) {
        placements.forEach((key, known) -> known.forEach(placement -> visitor.visit(key, placement)));
    }

    /** The number of keys that are remembered. */
    public int size() {
        return placements.size();
    }

    private boolean isExpired(Deque<Placement<H>> known) {
        return known.isEmpty() || isOld(known.peekLast());
    }

    private boolean isOld(Placement<H> placement) {
        return placement.atMs() <= nowMs - ageMs;
    }
}
