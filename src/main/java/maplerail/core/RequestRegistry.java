package maplerail.core;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplerail.metrics.Metrics;
import maplerail.metrics.Metrics.Verdict;

/** Last stage: tracks open requests. Ensures one final response for each, and that no state stays reserved for it. */
final class RequestRegistry {
    private final AdmissionStage admission;
    private final ReservationManager reservations;
    private final Metrics metrics;
    private final Map<Long, RequestRecord> records = new HashMap<>();
    private final Map<Long, Runnable> closeActions = new HashMap<>();
    private int unfinished;

    RequestRegistry(AdmissionStage admission, ReservationManager reservations, Metrics metrics) {
        this.admission = admission;
        this.reservations = reservations;
        this.metrics = metrics;
    }

    /** Adds a record; {@code onClosed} runs when it is removed. */
    void open(RequestRecord record, Runnable onClosed) {
        records.put(record.number, record);
        closeActions.put(record.number, onClosed);
        unfinished++;
        metrics.taken();
    }

    /** The record of a request, or null if it is not open. */
    RequestRecord find(long number) {
        return records.get(number);
    }

    List<RequestRecord> all() {
        return List.copyOf(records.values());
    }

    /** The requests whose responses are streaming, oldest first. */
    List<RequestRecord> streaming() {
        return records.values().stream()
                .filter(RequestRecord::isStreaming)
                .sorted(Comparator.comparingLong(r -> r.number))
                .toList();
    }

    int unfinished() {
        return unfinished;
    }

    int size() {
        return records.size();
    }

    /**
     * Marks a request as finished and counts its verdict; the only place where verdicts are counted. Returns true the
     * first time only: the caller that gets true sends the final response, unless the client has disconnected.
     */
    boolean finish(RequestRecord record, Verdict verdict) {
        if (record.finished) return false;
        record.finished = true;
        unfinished--;
        metrics.ended();
        record.terms.of(record.request).tally().count(verdict);
        if (record.deadlineTimer != null) record.deadlineTimer.cancel();
        if (record.admitted) admission.release(record.request);
        return true;
    }

    /** To be called after each end of an attempt: releases unneeded states, and removes a finished record. */
    void cleanUp(RequestRecord record) {
        reservations.review(record);
        if (record.hasAttemptInFlight()) return;
        if (record.finished && records.remove(record.number) != null) {
            record.memory.release();
            closeActions.remove(record.number).run();
        }
    }
}
