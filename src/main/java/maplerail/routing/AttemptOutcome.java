package maplerail.routing;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The answer was received completely. */
    COMPLETED(false),
    /** The prompt was read; the reader keeps its state until a writer takes it. */
    PROMPT_READ(true),
    /** The engine answered with an error. */
    ERROR(false),
    /** The engine rejected the attempt because it is at capacity. */
    OVERLOADED(true),
    /** The state that the writer should have taken no longer exists. */
    STATE_LOST(true),
    /** No answer arrived within the attempt's deadline. */
    TIMEOUT(false),
    /** No connection could be established. */
    UNREACHABLE(true),
    /** The connection broke before the answer was complete. */
    RESET(false),
    /** The gateway cancelled the attempt. */
    CANCELLED(false),
    /** Nothing of the attempt was sent. */
    NOT_SENT(true);

    private final boolean provenWithoutEffect;

    AttemptOutcome(boolean provenWithoutEffect) {
        this.provenWithoutEffect = provenWithoutEffect;
    }

    /** True if the outcome proves that the attempt had no effect, so that a further attempt repeats none. */
    public boolean provesNoEffect() {
        return provenWithoutEffect;
    }
}
