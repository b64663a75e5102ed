package maplerail.sim;

/** Input that cannot be read; the message says what is wrong and where. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Makes one with a line for the operators. */
    public WireException(String message) {
        super(message);
    }
}
