package maplerail.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import maplerail.soak.SoakClient.Sent;
import maplerail.support.EngineLog;
import maplerail.support.StateLedger;

/** Judges a run by what clients and engines have seen; knows nothing of what was drawn. Bounds are those of the pages. */
final class SoakJudge {
    private static final double HELD_LIMIT_MS = 800; // the settings' 500 and 300 more
    private static final double ANSWER_SLACK_MS = 500; // after a request's time it only earns nothing
    private static final double CLIENT_GONE_MS = 100; // after which no attempt begins for a client that has left
    private static final double CROSSING_MS = 100; // in which a close may cross a request on a kept connection
    private static final double TAKEN_AFTER_TERM_MS = 700; // what came later must be answered before SIGKILL

    private final Collection<Sent> requests;
    private final StateLedger ledger;
    private final EngineLog engines;
    private final List<String> broken = new ArrayList<>();

    SoakJudge(Collection<Sent> requests, StateLedger ledger, EngineLog engines) {
        this.requests = requests;
        this.ledger = ledger;
        this.engines = engines;
    }

    /** What was broken; {@code termMs} and {@code killMs} are NaN if there was no such signal. */
    List<String> judge(double termMs, double killMs) {
        judgeHeld(killMs);
        for (Sent sent : requests) {
            judgeAnswer(sent, termMs, killMs);
            judgeEffects(sent);
            judgeLeft(sent);
            if (sent.endedWhole && !sent.hasEnd) broken.add("ended as if it were whole: " + sent);
        }
        return broken;
    }

    /** What a process that is killed leaves is freed by the platform some seconds later. */
    private void judgeHeld(double killMs) {
        Map<String, Long> late = ledger.heldLongerThan(HELD_LIMIT_MS, killMs);
        late.forEach((id, heldMs) -> broken.add("held " + heldMs + " ms: " + id));
    }

    private void judgeAnswer(Sent sent, double termMs, double killMs) {
        if (!Double.isNaN(sent.leftMs)) return;
        if (sent.headMs <= sent.sentMs + sent.deadlineMs + ANSWER_SLACK_MS) return;
        boolean killed = sent.endedMs >= killMs - CROSSING_MS || sent.sentMs >= killMs - CROSSING_MS;
        boolean cameBefore = sent.sentMs <= termMs + TAKEN_AFTER_TERM_MS;
        boolean waitsPastKill = sent.sentMs + sent.deadlineMs > killMs;
        if (killed && (cameBefore || waitsPastKill)) return;
        boolean crossed = sent.onKeptConnection
                && sent.endedMs <= sent.sentMs + CROSSING_MS
                && engines.lastAttemptMs(sent.id) < sent.sentMs;
        if (!crossed) broken.add("no answer in time: " + sent);
    }

    private void judgeEffects(Sent sent) {
        int executions = engines.executions(sent.id);
        if (!sent.repeatable && executions > 1) broken.add("ran " + executions + " times: " + sent);
        boolean refused = sent.status == 429 || sent.status == 503;
        if (!sent.repeatable && refused && executions > 0 && !sent.isSentAgain)
            broken.add("refused after it ran: " + sent);
    }

    private void judgeLeft(Sent sent) {
        if (sent.isSentAgain) return;
        if (engines.lastAttemptMs(sent.id) > sent.leftMs + CLIENT_GONE_MS)
            broken.add("sent for a client that had left: " + sent);
    }
}
