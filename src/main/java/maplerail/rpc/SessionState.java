package maplerail.rpc;

import java.util.List;

/**
 * The life of a session: which request may come when, and which version of the protocol is spoken. It does no I/O;
 * whatever carries the session drives it by what it hears.
 */
public final class SessionState {
    /** The versions that are spoken, newest first. */
    public static final List<String> SUPPORTED_VERSIONS = List.of("2025-06-18", "2025-03-26", "2024-11-05");

    /** Where a session stands. */
    public enum Phase {
        NEW,
        NEGOTIATED,
        READY,
        DRAINING,
        CLOSED
    }

    /** What becomes of a request. */
    public enum Decision {
        TAKE,
        TOO_EARLY,
        TWICE,
        DRAINING,
        CLOSED
    }

    private final boolean handshake;
    private Phase phase = Phase.NEW;
    private String version = "";

    /** A session that has begun; {@code handshake} tells that nothing may be asked before it was initialized. */
    public SessionState(boolean handshake) {
        this.handshake = handshake;
    }

    /** Where it stands. */
    public Phase phase() {
        return phase;
    }

    /** The version that was agreed on; empty before. */
    public String version() {
        return version;
    }

    /** Whether a request may be taken now. */
    public Decision decide(String method) {
        if (phase == Phase.CLOSED) return Decision.CLOSED;
        if (method.equals("ping")) return Decision.TAKE;
        if (method.equals("initialize")) {
            return phase == Phase.NEW ? Decision.TAKE : phase == Phase.DRAINING ? Decision.DRAINING : Decision.TWICE;
        }
        return switch (phase) {
            case NEW -> handshake ? Decision.TOO_EARLY : Decision.TAKE;
            case NEGOTIATED -> Decision.TOO_EARLY;
            case DRAINING -> Decision.DRAINING;
            default -> Decision.TAKE;
        };
    }

    /** Agrees on the version that the client asked for, or else on the newest that is spoken here. */
    public String initialize(String asked) {
        if (phase != Phase.NEW) throw new IllegalStateException("initialize in " + phase);
        phase = Phase.NEGOTIATED;
        version = SUPPORTED_VERSIONS.contains(asked) ? asked : SUPPORTED_VERSIONS.get(0);
        return version;
    }

    /** The client has heard the answer; false if it was not its time to say so, which changes nothing. */
    public boolean onInitialized() {
        if (phase != Phase.NEGOTIATED) return false;
        phase = Phase.READY;
        return true;
    }

    /** Nothing new is taken; what was taken is finished. */
    public void drain() {
        if (phase != Phase.CLOSED) phase = Phase.DRAINING;
    }

    /** Nothing is taken or answered any more. */
    public void close() {
        phase = Phase.CLOSED;
    }
}
