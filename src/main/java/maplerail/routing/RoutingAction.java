package maplerail.routing;

/** An action that a routing policy requests from its gateway. */
public sealed interface RoutingAction {

    /** Calls the handler's method for this kind of action. */
    void accept(Handler handler);

    /** One method for each kind of action; the default implementations ignore the action. */
    interface Handler {
        /** Starts an attempt. */
        default void onStartAttempt(StartAttempt action) {}

        /** Cancels an attempt. */
        default void onCancelAttempt(CancelAttempt action) {}

        /** Releases the state that engines hold for a request. */
        default void onReleaseState(ReleaseState action) {}

        /** Requests a place at a writer. */
        default void onReservePlace(ReservePlace action) {}

        /** Rejects a request. */
        default void onRejectRequest(RejectRequest action) {}

        /** Fails a request. */
        default void onFailRequest(FailRequest action) {}

        /** Sets a timer. */
        default void onSetTimer(SetTimer action) {}

        /** Subscribes to endpoint updates. */
        default void onSubscribeEndpoints(SubscribeEndpoints action) {}

        /** Fetches the endpoint list. */
        default void onFetchEndpoints(FetchEndpoints action) {}

        /** Writes a log line. */
        default void onLogMessage(LogMessage action) {}
    }

    /** Start an attempt, which times out at {@code deadlineMs}; a request's attempts are numbered from 0. */
    record StartAttempt(long requestId, long engine, double deadlineMs) implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onStartAttempt(this);
        }
    }

    /** Cancel an attempt. */
    record CancelAttempt(long requestId, int attempt) implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onCancelAttempt(this);
        }
    }

    /** Release the state that engines hold for the request, except where an attempt still waits for it. */
    record ReleaseState(long requestId) implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onReleaseState(this);
        }
    }

    /** Request a writer to reserve a place for a request whose prompt is still being read. */
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

    /** Report a {@link RoutingEvent.TimerFired} with this token at {@code atMs}. */
    record SetTimer(long token, double atMs) implements RoutingAction {
        @Override
        public void accept(Handler handler) {
            handler.onSetTimer(this);
        }
    }

    /** Open the subscription to endpoint updates. */
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
