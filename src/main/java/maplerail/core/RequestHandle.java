package maplerail.core;

/** What a front holds while its request is open. Its calls do nothing once the request has its final answer. */
public interface RequestHandle {
    /** A handle of a request that is not open. */
    RequestHandle CLOSED = new RequestHandle() {
        @Override
        public void onClientDisconnected() {}

        @Override
        public void onClientWritable() {}
    };

    /** Reports that the client has disconnected or cancelled: the request ends without an answer. */
    void onClientDisconnected();

    /** Reports that the client can take more after {@link ResponseObserver#onEvent} asked for a pause. */
    void onClientWritable();
}
