package maplerail.core;

import java.util.ArrayList;
import java.util.List;

/** The state of an open request: its attempts, its response, and the reservations that engines may have for it. */
final class RequestRecord {
    final long number;
    final InferenceRequest request;
    final ResponseObserver observer;
    final double deadlineMs;
    final RequestTerms terms;
    final List<Attempt> attempts = new ArrayList<>();
    /** The reservations at engines; managed by {@link ReservationManager}. */
    final RequestReservations reservations = new RequestReservations();
    /** Reads that wait until the states that earlier reads may have left are released. */
    final List<Runnable> waitingReads = new ArrayList<>();
    /** The read for which the policy is being asked to name a writer; null at any other time. */
    Attempt probedRead;
    /** The timer of the next reservation deadline. */
    EventLoop.Timer reservationTimer = () -> {};

    boolean admitted;
    /** True once {@link ExecutedRequests} has told other processes that it may be executed here. */
    boolean claimed;
    /** The memory of its payload. */
    MemoryBudget.Reservation memory;

    boolean finished;
    /** True while its stream is a {@link SuspendedStream}. */
    boolean suspended;

    double lastCancelMs = Double.NEGATIVE_INFINITY;
    /** The attempt whose events are sent to the client; null before the first event. */
    Attempt winner;

    EventLoop.Timer deadlineTimer;

    RequestRecord(
            long number, InferenceRequest request, ResponseObserver observer, double deadlineMs, RequestTerms terms) {
        this.number = number;
        this.request = request;
        this.observer = observer;
        this.deadlineMs = deadlineMs;
        this.terms = terms;
    }

    boolean hasAttemptInFlight() {
        return attempts.stream().anyMatch(Attempt::isInFlight);
    }

    /** True if its class may be executed any number of times. */
    boolean isRepeatable() {
        return terms.of(request).repeatable();
    }

    /** True if an attempt that has ended may have been executed. */
    boolean mayHaveExecuted() {
        return attempts.stream().anyMatch(attempt -> attempt.maybeExecuted);
    }

    /** True if an engine has not responded to an attempt. */
    boolean hasAttemptWithoutResponseAt(long engine) {
        return attempts.stream().anyMatch(attempt -> attempt.engine == engine && !attempt.engineResponded);
    }

    /** True if an attempt was aborted without any response: its connection may be dead without an error. */
    boolean hasAbortedWithoutResponse() {
        return attempts.stream().anyMatch(Attempt::wasAbortedWithoutResponse);
    }

    /** True if an attempt at the given engine was aborted without any response. */
    boolean hasAbortedWithoutResponseAt(long engine) {
        return attempts.stream().anyMatch(attempt -> attempt.engine == engine && attempt.wasAbortedWithoutResponse());
    }

    /** Frees the payload's memory if it can be dropped: a response has begun, so no further attempt is sent. */
    void releasePayload() {
        if (request.payload().release()) memory.release();
    }

    /** True while the response streams to the client. */
    boolean isStreaming() {
        return winner != null && !finished;
    }

    /** True if another attempt is in flight or may have been executed, and engines no longer drop duplicates of it. */
    boolean isKeyExpiredFor(Attempt attempt, double nowMs) {
        double keyTtlMs = terms.of(request).keyTtlMs();
        return attempts.stream()
                .anyMatch(a -> a != attempt && (!a.ended || a.maybeExecuted) && nowMs >= a.sentMs + keyTtlMs);
    }
}
