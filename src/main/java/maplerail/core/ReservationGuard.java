package maplerail.core;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import maplerail.routing.AttemptOutcome;

/**
 * Keeps the limit on reserved states: what an engine holds for a request is released in time, whatever becomes of the attempts
 * that were to take it.
 *
 * <p>That an attempt was written to a connection proves nothing, as the connection may have fallen silent; only an engine's
 * answer proves that something arrived. So the limit runs from the last proof (a read that was answered, or a later attempt
 * that was answered and ended), each event that may leave a state behind sets a check of its own, and a check always releases
 * what is due. Engines pass over a release of what a running engine's attempt waits for, so an attempt in flight that did
 * arrive loses nothing by it.
 */
final class ReservationGuard {
    /** Of the limit, when a state is released that an attempt in flight may have taken: timers and calls may be late. */
    private static final double IN_USE_SHARE = 0.8;

    /** Beyond the limit, when a state is released that nothing can have taken; sockets allow 300 ms for the release's way. */
    private static final double SLACK_MS = 30;

    /** Timers fire on whole milliseconds. */
    private static final double TIMER_TOLERANCE_MS = 1;

    /** Between two looks at whether a read that is on its way has ended. */
    private static final double READING_MS = 25;

    /** For how long after its end an unanswered read may still leave a state, if its reader did not hear of the end. */
    private static final double LATE_READ_MS = 2_500;

    private final EventLoop loop;
    private final StateReleaser releaser;
    private final RequestEventLog events;
    private final Consumer<Attempt> endUnsentWrite;

    /** Creates a guard; {@code endUnsentWrite} ends a write of which nothing was sent, as its state is released. */
    ReservationGuard(EventLoop loop, StateReleaser releaser, RequestEventLog events, Consumer<Attempt> endUnsentWrite) {
        this.loop = loop;
        this.releaser = releaser;
        this.events = events;
        this.endUnsentWrite = endUnsentWrite;
    }

    /** Notes where a state may be held after the end of an attempt, and until when. */
    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome) {
        RequestRecord record = attempt.record;
        boolean read = outcome == AttemptOutcome.PROMPT_READ;
        // A read that was cancelled may have been completed just then.
        boolean mayBeRead = attempt.readsPrompt && !outcome.provesNoEffect();
        if (read) record.confirmedHolders.add(attempt.engine);
        if (read || mayBeRead) record.possibleHolders.put(attempt.engine, loop.nowMs());
        boolean broken = outcome == AttemptOutcome.RESET || outcome == AttemptOutcome.ERROR;
        if (attempt.readsPrompt && broken) record.brokenReaders.add(attempt.engine);
        // A writer has said so: what was read for it is not held any more.
        if (outcome == AttemptOutcome.STATE_LOST) record.confirmedHolders.clear();
        attempt.answered |= isAnswer(outcome);
        if (isAnswer(outcome) && !record.confirmedHolders.isEmpty()) restartLimit(record);
        checkLater(record);
    }

    /** True if the outcome is an engine's own word, which proves that the attempt had arrived there. */
    private static boolean isAnswer(AttemptOutcome outcome) {
        return switch (outcome) {
            case COMPLETED, PROMPT_READ, OVERLOADED, STATE_LOST, ERROR -> true;
            case RESET, UNREACHABLE, TIMEOUT, CANCELLED, NOT_SENT -> false;
        };
    }

    private void restartLimit(RequestRecord record) {
        record.heldSinceMs = loop.nowMs();
        record.reservationOverdue = false;
        record.reservationExpired = false;
    }

    private void checkLater(RequestRecord record) {
        if (record.possibleHolders.isEmpty()) return;
        double eventMs = loop.nowMs();
        loop.at(eventMs + inUseLimitMs(record), () -> checkInUse(record, eventMs));
        loop.at(eventMs + limitMs(record), () -> check(record, eventMs));
    }

    private static double inUseLimitMs(RequestRecord record) {
        return record.terms.reservationLimitMs() * IN_USE_SHARE;
    }

    private static double limitMs(RequestRecord record) {
        return record.terms.reservationLimitMs() + SLACK_MS;
    }

    /** Releases what an attempt in flight may have taken, unless that was done since the event. */
    private void checkInUse(RequestRecord record, double eventMs) {
        List<Long> due = due(record, inUseLimitMs(record));
        if (due.isEmpty() || !mayBeTaken(record) || record.releasedInUseMs > eventMs) return;
        if (record.isReading()) {
            // A release would undo the read, wherever it is; once that has ended, what is due is released.
            loop.at(loop.nowMs() + READING_MS, () -> checkInUse(record, eventMs));
            return;
        }
        noteOverdue(record, due);
        record.releasedInUseMs = loop.nowMs();
        due.forEach(engine -> releaser.releaseInUse(record, engine));
        if (due.stream().anyMatch(engine -> isReadLate(record, engine))) checkLater(record);
    }

    private void check(RequestRecord record, double eventMs) {
        List<Long> due = due(record, limitMs(record));
        if (due.isEmpty()) return;
        if (mayBeTaken(record)) {
            checkInUse(record, eventMs);
            return;
        }
        noteOverdue(record, due);
        expire(record, due);
    }

    private void noteOverdue(RequestRecord record, List<Long> due) {
        if (record.reservationOverdue || due.stream().noneMatch(record.confirmedHolders::contains)) return;
        record.reservationOverdue = true;
        events.reservationOverdue(record);
    }

    /** The engines that have or may have held a state for so long. */
    private List<Long> due(RequestRecord record, double limitMs) {
        return record.possibleHolders.entrySet().stream()
                .filter(holder -> loop.nowMs() >= heldSinceMs(record, holder) + limitMs - TIMER_TOLERANCE_MS)
                .map(Map.Entry::getKey)
                .toList();
    }

    private static double heldSinceMs(RequestRecord record, Map.Entry<Long, Double> holder) {
        return record.confirmedHolders.contains(holder.getKey()) ? record.heldSinceMs : holder.getValue();
    }

    /** True while an attempt is in flight that may have arrived, so that its engine may have taken the state. */
    private static boolean mayBeTaken(RequestRecord record) {
        return record.attempts.stream().anyMatch(a -> a.isInFlight() && !a.isUnsent());
    }

    /** True for a reader that has confirmed nothing, and may not have heard that its attempt ended. */
    private boolean isReadLate(RequestRecord record, long engine) {
        return !record.confirmedHolders.contains(engine)
                && loop.nowMs() - record.possibleHolders.get(engine) < LATE_READ_MS;
    }

    /** Nothing can have taken the state: the writes that wait for a connection would come too late for it. */
    private void expire(RequestRecord record, List<Long> due) {
        boolean confirmedDue = due.stream().anyMatch(record.confirmedHolders::contains);
        due.forEach(engine -> releaser.release(record, engine));
        if (!confirmedDue) return;
        record.reservationExpired = true;
        for (Attempt attempt : List.copyOf(record.attempts)) {
            if (attempt.isUnsent() && !attempt.readsPrompt) endUnsentWrite.accept(attempt);
        }
    }
}
