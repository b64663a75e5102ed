package maplerail.front;

import java.util.ArrayDeque;
import maplerail.core.EventLoop;

/**
 * Schedules what connections have to do with input that is buffered already. Tasks of the event loop run before its sockets
 * are polled, so a connection that goes on by a task of its own keeps the loop for as long as it has input. Here each
 * connection has at most one step in a turn, turns are separated by a poll of the sockets, and the connections' steps
 * follow one another in the order in which they came.
 */
final class TurnScheduler {
    /** The time after which a turn ends, whoever still waits; they are first in the next one. */
    private static final double MAX_TURN_MS = 2;

    private final EventLoop loop;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private boolean scheduled;

    /** Creates a scheduler without steps. */
    TurnScheduler(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs the next step of a connection in a later turn; each connection has at most one that waits. */
    void submit(Runnable step) {
        waiting.add(step);
        if (!scheduled) scheduleTurn();
    }

    private void scheduleTurn() {
        scheduled = true;
        loop.schedule(loop.nowMs(), this::runTurn);
    }

    private void runTurn() {
        int steps = waiting.size();
        double endMs = loop.nowMs() + MAX_TURN_MS;
        try {
            do waiting.remove().run();
            while (--steps > 0 && loop.nowMs() < endMs);
        } finally {
            scheduled = false;
            if (!waiting.isEmpty()) scheduleTurn();
        }
    }
}
