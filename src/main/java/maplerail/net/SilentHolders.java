package maplerail.net;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The releases whose holder has not answered, for each holder. Many may wait for one engine that hangs or was cut off: a few
 * go on trying to reach it, and once it answers one of them, all call.
 */
final class SilentHolders {
    private static final int TRYING_AT_ONCE = 2;

    private final Map<InetSocketAddress, Set<StateRelease>> waiting = new HashMap<>();

    /** Notes that a release waits for its holder; true if it is one of those that go on trying. */
    boolean mayTry(InetSocketAddress holder, StateRelease release) {
        Set<StateRelease> all = waiting.computeIfAbsent(holder, address -> new LinkedHashSet<>());
        all.add(release);
        Iterator<StateRelease> first = all.iterator();
        for (int i = 0; i < TRYING_AT_ONCE && first.hasNext(); i++) {
            if (first.next() == release) return true;
        }
        return false;
    }

    /** A release does not wait any more. */
    void remove(InetSocketAddress holder, StateRelease release) {
        Set<StateRelease> all = waiting.get(holder);
        if (all == null) return;
        all.remove(release);
        if (all.isEmpty()) waiting.remove(holder);
    }

    /** The holder has answered; returns the releases that waited for that, which are not waiting any more. */
    List<StateRelease> onAnswered(InetSocketAddress holder) {
        Set<StateRelease> all = waiting.remove(holder);
        return all == null ? List.of() : List.copyOf(all);
    }
}
