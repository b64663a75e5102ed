package maplerail.core;

/** A front's handle to an open request. Its methods have no effect once the request has its final response. */
public interface RequestHandle {
    /** The handle of a request that is not open. */
    RequestHandle CLOSED = new RequestHandle() {
        @Override
        public void onClientDisconnected() {}

        @Override
        public void onClientWritable() {}
    };

    /** Reports that the client has disconnected or cancelled: the request ends without a response. */
    void onClientDisconnected();

    /** Reports that the client can receive data again after {@link ResponseObserver#onEvent} requested a pause. */
    void onClientWritable();
}
