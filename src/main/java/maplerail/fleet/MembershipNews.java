package maplerail.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The gateways whose state has changed lately. Each change is sent a number of times that grows with the logarithm of the
 * tier, those that were sent least often first (SWIM's infection-style dissemination).
 */
final class MembershipNews {
    private static final double RETRANSMIT_FACTOR = 4; // times log10 of the tier

    private final double maxTimesSent;
    private final Map<Integer, Integer> timesSent = new LinkedHashMap<>();

    MembershipNews(int tierSize) {
        maxTimesSent = RETRANSMIT_FACTOR * Math.ceil(Math.log10(tierSize + 1));
    }

    void add(int rank) {
        timesSent.remove(rank);
        timesSent.put(rank, 0);
    }

    boolean isEmpty() {
        return timesSent.isEmpty();
    }

    List<Integer> leastSentFirst() {
        List<Map.Entry<Integer, Integer>> sorted = new ArrayList<>(timesSent.entrySet());
        sorted.sort(Map.Entry.comparingByValue());
        return sorted.stream().map(Map.Entry::getKey).toList();
    }

    void recordSent(int rank) {
        timesSent.computeIfPresent(rank, (r, times) -> times + 1 >= maxTimesSent ? null : times + 1);
    }
}
