package maplerail.front.jsonrpc;

/** Where what a client asked for is answered: its socket, one of its event streams, or a batch. */
interface Sink {
    /** Says something on the way to a final answer. */
    void event(String message);

    /** Says a final answer. */
    void answer(String message);

    /** True while the client has much to take already: streams wait. */
    boolean slow();

    /** Hears what the client has said by now, its leaving included, though that has not had its turn on the loop. */
    void look();
}
