package maplerail.routing;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The answer is complete. */
    COMPLETED(false),
    /** The prompt was read; its state waits for a writer. */
    PROMPT_READ(true),
    /** The engine answered with an error. */
    ERROR(false),
    /** The engine rejected the attempt because it is at capacity. */
    OVERLOADED(true),
    /** The state that a writer was to take is no longer there. */
    STATE_LOST(true),
    /** No answer within the attempt's time. */
    TIMEOUT(false),
    /** No connection could be made. */
    UNREACHABLE(true),
    /** The connection broke before the answer was complete. */
    RESET(false),
    /** The gateway called the attempt off. */
    CANCELLED(false),
    /** Nothing of the attempt was sent. */
    NOT_SENT(true);

    private final boolean withoutEffect;

    AttemptOutcome(boolean withoutEffect) {
        this.withoutEffect = withoutEffect;
    }

    /** True if the outcome proves that the attempt had no effect, so that another can't repeat it. */
    public boolean provesNoEffect() {
        return withoutEffect;
    }
}
