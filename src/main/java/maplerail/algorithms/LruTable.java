package maplerail.algorithms;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * A table of bounded size. Its entries are in the order in which they were last put; expired entries and those above the
 * capacity are evicted from the oldest on.
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
     * @param capacity the maximum number of entries
     * @param expired returns whether a value may be evicted
     */
    public LruTable(int capacity, Predicate<V> expired) {
        this.capacity = capacity;
        this.expired = expired;
    }

    /** Returns the value of a key, or null. A lookup does not change the order of eviction. */
    public V get(long key) {
        return entries.get(key);
    }

    /** Puts a value as the newest entry and evicts entries from the oldest on. */
    public void put(long key, V value) {
        entries.remove(key);
        entries.put(key, value);
        evict();
    }

    /** Calls {@code action} with each entry, the oldest first. */
    public void forEach(BiConsumer<Long, V> action) {
        entries.forEach(action);
    }

    /** Returns the number of entries, including expired ones that have not been evicted yet. */
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
