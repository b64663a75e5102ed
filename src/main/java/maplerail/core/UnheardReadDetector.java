package maplerail.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import maplerail.algorithms.DecayingAverage;

/**
 * Judges of a read that should have ended whether its answer was lost or its reader is slow. The state of a lost one is held
 * and has to be released; a release of a slow one undoes it, and where all readers are slow that would make them slower.
 *
 * <p>A read is proven lost if its reader has answered one that was written later, as readers serve in the order of arrival;
 * or if the reader was cut off since: two connections that were opened to it after the read was written failed, and nothing
 * was heard of it, so that the older ones are silent for good. Where the settings permit, a writer is asked about a read
 * without such a proof.
 *
 * <p>Where nobody can be asked, {@link #isLost} estimates. A read is due when it has taken as long as reads took lately, and
 * most of the limit on what is held. It counts as slow for a while if the reader has answered on another connection that is
 * as old: so not all that were open have fallen silent. Else it is lost as far as a budget allows. The reads that follow lost
 * ones, on new connections, tell which it was: one that is answered soon proves silence and fills the budget, one that takes
 * long as well proves that reads are slow and empties it.
 */
final class UnheardReadDetector {
    /** Of the limit on what is held, beyond the expected time; the rest, and 300 ms, are for the release. */
    private static final double SHARE_OF_LIMIT = 0.9;

    /** The same for a read that is proven lost. */
    private static final double PROVEN_SHARE_OF_LIMIT = 0.6;

    /** The same for asking a writer, whose answer takes up to 300 ms. */
    private static final double ASKED_SHARE_OF_LIMIT = 0.7;

    /** Of the limit, beyond the expected time, for which an answer on another connection speaks for a slow reader. */
    private static final double EXCUSED_LIMITS = 2;

    private static final double RECHECK_MS = 50;
    private static final double BUDGET = 3;
    private static final double PROVEN_BUDGET = 12; // once a read has proved that there is silence
    private static final double BUDGET_PER_ANSWER = 0.05;
    private static final double MUCH_LONGER = 3; // than a read that was answered took one that was lost
    private static final double ENGINE_SAMPLES = 4;
    private static final double ENGINE_MEMORY_MS = 4_000;
    private static final double ALL_SAMPLES = 8;
    private static final double ALL_MEMORY_MS = 8_000;
    private static final double MIN_WEIGHT = 0.3; // samples, below which a mean is too old
    private static final double UNKNOWN_MS = 500; // of a new process, whose connections are new as well
    private static final int REMEMBERED_ANSWERS = 8; // of each reader
    private static final int MAX_READERS = 4_096; // of which any were heard; beyond, all are forgotten

    private final Map<Long, Reader> readers = new HashMap<>();
    private final DecayingAverage allTimes = new DecayingAverage(ALL_SAMPLES, ALL_MEMORY_MS);
    private double budget = BUDGET;

    /** An answer: when it came, and when its connection was opened. */
    private record Answer(double atMs, double connectionOpenedMs) {}

    private static final class Reader {
        private final DecayingAverage times = new DecayingAverage(ENGINE_SAMPLES, ENGINE_MEMORY_MS);
        private final Deque<Answer> answers = new ArrayDeque<>();
        private double lastWrittenMs = Double.NEGATIVE_INFINITY;
        /** When the last two attempts began whose new connections failed; none since the reader was heard. */
        private double lastFailedMs = Double.NEGATIVE_INFINITY;

        private double failedBeforeMs = Double.NEGATIVE_INFINITY;

        private void onConnectionFailed(double beganMs) {
            failedBeforeMs = lastFailedMs;
            lastFailedMs = beganMs;
        }

        private void onHeard() {
            lastFailedMs = Double.NEGATIVE_INFINITY;
            failedBeforeMs = Double.NEGATIVE_INFINITY;
        }

        private boolean hasOvertaken(Attempt read) {
            return lastWrittenMs > read.writtenMs();
        }

        /** One connection alone may be lost, so two attempts have to have failed that began after the read was written. */
        private boolean wasCutOffSince(Attempt read) {
            return failedBeforeMs > read.writtenMs();
        }
    }

    /** A read was answered. */
    void onAnswered(Attempt read, double nowMs) {
        double elapsedMs = nowMs - read.writtenMs();
        if (provesSilence(read, elapsedMs)) budget = PROVEN_BUDGET;
        else if (budget < BUDGET) budget = Math.min(BUDGET, budget + BUDGET_PER_ANSWER);
        Reader reader = reader(read.engine);
        reader.onHeard();
        reader.times.add(elapsedMs, nowMs);
        reader.lastWrittenMs = Math.max(reader.lastWrittenMs, read.writtenMs());
        reader.answers.addLast(new Answer(nowMs, read.handle.connectionOpenedMs()));
        if (reader.answers.size() > REMEMBERED_ANSWERS) reader.answers.removeFirst();
        allTimes.add(elapsedMs, nowMs);
    }

    private Reader reader(long engine) {
        if (readers.size() >= MAX_READERS) readers.clear();
        return readers.computeIfAbsent(engine, number -> new Reader());
    }

    /** A reader declined a read, or failed on it: it can be reached. */
    void onDeclined(Attempt read) {
        reader(read.engine).onHeard();
    }

    /** A read ended as its connection did not come up, or was reset before any answer. */
    void onConnectionFailed(Attempt read) {
        double openedMs = read.handle.connectionOpenedMs();
        boolean isNew = openedMs >= read.sentMs || openedMs == Double.NEGATIVE_INFINITY;
        if (isNew) reader(read.engine).onConnectionFailed(read.sentMs);
    }

    /** No connection came up for a read: after a lost one that speaks for a network that loses things, not for slow readers. */
    void onUnreachable(Attempt read) {
        if (followsLostRead(read)) budget = Math.min(PROVEN_BUDGET, budget + 1);
    }

    /** True if a read of the request was given up, by whomever, and had taken far longer than this one on a new connection. */
    private static boolean provesSilence(Attempt read, double elapsedMs) {
        return read.record.attempts.stream()
                .filter(attempt -> attempt.readsPrompt && attempt.isUnheard())
                .anyMatch(attempt -> attempt.endedMs - attempt.writtenMs() > MUCH_LONGER * elapsedMs);
    }

    /** When a read is to be judged next, if nothing is heard of it. */
    double judgeAtMs(Attempt read, double nowMs) {
        double dueMs = dueMs(read, PROVEN_SHARE_OF_LIMIT, nowMs);
        return nowMs < dueMs ? dueMs : nowMs + RECHECK_MS;
    }

    /** When a writer is to be asked about a read, if nothing is heard of it. */
    double askAtMs(Attempt read, double nowMs) {
        return Math.max(read.inquiry.notBeforeMs(), dueMs(read, ASKED_SHARE_OF_LIMIT, nowMs));
    }

    /** True if the answer of a read is lost for certain. */
    boolean isProvenLost(Attempt read, double nowMs) {
        if (nowMs < dueMs(read, PROVEN_SHARE_OF_LIMIT, nowMs)) return false;
        Reader reader = readers.get(read.engine);
        return reader != null && (reader.hasOvertaken(read) || reader.wasCutOffSince(read));
    }

    /** True if a read of which there is no proof is to be given up now, which uses up budget. */
    boolean isLost(Attempt read, double nowMs) {
        if (nowMs < dueMs(read, SHARE_OF_LIMIT, nowMs)) return false;
        if (followsLostRead(read) && isWithinExcuse(read, nowMs)) {
            // Its connection was opened after the silence began, if it was one, and it takes long all the same.
            budget = 0;
            return false;
        }
        Reader reader = readers.get(read.engine);
        if (reader != null && isExcused(read, reader, nowMs)) return false;
        if (budget < 1) return false;
        budget -= 1;
        return true;
    }

    private double dueMs(Attempt read, double shareOfLimit, double nowMs) {
        return expectedEndMs(read, nowMs) + shareOfLimit * limitMs(read);
    }

    private static double limitMs(Attempt read) {
        return read.record.terms.reservationLimitMs();
    }

    private double expectedEndMs(Attempt read, double nowMs) {
        Reader reader = readers.get(read.engine);
        double allMs = allTimes.meanOr(MIN_WEIGHT, UNKNOWN_MS, nowMs);
        double expectedMs = reader == null ? allMs : Math.max(allMs, reader.times.meanOr(MIN_WEIGHT, 0, nowMs));
        return read.writtenMs() + expectedMs;
    }

    /** Since the read should have ended, an answer has come on a connection that was open when its own was last heard. */
    private boolean isExcused(Attempt read, Reader reader, double nowMs) {
        if (!isWithinExcuse(read, nowMs)) return false;
        double endMs = expectedEndMs(read, nowMs);
        double heardMs = read.handle.connectionHeardMs();
        return reader.answers.stream().anyMatch(a -> a.atMs() > endMs && a.connectionOpenedMs() <= heardMs);
    }

    private boolean isWithinExcuse(Attempt read, double nowMs) {
        return nowMs <= expectedEndMs(read, nowMs) + EXCUSED_LIMITS * limitMs(read);
    }

    /** True if an earlier read of the request was given up; this one is on a new connection then. */
    private static boolean followsLostRead(Attempt read) {
        return read.record.attempts.stream().anyMatch(attempt -> attempt.abortReason == AbortReason.UNHEARD);
    }
}
