package maplerail.server;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import maplerail.core.Broker;
import maplerail.migration.HandoverFile;
import maplerail.migration.HandoverSnapshot;
import maplerail.net.XnioEventLoop;
import maplerail.routing.RoutingEvent.PrefixCached;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;

/** Hands what this process knows of caches to the one that serves on, and takes over what another knew. */
final class HandoverService {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverService.class);
    private static final double TAKE_OVER_MS = 20_000; // after a start, for which another process may leave its notes
    private static final double POLL_MS = 50;

    private final HandoverFile file;
    private final XnioWorker worker;
    private final XnioEventLoop loop;
    private final Broker broker;
    private final BooleanSupplier stopping;

    /**
     * Creates the service of a process.
     *
     * @param folder the folder that both processes have
     * @param stopping whether this process is stopping: it must not take what it has just left itself
     */
    HandoverService(Path folder, XnioWorker worker, XnioEventLoop loop, Broker broker, BooleanSupplier stopping) {
        this.file = new HandoverFile(folder, ProcessHandle.current().pid());
        this.worker = worker;
        this.loop = loop;
        this.broker = broker;
        this.stopping = stopping;
    }

    /** Leaves what this process knows; called on the loop. */
    void leave() {
        HandoverSnapshot snapshot = new HandoverSnapshot(loop.nowMs(), broker.cachedPrefixes());
        worker.execute(() -> file.write(snapshot.toJson()));
    }

    /** Polls for a while for what a process that stops leaves: it does so once this one can serve. Called on the loop. */
    void start() {
        takeOver(loop.nowMs() + TAKE_OVER_MS);
    }

    private void takeOver(double untilMs) {
        worker.execute(() -> {
            if (stopping.getAsBoolean()) return;
            Optional<HandoverSnapshot> snapshot =
                    file.readAndDelete().flatMap(text -> HandoverSnapshot.parse(text, loop.nowMs()));
            if (snapshot.isPresent()) {
                List<PrefixCached> cached = snapshot.get().cachedPrefixes();
                LOG.info("cached prefixes taken over count={}", cached.size());
                loop.execute(() -> broker.restoreCachedPrefixes(cached));
            } else if (loop.nowMs() < untilMs) {
                loop.schedule(loop.nowMs() + POLL_MS, () -> takeOver(untilMs));
            }
        });
    }
}
