package maplerail.core;

import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import maplerail.routing.AttemptOutcome;

/**
 * Logs and counts the outcomes of requests, attempts and reserved states. Each line is one event with the client's
 * request id, so that a request can be traced in the logs of the gateway, the clients and the engines. Successes are
 * only counted.
 */
final class RequestEventLog {
    /** Releases that start sooner are not logged: most follow the end of an attempt at once. */
    private static final double MIN_LOGGED_HOLD_MS = 100;

    private final EventLoop loop;
    private final LogRateLimiter limiter;
    private final Metrics metrics;
    private LongFunction<String> engineNames = Long::toHexString;

    RequestEventLog(EventLoop loop, Consumer<String> log, Metrics metrics) {
        this.loop = loop;
        this.limiter = new LogRateLimiter(loop, log, metrics);
        this.metrics = metrics;
    }

    /** Sets how engines are named in the log. */
    void setEngineNames(LongFunction<String> names) {
        engineNames = names;
    }

    /** Records the end of an attempt, with the details that its transport reports. */
    void attemptEnded(Attempt attempt, AttemptOutcome outcome, double elapsedMs) {
        metrics.count(countOf(outcome));
        if (!isFailure(outcome) || !limiter.tryAcquire()) return;
        writeLine(
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

    /** Records a read without a response of which a writer reports that it is not in flight. */
    void readLost() {
        metrics.count(EventCount.READS_LOST);
    }

    /** Records that a state is released because it has been reserved for as long as the settings allow. */
    void reservationOverdue(RequestRecord record) {
        metrics.count(EventCount.RESERVATIONS_OVERDUE);
        if (!limiter.tryAcquire()) return;
        writeLine(
                "reservation overdue request=%s held_ms=%.0f holders=%s in_flight=%d answered=%b streaming=%b",
                record.request.id(),
                loop.nowMs() - record.reservations.limitFromMs(loop.nowMs(), Double.POSITIVE_INFINITY),
                record.reservations.holders().stream().map(engineNames::apply).toList(),
                record.attempts.stream().filter(Attempt::isInFlight).count(),
                record.finished,
                record.isStreaming());
    }

    /** Records that a read is given up without a response, and why. */
    void readGivenUp(Attempt read, GiveUpReason reason) {
        metrics.count(EventCount.READS_GIVEN_UP);
        if (!limiter.tryAcquire()) return;
        writeLine(
                "read given up request=%s attempt=%d engine=%s reason=%s written_ms_ago=%.0f",
                read.record.request.id(),
                read.number,
                engineNames.apply(read.engine),
                reason,
                loop.nowMs() - read.writtenMs());
    }

    /** Records a writer's answer to being asked for a place, or that it gave none. */
    void placeAnswered(Attempt read, long writer, ReservePlaceResult result, double elapsedMs) {
        if (!limiter.tryAcquire()) return;
        writeLine(
                "place answered request=%s writer=%s result=%s elapsed_ms=%.0f about_attempt=%d read_in_flight=%b",
                read.record.request.id(), engineNames.apply(writer), result, elapsedMs, read.number, read.isInFlight());
    }

    /** Records the start of a release of what an engine may have held for a while: who may hold what, and how long. */
    void releaseStarted(RequestRecord record, Reservation reservation) {
        double heldMs = loop.nowMs() - reservation.sinceMs();
        if (heldMs < MIN_LOGGED_HOLD_MS || !limiter.tryAcquire()) return;
        writeLine(
                "release started request=%s holder=%s phase=%s may_reappear=%b held_ms=%.0f in_flight=%d answered=%b",
                record.request.id(),
                engineNames.apply(reservation.engine),
                reservation.phase(),
                reservation.stateMayReappear(),
                heldMs,
                record.attempts.stream().filter(Attempt::isInFlight).count(),
                record.finished);
    }

    /** Records a request that was rejected or failed without a response from an engine. */
    void requestEnded(RequestRecord record, String end, ResponseObserver.Reason reason) {
        if (!limiter.tryAcquire()) return;
        writeLine(
                "request %s request=%s class=%s reason=%s attempts=%d left_ms=%.0f",
                end,
                record.request.id(),
                record.terms.of(record.request).name(),
                reason,
                record.attempts.size(),
                record.deadlineMs - loop.nowMs());
    }

    private void writeLine(String format, Object... values) {
        limiter.write(String.format(Locale.ROOT, format, values));
    }
}
