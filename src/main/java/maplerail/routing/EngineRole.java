package maplerail.routing;

/** The stages of a request that an engine serves. */
public enum EngineRole {
    /** Reads prompts (prefill) and hands the resulting state to a writer. */
    READER,
    /** Takes the state of a prompt from a reader and streams the answer (decode). */
    WRITER,
    /** Serves both stages. */
    BOTH
}
