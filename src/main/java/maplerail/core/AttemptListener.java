package maplerail.core;

import maplerail.routing.AttemptOutcome;

/** Is told how attempts ended at engines, for what gateways of a tier tell each other. Called on the event loop. */
public interface AttemptListener {
    /** Ignores everything. */
    AttemptListener NONE = new AttemptListener() {
        @Override
        public void onPromptRead(long engine, double elapsedMs, double uncachedTokens) {}

        @Override
        public void onEnded(long engine, AttemptOutcome outcome) {}
    };

    /**
     * A prompt was read.
     *
     * @param elapsedMs the time from sending the attempt to its end
     * @param uncachedTokens the part of the prompt that had to be read
     */
    void onPromptRead(long engine, double elapsedMs, double uncachedTokens);

    /** An engine, or the connection to it, ended an attempt; one that the gateway itself ended is not reported. */
    void onEnded(long engine, AttemptOutcome outcome);
}
