package maplerail.server;

import java.util.List;
import maplerail.core.Lifecycle;
import maplerail.core.Lifecycle.Phase;

/** The phase of a gateway's process, and whether it can serve. Thread-safe. */
final class GatewayLifecycle {
    private final Lifecycle lifecycle = new Lifecycle();
    private volatile boolean endpointsKnown;
    private volatile boolean listening;

    /** The phases, for the parts that listen to them. */
    Lifecycle phases() {
        return lifecycle;
    }

    Phase phase() {
        return lifecycle.phase();
    }

    boolean isListening() {
        return listening;
    }

    boolean isStopping() {
        return List.of(Phase.DRAINING, Phase.STOPPED).contains(phase());
    }

    /** True once the process can serve, until it is told to stop. */
    boolean canServe() {
        return endpointsKnown && listening && !isStopping();
    }

    void onListening() {
        listening = true;
    }

    /** An endpoint list is known, from discovery or from the configuration. */
    synchronized void onEndpointsKnown() {
        endpointsKnown = true;
        if (phase() == Phase.STARTING) lifecycle.moveTo(Phase.READY);
    }

    /** Begins the shutdown; false if it has begun before. */
    synchronized boolean beginShutdown() {
        if (isStopping()) return false;
        lifecycle.moveTo(Phase.DRAINING);
        return true;
    }

    /** Becomes a lame duck or is none any more; false if the process is stopping. */
    synchronized boolean setLameDuck(boolean on) {
        if (isStopping()) return false;
        if (on == (phase() == Phase.LAME_DUCK)) return true;
        Phase serving = endpointsKnown ? Phase.READY : Phase.STARTING;
        lifecycle.moveTo(on ? Phase.LAME_DUCK : serving);
        return true;
    }

    void onStopped() {
        lifecycle.moveTo(Phase.STOPPED);
    }
}
