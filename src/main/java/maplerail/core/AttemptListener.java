package maplerail.core;

import maplerail.routing.AttemptOutcome;

/** Observes how attempts ended at engines, for the data that gateways exchange. Called on the event loop. */
public interface AttemptListener {
    /** A listener that does nothing. */
    AttemptListener NONE = new AttemptListener() {
        @Override
        public void onPromptRead(long engine, double elapsedMs, double uncachedTokens) {}

        @Override
        public void onEnded(long engine, AttemptOutcome outcome) {}
    };

    /**
     * A prompt was read.
     *
     * @param elapsedMs the time from the start of the attempt to its end
     * @param uncachedTokens the number of prompt tokens that were not cached and had to be read
     */
    void onPromptRead(long engine, double elapsedMs, double uncachedTokens);

    /** An engine, or the connection to it, ended an attempt; one that the gateway itself ended is not reported. */
    void onEnded(long engine, AttemptOutcome outcome);
}
