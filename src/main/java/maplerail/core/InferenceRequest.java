package maplerail.core;

/**
 * An inference request, as parsed by a front.
 *
 * @param id the client's own id, unique while the request is open
 * @param requestClass the index of its class in the settings
 * @param tenant the index of its tenant in the settings; an index out of range for none
 * @param session the key of its session; 0 for none
 * @param promptTokens the length of its prompt
 * @param prefix the key of the shared prefix of its prompt; 0 for none
 * @param prefixTokens the length of that prefix
 * @param budgetMs the time that its client waits for a response
 * @param maxOutputTokens the maximum length of the output
 * @param expectedStreamMs a hint at the duration of the response stream; 0 for none
 * @param resumed whether it requests the rest of an interrupted stream
 * @param payloadBytes the size of its payload
 * @param payload the data that is sent to the engine
 */
public record InferenceRequest(
        String id,
        int requestClass,
        int tenant,
        long session,
        double promptTokens,
        long prefix,
        double prefixTokens,
        double budgetMs,
        double maxOutputTokens,
        double expectedStreamMs,
        boolean resumed,
        int payloadBytes,
        RequestPayload payload) {}
