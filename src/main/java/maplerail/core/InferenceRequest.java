package maplerail.core;

/**
 * A request as a front understood it.
 *
 * @param id the client's own id, unique while the request is open
 * @param requestClass the index of its class in the settings
 * @param tenant the index of its tenant in the settings; any other for none
 * @param session the key of its session; 0 for none
 * @param promptTokens the length of its prompt
 * @param prefix the key of the shared text with which its prompt begins; 0 for none
 * @param prefixTokens the length of that text
 * @param budgetMs the time until its client gives up
 * @param maxOutputTokens the most that it may be answered with
 * @param expectedStreamMs a hint at how long its answer streams; 0 for none
 * @param resumed whether it asks for the rest of a stream that broke
 * @param payloadBytes the size of its payload
 * @param payload what is sent to the engine
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
