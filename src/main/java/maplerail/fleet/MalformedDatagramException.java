package maplerail.fleet;

/** Thrown when a datagram cannot be decoded; no part of it is used. */
public final class MalformedDatagramException extends Exception {
    private static final long serialVersionUID = 1L;

    private final DropReason reason;

    MalformedDatagramException(DropReason reason) {
        super("malformed datagram: " + reason);
        this.reason = reason;
    }

    /** Returns why the datagram could not be decoded. */
    public DropReason reason() {
        return reason;
    }
}
