package maplerail.routing;

/** Which of the two stages of a request an engine serves. */
public enum EngineRole {
    /** Reads prompts (prefill) and hands the resulting state to a writer. */
    READER,
    /** Takes the state of a prompt that was read and streams the answer (decode). */
    WRITER,
    /** Serves both stages. */
    BOTH
}
