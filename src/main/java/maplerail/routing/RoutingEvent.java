package maplerail.routing;

import java.util.List;

/** Something that a gateway reports to its routing policy. */
public sealed interface RoutingEvent {

    /** Calls the handler's method for this kind of event. */
    void accept(Handler handler);

    /** One method for each kind of event; those that are not overridden ignore it. */
    interface Handler {
        /** Handles news from service discovery. */
        default void onEndpointUpdate(EndpointUpdate update) {}

        /** Handles a new request. */
        default void onRequestArrived(RequestArrived arrival) {}

        /** Handles the beginning of a stream. */
        default void onFirstToken(FirstToken firstToken) {}

        /** Handles the end of an attempt. */
        default void onAttemptEnded(AttemptEnded end) {}

        /** Handles a read that has taken long without a word of its reader. */
        default void onReadOverdue(ReadOverdue read) {}

        /** Handles a place that a writer holds for a request. */
        default void onPlaceReserved(PlaceReserved place) {}

        /** Handles a request whose client no longer waits. */
        default void onRequestAbandoned(RequestAbandoned abandoned) {}

        /** Handles a timer that is due. */
        default void onTimerFired(TimerFired timer) {}

        /** Handles new settings. */
        default void onSettingsChanged(SettingsChanged change) {}

        /** Handles a cache entry of the policy that served here before. */
        default void onPrefixCached(PrefixCached entry) {}

        /** Handles a read that another gateway has observed. */
        default void onPeerRead(PeerRead read) {}
    }

    /**
     * News from service discovery.
     *
     * @param kind what the update holds
     * @param version the list's version
     * @param endpoints the endpoints that it names
     */
    record EndpointUpdate(EndpointUpdateKind kind, long version, List<Endpoint> endpoints) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onEndpointUpdate(this);
        }
    }

    /**
     * The gateway has taken a request.
     *
     * @param requestId the request's number, unique while it is open
     * @param requestClass the index of its class in {@link RoutingSettings#classes()}
     * @param tenant the index of its tenant in {@link RoutingSettings#tenants()}; any other for none
     * @param session the key of its session; 0 for none
     * @param promptTokens the length of its prompt
     * @param prefix the key of the shared text with which its prompt begins; 0 for none
     * @param prefixTokens the length of that text
     * @param budgetMs the time until its client gives up
     * @param maxOutputTokens the most that it may be answered with
     * @param expectedStreamMs a hint at how long its answer streams; 0 for none
     * @param resumed whether it asks for the rest of a stream that broke
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

        /** The same arrival with lengths and times of at most {@code max}, and 0 in place of NaN and negative ones. */
        public RequestArrived cutTo(double max) {
            return new RequestArrived(
                    requestId,
                    requestClass,
                    tenant,
                    session,
                    cut(promptTokens, max),
                    prefix,
                    cut(prefixTokens, max),
                    cut(budgetMs, max),
                    cut(maxOutputTokens, max),
                    cut(expectedStreamMs, max),
                    resumed);
        }

        private static double cut(double value, double max) {
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
     * @param cachedTokens the part of the prompt that did not have to be read
     * @param requestClosed whether the request needs nothing more, as it has its final answer
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
     * A read has taken longer than reads did lately, and its answer may have been lost. A {@link RoutingAction.ReservePlace}
     * finds out: its answer says whether the read is still in flight.
     */
    record ReadOverdue(long requestId, int attempt) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onReadOverdue(this);
        }
    }

    /** A writer holds a place for a request; the state moves there as soon as it has been read, and then only there. */
    record PlaceReserved(long requestId, long engine) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onPlaceReserved(this);
        }
    }

    /** Nobody waits for the request any more. */
    record RequestAbandoned(long requestId) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onRequestAbandoned(this);
        }
    }

    /** The time that a {@link RoutingAction.SetTimer} asked for has come. */
    record TimerFired(long token) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onTimerFired(this);
        }
    }

    /** Other settings hold for requests from now on; what was learned stays, and open requests keep theirs. */
    record SettingsChanged(RoutingSettings settings) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onSettingsChanged(this);
        }
    }

    /**
     * The policy that served here before assumes that an engine has a prompt's prefix in its cache.
     *
     * @param session true if the key is a session's, false if it is a shared text's
     * @param key the session or shared text
     * @param tokens the length that is cached
     * @param atMs when it was read there
     */
    record PrefixCached(boolean session, long key, long engine, double tokens, double atMs) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onPrefixCached(this);
        }
    }

    /**
     * Another gateway has observed reads at a reader, from which this one's own reads may be too few to learn.
     *
     * @param elapsedMs the time of a read from sending it to its end, queueing included; the mean of recent ones
     * @param tokens the uncached tokens of a read; the mean of the same reads
     */
    record PeerRead(long engine, double elapsedMs, double tokens) implements RoutingEvent {
        @Override
        public void accept(Handler handler) {
            handler.onPeerRead(this);
        }
    }
}
