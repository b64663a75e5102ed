package maplerail.routing;

import java.util.List;

/** An event that a gateway reports to its routing policy. */
public sealed interface RoutingEvent {

    /** Calls the handler's method for this kind of event. */
    void accept(Handler handler);

    /** One method for each kind of event; the default implementations ignore the event. */
    interface Handler {
        /** Handles an update from service discovery. */
        default void onEndpointUpdate(EndpointUpdate update) {}

        /** Handles a new request. */
        default void onRequestArrived(RequestArrived arrival) {}

        /** Handles the beginning of a stream. */
        default void onFirstToken(FirstToken firstToken) {}

        /** Handles the end of an attempt. */
        default void onAttemptEnded(AttemptEnded end) {}

        /** Handles a read that is overdue. */
        default void onReadOverdue(ReadOverdue read) {}

        /** Handles the reservation of a place at a writer. */
        default void onPlaceReserved(PlaceReserved place) {}

        /** Handles a request whose client no longer waits. */
        default void onRequestAbandoned(RequestAbandoned abandoned) {}

        /** Handles a timer that is due. */
        default void onTimerFired(TimerFired timer) {}

        /** Handles new settings. */
        default void onSettingsChanged(SettingsChanged change) {}

        /** Handles a cache entry of this gateway's previous policy. */
        default void onPrefixCached(PrefixCached entry) {}

        /** Handles reads that another gateway has observed. */
        default void onPeerRead(PeerRead read) {}
    }

    /**
     * An update from service discovery.
     *
     * @param kind the content of the update
     * @param version the list's version
     * @param endpoints the endpoints in the update
     */
    record EndpointUpdate(EndpointUpdateKind kind, long version, List<Endpoint> endpoints) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onEndpointUpdate(this);
        }
    }

    /**
     * A request has arrived. It is rejected if its class is not in the settings or an index is below 0.
     *
     * @param requestId the request's number, unique while it is open
     * @param requestClass the index of its class in {@link RoutingSettings#classes()}
     * @param tenant the index of its tenant in {@link RoutingSettings#tenants()}; an index beyond the list for none
     * @param session the key of its session; 0 for none
     * @param promptTokens the length of its prompt
     * @param prefix the key of the shared text with which its prompt begins; 0 for none
     * @param prefixTokens the length of that text
     * @param budgetMs the time until its client stops waiting
     * @param maxOutputTokens the maximum length of its answer
     * @param expectedStreamMs the expected duration of its stream, a hint; 0 for none
     * @param resumed whether it requests the rest of a stream that was interrupted
     */
    record RequestArrived(
            long requestId,
            int requestClass,
            int tenant,
            long session,
            double promptTokens,
            long prefix,
            double prefixTokens,
            double budgetMs,
            double maxOutputTokens,
            double expectedStreamMs,
            boolean resumed)
            implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onRequestArrived(this);
        }

        /** Returns this event with lengths and times limited to {@code max}, and NaN and negative ones replaced by 0. */
        public RequestArrived clampedTo(double max) {
            return new RequestArrived(
                    requestId,
                    requestClass,
                    tenant,
                    session,
                    clamp(promptTokens, max),
                    prefix,
                    clamp(prefixTokens, max),
                    clamp(budgetMs, max),
                    clamp(maxOutputTokens, max),
                    clamp(expectedStreamMs, max),
                    resumed);
        }

        private static double clamp(double value, double max) {
            return value > 0 ? Math.min(value, max) : 0;
        }
    }

    /**
     * A stream has begun.
     *
     * @param elapsedMs the time since the attempt was sent
     */
    record FirstToken(long requestId, int attempt, long engine, double elapsedMs) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onFirstToken(this);
        }
    }

    /**
     * An attempt has ended.
     *
     * @param elapsedMs the time since the attempt was sent
     * @param cachedTokens the part of the prompt that was cached and did not have to be read
     * @param requestClosed whether the request has its final answer and needs no further action
     */
    record AttemptEnded(
            long requestId,
            int attempt,
            long engine,
            AttemptOutcome outcome,
            double elapsedMs,
            double cachedTokens,
            boolean requestClosed,
            LoadReport load)
            implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onAttemptEnded(this);
        }
    }

    /**
     * A read is taking longer than recent reads, and its answer may have been lost. A {@link RoutingAction.ReservePlace}
     * checks this, as its answer states whether the read is still in flight.
     */
    record ReadOverdue(long requestId, int attempt) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onReadOverdue(this);
        }
    }

    /**
     * A writer has reserved a place for a request. The state moves to this writer, and to no other, as soon as the prompt
     * has been read.
     */
    record PlaceReserved(long requestId, long engine) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onPlaceReserved(this);
        }
    }

    /** The client no longer waits for the request. */
    record RequestAbandoned(long requestId) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onRequestAbandoned(this);
        }
    }

    /** A timer that a {@link RoutingAction.SetTimer} has set is due. */
    record TimerFired(long token) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onTimerFired(this);
        }
    }

    /** New settings apply to requests that arrive from now on; open requests and learned statistics are unaffected. */
    record SettingsChanged(RoutingSettings settings) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onSettingsChanged(this);
        }
    }

    /**
     * This gateway's previous policy assumes that an engine has a prompt's prefix in its cache.
     *
     * @param session true if the key identifies a session, false if it identifies a shared prefix
     * @param key the key of the session or shared prefix
     * @param tokens the cached length
     * @param atMs the time at which the engine read it
     */
    record PrefixCached(boolean session, long key, long engine, double tokens, double atMs) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onPrefixCached(this);
        }
    }

    /**
     * Another gateway has observed reads at a reader. This gateway's own reads there may be too few for an estimate.
     *
     * @param elapsedMs the mean time of recent reads from sending to their end, queueing included
     * @param tokens the mean number of uncached tokens of the same reads
     */
    record PeerRead(long engine, double elapsedMs, double tokens) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onPeerRead(this);
        }
    }
}
