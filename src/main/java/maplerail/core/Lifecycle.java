package maplerail.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** The phases of a gateway's process, from start to exit. Thread-safe; listeners are called by the thread that moves. */
public final class Lifecycle {
    /** A phase of the process. */
    public enum Phase {
        /** No endpoint list is known yet. */
        STARTING,
        /** Serves. */
        READY,
        /** Sends its clients away and serves what comes all the same; unlike draining, this can be taken back. */
        LAME_DUCK,
        /** Finishes what it has taken. */
        DRAINING,
        /** Is done. */
        STOPPED
    }

    private static final Map<Phase, Set<Phase>> LEGAL_MOVES = Map.of(
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

    /** Adds a listener, which is told of each later move. */
    public synchronized void addListener(Consumer<Phase> listener) {
        listeners.add(listener);
    }

    /**
     * Moves to another phase.
     *
     * @throws IllegalStateException if there is no such move, which is a defect of the caller
     */
    public void moveTo(Phase next) {
        List<Consumer<Phase>> informed;
        synchronized (this) {
            if (!LEGAL_MOVES.get(phase).contains(next)) {
                throw new IllegalStateException("no way from " + phase + " to " + next);
            }
            phase = next;
            informed = List.copyOf(listeners);
        }
        informed.forEach(listener -> listener.accept(next));
    }
}
