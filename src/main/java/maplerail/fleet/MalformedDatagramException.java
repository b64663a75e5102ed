package maplerail.fleet;

/** A datagram that can't be read; nothing of it is used. */
public final class MalformedDatagramException extends Exception {
    private static final long serialVersionUID = 1L;

    private final DropReason reason;

    MalformedDatagramException(DropReason reason) {
        super("malformed datagram: " + reason);
        this.reason = reason;
    }

    /** What is wrong with it. */
    public DropReason reason() {
        return reason;
    }
}
