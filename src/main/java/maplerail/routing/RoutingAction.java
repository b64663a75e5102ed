package maplerail.routing;

/** Something that a routing policy wants done. */
public sealed interface RoutingAction {

    /** Calls the handler's method for this kind of action. */
    void accept(Handler handler);

    /** One method for each kind of action; those that are not overridden ignore it. */
    interface Handler {
        /** Makes an attempt. */
        default void onStartAttempt(StartAttempt order) {}

        /** Calls an attempt off. */
        default void onCancelAttempt(CancelAttempt order) {}

        /** Releases what engines hold for a request. */
        default void onReleaseState(ReleaseState order) {}

        /** Asks a writer to hold a place. */
        default void onReservePlace(ReservePlace order) {}

        /** Rejects a request. */
        default void onRejectRequest(RejectRequest order) {}

        /** Fails a request. */
        default void onFailRequest(FailRequest order) {}

        /** Sets a timer. */
        default void onSetTimer(SetTimer order) {}

        /** Subscribes to endpoint updates. */
        default void onSubscribeEndpoints(SubscribeEndpoints order) {}

        /** Fetches the endpoint list. */
        default void onFetchEndpoints(FetchEndpoints order) {}

        /** Writes a log line. */
        default void onLogMessage(LogMessage order) {}
    }

    /** Make an attempt, which times out at {@code deadlineMs}; a request's attempts are numbered from 0. */
    record StartAttempt(long requestId, long engine, double deadlineMs) implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onStartAttempt(this);
        }
    }

    /** Call an attempt off. */
    record CancelAttempt(long requestId, int attempt) implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onCancelAttempt(this);
        }
    }

    /** Release the state that engines hold for the request and that no attempt waits for. */
    record ReleaseState(long requestId) implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onReleaseState(this);
        }
    }

    /** Ask a writer to hold a place for a request that is being read. */
    record ReservePlace(long requestId, long engine) implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onReservePlace(this);
        }
    }

    /** End the request; its client may safely retry, after {@code retryAfterMs} if that is above 0. */
    record RejectRequest(long requestId, double retryAfterMs) implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onRejectRequest(this);
        }
    }

    /** End the request with an error: it may have been executed. */
    record FailRequest(long requestId) implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onFailRequest(this);
        }
    }

    /** Report a {@link RoutingEvent.TimerFired} with this token at a time. */
    record SetTimer(long token, double atMs) implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onSetTimer(this);
        }
    }

    /** Open the standing subscription to endpoint updates. */
    record SubscribeEndpoints() implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onSubscribeEndpoints(this);
        }
    }

    /** Fetch the complete endpoint list once. */
    record FetchEndpoints() implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onFetchEndpoints(this);
        }
    }

    /** Write a line to the log. */
    record LogMessage(String text) implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onLogMessage(this);
        }
    }
}
