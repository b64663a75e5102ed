package maplerail.core;

import maplerail.metrics.Metrics.Verdict;
import maplerail.routing.AttemptOutcome;

/** Fifth stage: forwards the events of the winning attempt to the client as they arrive. */
final class ResponseRelay {
    private final RequestRegistry registry;
    private final EventLoop loop;

    ResponseRelay(RequestRegistry registry, EventLoop loop) {
        this.registry = registry;
        this.loop = loop;
    }

    void onEvent(Attempt attempt, byte[] event) {
        if (attempt.record.finished || attempt.record.observer.onEvent(event)) return;
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

    /** Reports a stream as complete only if its attempt has completed, and as broken otherwise. */
    void onEnded(Attempt attempt, AttemptOutcome outcome) {
        RequestRecord record = attempt.record;
        boolean complete = outcome == AttemptOutcome.COMPLETED;
        if (!registry.finish(record, complete ? Verdict.ANSWERED : Verdict.ERRORED)) return;
        if (complete) record.observer.onCompleted();
        else record.observer.onBroken();
    }
}
