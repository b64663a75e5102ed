package maplerail.fleet;

import java.util.EnumMap;
import java.util.Map;

/** Counts dropped datagrams by reason. */
final class DropCounts {
    private final Map<DropReason, Long> counts = new EnumMap<>(DropReason.class);

    void add(DropReason reason) {
        counts.merge(reason, 1L, Long::sum);
    }

    /** Returns the counts above 0. */
    Map<DropReason, Long> byReason() {
        return Map.copyOf(counts);
    }
}
