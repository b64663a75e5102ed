package maplerail.core;

import java.util.ArrayList;
import java.util.List;

/** What is known of an open request: its attempts, its answer, and what engines may hold for it. */
final class RequestRecord {
    final long number;
    final InferenceRequest request;
    final ResponseObserver observer;
    final double deadlineMs;
    final RequestTerms terms;
    final List<Attempt> attempts = new ArrayList<>();
    /** What engines hold for it; {@link ReservationKeeper} decides what becomes of that. */
    final RequestReservations reservations = new RequestReservations();
    /** Reads that wait until what earlier ones may have left has been released. */
    final List<Runnable> waitingReads = new ArrayList<>();
    /** For the next deadline of what is held. */
    EventLoop.Timer reservationTimer = () -> {};

    boolean admitted;
    boolean answered;
    double lastCancelMs = Double.NEGATIVE_INFINITY;
    /** The attempt whose events the client gets; null before the first event. */
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

    /** True if an engine has left an attempt unanswered. */
    boolean hasUnansweredAt(long engine) {
        return attempts.stream().anyMatch(attempt -> attempt.engine == engine && !attempt.answered);
    }

    /** True if an attempt was given up without a word of its engine: its connection may have been silent. */
    boolean hasUnheardAttempt() {
        return attempts.stream().anyMatch(Attempt::isUnheard);
    }

    /** True if an attempt at an engine was given up so. */
    boolean hasUnheardAttemptAt(long engine) {
        return attempts.stream().anyMatch(attempt -> attempt.engine == engine && attempt.isUnheard());
    }

    /** True once the answer streams and has not ended. */
    boolean isStreaming() {
        return winner != null && !answered;
    }

    /** True if another attempt is in flight or may have been executed, and engines no longer drop a repeat of it. */
    boolean isKeyExpiredFor(Attempt attempt, double nowMs) {
        double keyTtlMs = terms.of(request).keyTtlMs();
        return attempts.stream()
                .anyMatch(a -> a != attempt && (!a.ended || a.maybeExecuted) && nowMs >= a.sentMs + keyTtlMs);
    }
}
