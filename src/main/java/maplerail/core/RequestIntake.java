package maplerail.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** First stage: assigns a number to each request and opens its record. */
final class RequestIntake {
    private final EventLoop loop;
    private final RequestRegistry registry;
    private final ExecutedRequests executed;
    private final Map<String, RequestRecord> openById = new HashMap<>();
    private long lastNumber;

    RequestIntake(EventLoop loop, RequestRegistry registry, ExecutedRequests executed) {
        this.loop = loop;
        this.registry = registry;
        this.executed = executed;
    }

    /**
     * Opens a record; empty if a request with the same id is open, as engines could not distinguish the two, or may have
     * been executed.
     *
     * @param latestMs the upper limit of the request's deadline
     */
    Optional<RequestRecord> open(
            InferenceRequest request, ResponseObserver observer, RequestTerms terms, double latestMs) {
        if (openById.containsKey(request.id()) || executed.mayContain(request.id())) return Optional.empty();
        double deadlineMs = Math.min(loop.nowMs() + request.budgetMs(), latestMs);
        RequestRecord record = new RequestRecord(++lastNumber, request, observer, deadlineMs, terms);
        openById.put(request.id(), record);
        registry.open(record, () -> {
            openById.remove(request.id());
            executed.onClosed(record);
        });
        return Optional.of(record);
    }
}
