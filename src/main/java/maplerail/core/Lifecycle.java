package maplerail.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** The phases of a gateway process, from start to exit. Thread-safe; listeners run on the caller's thread. */
public final class Lifecycle {
    /** A phase of the process. */
    public enum Phase {
        /** Has no endpoint list yet. */
        STARTING,
        /** Serves requests. */
        READY,
        /** Asks its clients to disconnect but still serves their requests; unlike draining, this can be reverted. */
        LAME_DUCK,
        /** Finishes the requests that it has accepted. */
        DRAINING,
        /** Has finished; the process exits. */
        STOPPED
    }

    private static final Map<Phase, Set<Phase>> LEGAL_TRANSITIONS = Map.of(
            Phase.STARTING, Set.of(Phase.READY, Phase.LAME_DUCK, Phase.DRAINING, Phase.STOPPED),
            Phase.READY, Set.of(Phase.LAME_DUCK, Phase.DRAINING),
            Phase.LAME_DUCK, Set.of(Phase.STARTING, Phase.READY, Phase.DRAINING),
            Phase.DRAINING, Set.of(Phase.STOPPED),
            Phase.STOPPED, Set.of());

    private final List<Consumer<Phase>> listeners = new ArrayList<>();
    private Phase phase = Phase.STARTING;

    /** The current phase. */
    public synchronized Phase phase() {
        return phase;
    }

    /** Adds a listener, which is notified of each later phase change. */
    public synchronized void addListener(Consumer<Phase> listener) {
        listeners.add(listener);
    }

    /**
     * Changes to another phase.
     *
     * @throws IllegalStateException if the transition is illegal, which is a bug in the caller
     */
    public void moveTo(Phase next) {
        List<Consumer<Phase>> notified;
        synchronized (this) {
            if (!LEGAL_TRANSITIONS.get(phase).contains(next)) {
                throw new IllegalStateException("illegal phase transition from " + phase + " to " + next);
            }
            phase = next;
            notified = List.copyOf(listeners);
        }
        notified.forEach(listener -> listener.accept(next));
    }
}
