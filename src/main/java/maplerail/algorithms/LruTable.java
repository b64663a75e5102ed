package maplerail.algorithms;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * A table of bounded size. Its entries are in the order in which they were last put; those that have expired, or are
 * too many, are evicted from the eldest on.
 *
 * @param <V> the type of the values
 */
public final class LruTable<V> {
    private final Map<Long, V> entries = new LinkedHashMap<>();
    private final int capacity;
    private final Predicate<V> expired;

    /**
     * Creates an empty table.
     *
     * @param capacity the most entries
     * @param expired whether a value may be evicted
     */
    public LruTable(int capacity, Predicate<V> expired) {
        this.capacity = capacity;
        this.expired = expired;
    }

    /** The value of a key, or null. Looking it up does not count as use. */
    public V get(long key) {
        return entries.get(key);
    }

    /** Puts a value, which makes it the youngest entry, and evicts from the eldest on. */
    public void put(long key, V value) {
        entries.remove(key);
        entries.put(key, value);
        evict();
    }

    /** Calls {@code action} with each entry, the eldest first. */
    public void forEach(BiConsumer<Long, V> action) {
        entries.forEach(action);
    }

    /** The number of entries, expired ones that were not evicted yet included. */
    public int size() {
        return entries.size();
    }

    private void evict() {
        Iterator<V> eldest = entries.values().iterator();
        while (eldest.hasNext()) {
            boolean evictable = expired.test(eldest.next()) || entries.size() > capacity;
            if (!evictable) return;
            eldest.remove();
        }
    }
}
