package maplerail.fleet;

import java.util.EnumMap;
import java.util.Map;

/** The datagrams that were dropped, by reason. */
final class DropCounts {
    private final Map<DropReason, Long> counts = new EnumMap<>(DropReason.class);

    void add(DropReason reason) {
        counts.merge(reason, 1L, Long::sum);
    }

    /** The counts above 0. */
    Map<DropReason, Long> byReason() {
        return Map.copyOf(counts);
    }
}
