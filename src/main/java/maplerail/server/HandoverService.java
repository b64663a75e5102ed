package maplerail.server;

import java.nio.file.Path;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import maplerail.core.Broker;
import maplerail.handover.Handover;
import maplerail.handover.Notes;
import maplerail.net.XnioLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;

/** Hands what this process knows of caches to the one that serves on, and takes over what another knew. */
final class HandoverService {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverService.class);
    private static final double TAKE_OVER_MS = 20_000; // after a start, for which another process may leave its notes
    private static final double POLL_MS = 50;

    private final Handover handover;
    private final XnioWorker worker;
    private final XnioLoop loop;
    private final Broker broker;
    private final BooleanSupplier stopping;

    /**
     * Creates the service of a process.
     *
     * @param folder the folder that both processes have
     * @param stopping whether this process is stopping: it must not take what it has just left itself
     */
    HandoverService(Path folder, XnioWorker worker, XnioLoop loop, Broker broker, BooleanSupplier stopping) {
        this.handover = new Handover(folder, ProcessHandle.current().pid());
        this.worker = worker;
        this.loop = loop;
        this.broker = broker;
        this.stopping = stopping;
    }

    /** Leaves what this process knows; called on the loop. */
    void leave() {
        Notes notes = new Notes(loop.nowMs(), broker.cachedPrefixes());
        worker.execute(() -> handover.leave(notes.text()));
    }

    /** Polls for a while for what a process that stops leaves: it does so once this one can serve. Called on the loop. */
    void start() {
        takeOver(loop.nowMs() + TAKE_OVER_MS);
    }

    private void takeOver(double untilMs) {
        worker.execute(() -> {
            if (stopping.getAsBoolean()) return;
            Optional<Notes> notes = Optional.ofNullable(handover.take()).map(text -> Notes.read(text, loop.nowMs()));
            if (notes.isPresent()) {
                LOG.info(
                        "cached prefixes taken over count={}",
                        notes.get().held().size());
                loop.execute(() -> broker.restoreCachedPrefixes(notes.get().held()));
            } else if (loop.nowMs() < untilMs) {
                loop.at(loop.nowMs() + POLL_MS, () -> takeOver(untilMs));
            }
        });
    }
}
