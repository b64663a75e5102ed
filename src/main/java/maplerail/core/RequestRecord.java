package maplerail.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What is known of an open request: its attempts, its answer, and what engines may hold for it. */
final class RequestRecord {
    final long number;
    final InferenceRequest request;
    final ResponseObserver observer;
    final double deadlineMs;
    final RequestTerms terms;
    final List<Attempt> attempts = new ArrayList<>();
    /** The engines at which a state may wait, each with the time at which its last read ended. */
    final Map<Long, Double> possibleHolders = new LinkedHashMap<>();
    /** Those of them that have confirmed it. */
    final Set<Long> confirmedHolders = new LinkedHashSet<>();
    /** Readers whose answer broke off or was malformed: they may still be reading, and were not told to stop. */
    final Set<Long> brokenReaders = new HashSet<>();
    /** The last time at which an engine proved that a confirmed state was held: from then on its limit runs. */
    double heldSinceMs;
    /** When states were last released though an attempt in flight may have taken them. */
    double releasedInUseMs = Double.NEGATIVE_INFINITY;
    /** The limit has passed since, and a release was begun. */
    boolean reservationOverdue;
    /** The same with no attempt in flight that could have taken the state: it is gone. */
    boolean reservationExpired;

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

    boolean hasAttemptInFlightAt(long engine) {
        return attempts.stream().anyMatch(a -> a.isInFlight() && a.engine == engine);
    }

    /** True while a read is in flight that may have arrived. */
    boolean isReading() {
        return attempts.stream().anyMatch(a -> a.readsPrompt && a.isInFlight() && !a.isUnsent());
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
