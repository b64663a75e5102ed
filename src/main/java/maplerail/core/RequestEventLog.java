package maplerail.core;

import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import maplerail.routing.AttemptOutcome;

/**
 * Logs and counts what becomes of requests, attempts and reserved states. Each line is one event with the client's id of the
 * request, so that a case can be followed from its records here to those of clients and engines. What goes well is counted
 * only.
 */
final class RequestEventLog {
    private final EventLoop loop;
    private final LineBudget lines;
    private final Metrics metrics;
    private LongFunction<String> engineNames = Long::toHexString;

    RequestEventLog(EventLoop loop, Consumer<String> log, Metrics metrics) {
        this.loop = loop;
        this.lines = new LineBudget(loop, log, metrics);
        this.metrics = metrics;
    }

    /** Sets how engines are named in the log. */
    void setEngineNames(LongFunction<String> names) {
        engineNames = names;
    }

    /** An attempt ended, with what its transport knows of it. */
    void attemptEnded(Attempt attempt, AttemptOutcome outcome, double elapsedMs) {
        metrics.count(countOf(outcome));
        if (!isFailure(outcome) || !lines.admits()) return;
        line(
                "attempt ended request=%s attempt=%d engine=%s role=%s outcome=%s elapsed_ms=%.0f streaming=%b aborted_for=%s %s",
                attempt.record.request.id(),
                attempt.number,
                engineNames.apply(attempt.engine),
                attempt.readsPrompt ? "reader" : "writer",
                outcome,
                elapsedMs,
                attempt.record.winner == attempt,
                attempt.abortReason == null ? "none" : attempt.abortReason,
                attempt.handle == null ? "" : attempt.handle.describe());
    }

    private static boolean isFailure(AttemptOutcome outcome) {
        return switch (outcome) {
            case COMPLETED, PROMPT_READ, OVERLOADED, NOT_SENT -> false;
            default -> true;
        };
    }

    private static EventCount countOf(AttemptOutcome outcome) {
        return switch (outcome) {
            case COMPLETED -> EventCount.ATTEMPTS_COMPLETED;
            case PROMPT_READ -> EventCount.ATTEMPTS_PROMPT_READ;
            case OVERLOADED -> EventCount.ATTEMPTS_OVERLOADED;
            case STATE_LOST -> EventCount.ATTEMPTS_STATE_LOST;
            case ERROR -> EventCount.ATTEMPTS_ERROR;
            case RESET -> EventCount.ATTEMPTS_RESET;
            case UNREACHABLE -> EventCount.ATTEMPTS_UNREACHABLE;
            case TIMEOUT -> EventCount.ATTEMPTS_TIMEOUT;
            case CANCELLED -> EventCount.ATTEMPTS_CANCELLED;
            case NOT_SENT -> EventCount.ATTEMPTS_NOT_SENT;
        };
    }

    /** A writer has said that a read is not in flight whose answer was not heard. */
    void readLost() {
        metrics.count(EventCount.READS_LOST);
    }

    /** A state has been reserved for as long as the settings allow and is released. */
    void reservationOverdue(RequestRecord record) {
        metrics.count(EventCount.RESERVATIONS_OVERDUE);
        if (!lines.admits()) return;
        line(
                "reservation overdue request=%s held_ms=%.0f holders=%s in_flight=%d answered=%b streaming=%b",
                record.request.id(),
                loop.nowMs() - record.reservations.limitFromMs(),
                record.reservations.holders().stream().map(engineNames::apply).toList(),
                record.attempts.stream().filter(Attempt::isInFlight).count(),
                record.answered,
                record.isStreaming());
    }

    /** A request got no answer from an engine: it was rejected or failed. */
    void requestEnded(RequestRecord record, String end, ResponseObserver.Reason reason) {
        if (!lines.admits()) return;
        line(
                "request %s request=%s class=%s reason=%s attempts=%d left_ms=%.0f",
                end,
                record.request.id(),
                record.terms.of(record.request).name(),
                reason,
                record.attempts.size(),
                record.deadlineMs - loop.nowMs());
    }

    private void line(String format, Object... values) {
        lines.write(String.format(Locale.ROOT, format, values));
    }
}
