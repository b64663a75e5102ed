package maplerail.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The gateways whose latest state change is still being disseminated. Each change is sent a number of times that grows
 * with the logarithm of the tier size, least-sent changes first (SWIM's infection-style dissemination).
 */
final class PendingUpdates {
    private static final double RETRANSMIT_FACTOR = 4; // times log10 of the tier size

    private final double maxTransmissions;
    private final Map<Integer, Integer> transmissionsByRank = new LinkedHashMap<>();

    PendingUpdates(int tierSize) {
        maxTransmissions = RETRANSMIT_FACTOR * Math.ceil(Math.log10(tierSize + 1));
    }

    void add(int rank) {
        transmissionsByRank.remove(rank);
        transmissionsByRank.put(rank, 0);
    }

    boolean isEmpty() {
        return transmissionsByRank.isEmpty();
    }

    List<Integer> leastSentFirst() {
        List<Map.Entry<Integer, Integer>> sorted = new ArrayList<>(transmissionsByRank.entrySet());
        sorted.sort(Map.Entry.comparingByValue());
        return sorted.stream().map(Map.Entry::getKey).toList();
    }

    void recordSent(int rank) {
        transmissionsByRank.computeIfPresent(
                rank, (r, transmissions) -> transmissions + 1 >= maxTransmissions ? null : transmissions + 1);
    }
}
