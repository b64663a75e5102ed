package maplerail.core;

import maplerail.metrics.Metrics.Verdict;
import maplerail.routing.AttemptOutcome;

/** Fifth stage: passes on the events of the one attempt that answers a request, as they come. */
final class ResponseRelay {
    private final RequestRegistry registry;
    private final EventLoop loop;

    ResponseRelay(RequestRegistry registry, EventLoop loop) {
        this.registry = registry;
        this.loop = loop;
    }

    void onEvent(Attempt attempt, byte[] event) {
        if (attempt.record.answered || attempt.record.observer.onEvent(event)) return;
        attempt.paused = true;
        attempt.handle.pause();
    }

    void onClientWritable(RequestRecord record) {
        Attempt winner = record.winner;
        if (winner == null || winner.ended) return;
        winner.paused = false;
        winner.lastEventMs = loop.nowMs();
        winner.handle.resume();
    }

    /** Only a stream that came to its end is complete; any other must not look so. */
    void onEnded(Attempt attempt, AttemptOutcome outcome) {
        RequestRecord record = attempt.record;
        boolean complete = outcome == AttemptOutcome.COMPLETED;
        if (!registry.answer(record, complete ? Verdict.ANSWERED : Verdict.ERRORED)) return;
        if (complete) record.observer.onCompleted();
        else record.observer.onBroken();
    }
}
