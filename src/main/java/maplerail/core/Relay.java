package maplerail.core;

import maplerail.metrics.Metrics.Verdict;
import maplerail.routing.AttemptOutcome;

/** Fifth stage: passes the events of the one attempt that became the caller's, as they come. */
final class Relay {
    private final Book book;
    private final Loop loop;

    Relay(Book book, Loop loop) {
        this.book = book;
        this.loop = loop;
    }

    void event(Entry.Try attempt, byte[] event) {
        if (attempt.entry.answered) return;
        if (attempt.entry.caller.event(event)) return;
        attempt.paused = true;
        attempt.sending.pause();
    }

    void writable(Entry entry) {
        if (entry.winner == null || entry.winner.ended) return;
        entry.winner.paused = false;
        entry.winner.heardMs = loop.nowMs();
        entry.winner.sending.resume();
    }

    /** Only a stream that came to its end is whole; any other must not look so. */
    void ended(Entry.Try attempt, AttemptOutcome outcome) {
        Entry entry = attempt.entry;
        boolean whole = outcome == AttemptOutcome.COMPLETED;
        if (!book.answer(entry, whole ? Verdict.ANSWERED : Verdict.ERRORED)) return;
        if (whole) entry.caller.end();
        else entry.caller.broken();
    }
}
