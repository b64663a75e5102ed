package maplerail.core;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplerail.metrics.Metrics;
import maplerail.metrics.Metrics.Verdict;

/** Last stage: the open requests. Sees to one final answer for each, and that nothing stays held for it anywhere. */
final class RequestRegistry {
    private final AdmissionStage admission;
    private final ReservationKeeper reservations;
    private final Metrics metrics;
    private final Map<Long, RequestRecord> records = new HashMap<>();
    private final Map<Long, Runnable> closeActions = new HashMap<>();
    private int unanswered;

    RequestRegistry(AdmissionStage admission, ReservationKeeper reservations, Metrics metrics) {
        this.admission = admission;
        this.reservations = reservations;
        this.metrics = metrics;
    }

    /** Adds a record; {@code onClosed} is run when it is removed. */
    void open(RequestRecord record, Runnable onClosed) {
        records.put(record.number, record);
        closeActions.put(record.number, onClosed);
        unanswered++;
        metrics.taken();
    }

    /** The record of a request, or null if it is not open. */
    RequestRecord find(long number) {
        return records.get(number);
    }

    List<RequestRecord> all() {
        return List.copyOf(records.values());
    }

    /** The requests whose answers stream now, the oldest first. */
    List<RequestRecord> streaming() {
        return records.values().stream()
                .filter(RequestRecord::isStreaming)
                .sorted(Comparator.comparingLong(r -> r.number))
                .toList();
    }

    int unanswered() {
        return unanswered;
    }

    int size() {
        return records.size();
    }

    /**
     * Marks a request as answered and counts the answer, here only and once. Returns true the first time: whoever gets true
     * gives the final answer, or knows that nobody wants one.
     */
    boolean answer(RequestRecord record, Verdict verdict) {
        if (record.answered) return false;
        record.answered = true;
        unanswered--;
        metrics.ended();
        record.terms.of(record.request).tally().count(verdict);
        if (record.deadlineTimer != null) record.deadlineTimer.cancel();
        if (record.admitted) admission.release(record.request);
        return true;
    }

    /** To be called after each end of an attempt: releases what cancelled reads left, and closes what is done. */
    void settle(RequestRecord record) {
        reservations.review(record);
        if (record.hasAttemptInFlight()) return;
        if (record.answered && records.remove(record.number) != null) {
            closeActions.remove(record.number).run();
        }
    }
}
