package maplerail.core;

/** What a front holds while its request is open. */
public interface Ticket {
    /** The caller has left. */
    void gone();

    /** The caller can take more. */
    void writable();
}
