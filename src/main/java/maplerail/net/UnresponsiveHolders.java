package maplerail.net;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The releases whose holder has not answered, for each holder. Many may wait for one engine that hangs or is
 * unreachable: only a few of them keep retrying, and once it answers one of them, all others are sent again.
 */
final class UnresponsiveHolders {
    private static final int MAX_RETRYING_PER_HOLDER = 2;

    private final Map<InetSocketAddress, Set<StateRelease>> waitingReleases = new HashMap<>();

    /** Adds a release that waits for its holder; true if it is one of those that keep retrying. */
    boolean mayRetry(InetSocketAddress holder, StateRelease release) {
        Set<StateRelease> releases = waitingReleases.computeIfAbsent(holder, address -> new LinkedHashSet<>());
        releases.add(release);
        Iterator<StateRelease> oldestFirst = releases.iterator();
        for (int i = 0; i < MAX_RETRYING_PER_HOLDER && oldestFirst.hasNext(); i++) {
            if (oldestFirst.next() == release) return true;
        }
        return false;
    }

    /** Removes a release that no longer waits. */
    void remove(InetSocketAddress holder, StateRelease release) {
        Set<StateRelease> releases = waitingReleases.get(holder);
        if (releases == null) return;
        releases.remove(release);
        if (releases.isEmpty()) waitingReleases.remove(holder);
    }

    /** Called when a holder has answered; removes and returns the releases that waited for it. */
    List<StateRelease> onAnswered(InetSocketAddress holder) {
        Set<StateRelease> releases = waitingReleases.remove(holder);
        return releases == null ? List.of() : List.copyOf(releases);
    }
}
