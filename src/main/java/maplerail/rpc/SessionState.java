package maplerail.rpc;

import java.util.List;

/**
 * The state machine of a session: which requests are allowed in which phase, and which version of the protocol is used.
 * It does no I/O; the transport calls it for the messages that it receives.
 */
public final class SessionState {
    /** The supported protocol versions, newest first. */
    public static final List<String> SUPPORTED_VERSIONS = List.of("2025-06-18", "2025-03-26", "2024-11-05");

    /** The phases of a session. */
    public enum Phase {
        NEW,
        NEGOTIATED,
        READY,
        DRAINING,
        CLOSED
    }

    /** What to do with a request. */
    public enum Decision {
        ACCEPT,
        NOT_INITIALIZED,
        ALREADY_INITIALIZED,
        DRAINING,
        CLOSED
    }

    private final boolean handshakeRequired;
    private Phase phase = Phase.NEW;
    private String version = "";

    /** Creates the state of a new session; {@code handshakeRequired}: requests are rejected until it is initialized. */
    public SessionState(boolean handshakeRequired) {
        this.handshakeRequired = handshakeRequired;
    }

    /** The current phase. */
    public Phase phase() {
        return phase;
    }

    /** The negotiated version; empty before. */
    public String version() {
        return version;
    }

    /** Whether a request is accepted now, and if not, why. */
    public Decision decide(String method) {
        if (phase == Phase.CLOSED) return Decision.CLOSED;
        if (method.equals("ping")) return Decision.ACCEPT;
        if (method.equals("initialize")) {
            return phase == Phase.NEW
                    ? Decision.ACCEPT
                    : phase == Phase.DRAINING ? Decision.DRAINING : Decision.ALREADY_INITIALIZED;
        }
        return switch (phase) {
            case NEW -> handshakeRequired ? Decision.NOT_INITIALIZED : Decision.ACCEPT;
            case NEGOTIATED -> Decision.NOT_INITIALIZED;
            case DRAINING -> Decision.DRAINING;
            default -> Decision.ACCEPT;
        };
    }

    /** Negotiates the version: the requested one if it is supported, otherwise the newest. */
    public String initialize(String requestedVersion) {
        if (phase != Phase.NEW) throw new IllegalStateException("initialize in " + phase);
        phase = Phase.NEGOTIATED;
        version = SUPPORTED_VERSIONS.contains(requestedVersion) ? requestedVersion : SUPPORTED_VERSIONS.get(0);
        return version;
    }

    /** Handles the client's {@code initialized} notification; false, without effect, if it is not expected now. */
    public boolean onInitialized() {
        if (phase != Phase.NEGOTIATED) return false;
        phase = Phase.READY;
        return true;
    }

    /** Stops accepting new requests; those accepted before are completed. */
    public void drain() {
        if (phase != Phase.CLOSED) phase = Phase.DRAINING;
    }

    /** Closes the session: no request is accepted or answered any more. */
    public void close() {
        phase = Phase.CLOSED;
    }
}
