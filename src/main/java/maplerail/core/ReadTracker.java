package maplerail.core;

import java.util.HashMap;
import java.util.Map;
import maplerail.algorithms.DecayingAverage;

/**
 * Knows what there is to know of reads in flight, and judges those of which nothing is heard though they should have ended:
 * their answers may be lost, and their states held, or their readers may be slow. Decides without I/O.
 *
 * <p>A read is proven lost if its reader has answered one that was written later, as readers serve in the order of arrival;
 * or if the reader was cut off since: two connections that were opened to it after the read was written failed, and nothing
 * was heard of it, so that the older ones are silent for good. The proof counts only some time after the expected end, as a
 * reader that serves several at a time may finish a short one first.
 *
 * <p>As long as a reader is heard at all, a read without such a proof waits in its queue. Only a reader that is silent, on
 * every connection, tells nothing: then a writer is asked, where the settings permit, whose answer says whether the read is in
 * flight. If it is, so are those that were written to the same reader later, and reads there take that long at least. Where
 * nobody may be asked, a read of a silent reader is taken for lost.
 *
 * <p>How long a read should take is what reads took at its reader lately, for this gateway or for another one that has told;
 * where nothing is known of the reader, what they took at all.
 */
final class ReadTracker {
    /** What is to become of a read now. */
    enum Judgement {
        /** It is waited for. */
        WAIT,
        /** A writer is to be asked about it. */
        ASK,
        /** It is to be given up, and its state released. */
        LOST
    }

    /** Of the limit on what is held, from the expected end of a read until a proof that it is lost counts. */
    private static final double PROOF_SHARE_OF_LIMIT = 0.6;

    /** Of the limit, for which a reader is silent before a writer is asked, whose answer takes up to 300 ms. */
    private static final double ASK_SHARE_OF_LIMIT = 0.6;

    /** Of the limit, for which a reader is silent before its reads are taken for lost where nobody can tell. */
    private static final double SILENT_SHARE_OF_LIMIT = 0.9;

    /** The same for a read that follows a lost one: its connection was opened after the silence had begun. */
    private static final double SILENT_SHARE_AFTER_LOST_READ = 2;

    /** After a writer's word that a read is in flight, when it is asked again: the read may have ended since. */
    private static final double ASK_AGAIN_MS = 300;

    private static final double RECHECK_MS = 50;
    private static final double READER_SAMPLES = 4;
    private static final double READER_MEMORY_MS = 4_000;
    private static final double ALL_SAMPLES = 8;
    private static final double ALL_MEMORY_MS = 8_000;

    /** Samples, below which a mean is too old. */
    private static final double MIN_WEIGHT = 0.3;

    /** The expected time of a read as long as none was answered. */
    private static final double UNKNOWN_MS = 500;

    /** Readers of which anything is known; beyond, all are forgotten. */
    private static final int MAX_READERS = 4_096;

    private final Map<Long, Reader> readers = new HashMap<>();
    private final DecayingAverage allTimes = new DecayingAverage(ALL_SAMPLES, ALL_MEMORY_MS);

    private static final class Reader {
        private final DecayingAverage times = new DecayingAverage(READER_SAMPLES, READER_MEMORY_MS);
        /** When it last answered a read. */
        private double heardMs = Double.NEGATIVE_INFINITY;
        /** When the last of the reads was written that were answered. */
        private double lastAnsweredWrittenMs = Double.NEGATIVE_INFINITY;
        /** When the last two attempts began whose new connections failed; none since the reader was heard. */
        private double lastFailedMs = Double.NEGATIVE_INFINITY;

        private double failedBeforeMs = Double.NEGATIVE_INFINITY;
        /** The read that a writer was last asked about; null before the first. */
        private Attempt lastAsked;
        /** When a writer last said that a read is in flight, and when that one was written. */
        private double inFlightAtMs = Double.NEGATIVE_INFINITY;

        private double inFlightWrittenMs = Double.POSITIVE_INFINITY;

        private void onConnectionFailed(double beganMs) {
            failedBeforeMs = lastFailedMs;
            lastFailedMs = beganMs;
        }

        private void onReachable() {
            lastFailedMs = Double.NEGATIVE_INFINITY;
            failedBeforeMs = Double.NEGATIVE_INFINITY;
        }

        /** True while a writer is being asked about a read that the reader comes to no later than to another. */
        private boolean isAskedAboutBefore(Attempt read) {
            return lastAsked != null && lastAsked.inquiry.isOpen() && lastAsked.writtenMs() <= read.writtenMs();
        }

        /** When a writer may be asked about a read again, as far as what one has said of it covers it. */
        private double askAgainMs(Attempt read) {
            return read.writtenMs() < inFlightWrittenMs ? Double.NEGATIVE_INFINITY : inFlightAtMs + ASK_AGAIN_MS;
        }

        private boolean provesLost(Attempt read) {
            boolean overtaken = lastAnsweredWrittenMs > read.writtenMs();
            // One connection alone may be lost: two attempts have to have failed that began after it was written.
            boolean cutOff = failedBeforeMs > read.writtenMs();
            return overtaken || cutOff;
        }
    }

    /** A read was answered. */
    void onAnswered(Attempt read, double nowMs) {
        double elapsedMs = nowMs - read.writtenMs();
        Reader reader = reader(read.engine);
        reader.onReachable();
        reader.heardMs = nowMs;
        reader.times.add(elapsedMs, nowMs);
        reader.lastAnsweredWrittenMs = Math.max(reader.lastAnsweredWrittenMs, read.writtenMs());
        allTimes.add(elapsedMs, nowMs);
    }

    private Reader reader(long engine) {
        if (readers.size() >= MAX_READERS) readers.clear();
        return readers.computeIfAbsent(engine, number -> new Reader());
    }

    /** A reader declined a read, or failed on it: it can be reached, which tells nothing of the reads in its queue. */
    void onDeclined(Attempt read) {
        reader(read.engine).onReachable();
    }

    /** A read ended as its connection did not come up, or was reset before any answer. */
    void onConnectionFailed(Attempt read) {
        double openedMs = read.handle.connectionOpenedMs();
        boolean isNew = openedMs >= read.sentMs || openedMs == Double.NEGATIVE_INFINITY;
        if (isNew) reader(read.engine).onConnectionFailed(read.sentMs);
    }

    /** A writer is being asked about a read. */
    void onAsked(Attempt read) {
        read.inquiry.onAsked();
        reader(read.engine).lastAsked = read;
    }

    /** A writer has answered what it was asked about a read, or has not. */
    void onWord(Attempt read, ReservePlaceResult answer, double nowMs) {
        read.inquiry.onAnswer(answer, nowMs);
        if (!answer.confirmsRead() || !read.isInFlight()) return;
        Reader reader = reader(read.engine);
        reader.inFlightAtMs = nowMs;
        reader.inFlightWrittenMs = read.writtenMs();
        double elapsedMs = nowMs - read.writtenMs();
        if (elapsedMs > reader.times.meanOr(MIN_WEIGHT, 0, nowMs)) reader.times.add(elapsedMs, nowMs);
    }

    /** Another gateway has told how long reads took at a reader. */
    void onPeerRead(long engine, double elapsedMs, double nowMs) {
        if (!(elapsedMs > 0)) return;
        reader(engine).times.add(elapsedMs, nowMs);
        allTimes.add(elapsedMs, nowMs);
    }

    /** Judges a read of which at least a byte was sent and nothing was heard. */
    Judgement judge(Attempt read, double nowMs) {
        Reader reader = readers.get(read.engine);
        if (reader != null && reader.provesLost(read) && nowMs >= proofCountsMs(read, nowMs)) return Judgement.LOST;
        if (!read.record.terms.placesAhead() && nowMs >= silentAtMs(read, lostShareOfLimit(read), nowMs))
            return Judgement.LOST;
        return mayAsk(read) && nowMs >= askAtMs(read, nowMs) ? Judgement.ASK : Judgement.WAIT;
    }

    /** When a read is to be judged next, if nothing is heard meanwhile. */
    double judgeAtMs(Attempt read, double nowMs) {
        double nextMs = laterOrRecheckMs(proofCountsMs(read, nowMs), nowMs);
        if (mayAsk(read)) nextMs = Math.min(nextMs, laterOrRecheckMs(askAtMs(read, nowMs), nowMs));
        if (read.record.terms.placesAhead()) return nextMs;
        return Math.min(nextMs, laterOrRecheckMs(silentAtMs(read, lostShareOfLimit(read), nowMs), nowMs));
    }

    private static double laterOrRecheckMs(double whenMs, double nowMs) {
        return nowMs < whenMs ? whenMs : nowMs + RECHECK_MS;
    }

    private double askAtMs(Attempt read, double nowMs) {
        Reader reader = readers.get(read.engine);
        double againMs = reader == null ? Double.NEGATIVE_INFINITY : reader.askAgainMs(read);
        return Math.max(Math.max(read.inquiry.notBeforeMs(), againMs), silentForAskMs(read, nowMs));
    }

    /** A read that a writer has vouched for may have ended right after that, however long reads take. */
    private double silentForAskMs(Attempt read, double nowMs) {
        double shareMs = ASK_SHARE_OF_LIMIT * limitMs(read);
        return read.inquiry.wasInFlight() ? heardMs(read) + shareMs : silentAtMs(read, ASK_SHARE_OF_LIMIT, nowMs);
    }

    /** True if a writer may be asked about a read, as soon as there is a reason to. */
    boolean mayAsk(Attempt read) {
        if (!read.record.terms.placesAhead() || read.inquiry.isOpen()) return false;
        Reader reader = readers.get(read.engine);
        return reader == null || !reader.isAskedAboutBefore(read);
    }

    private double proofCountsMs(Attempt read, double nowMs) {
        return expectedEndMs(read, nowMs) + PROOF_SHARE_OF_LIMIT * limitMs(read);
    }

    /** When the reader of a read, if it is not heard meanwhile, has been silent for a share of the limit. */
    private double silentAtMs(Attempt read, double shareOfLimit, double nowMs) {
        return Math.max(expectedEndMs(read, nowMs), heardMs(read)) + shareOfLimit * limitMs(read);
    }

    /** When the reader of a read was last heard, on whichever connection. */
    private double heardMs(Attempt read) {
        Reader reader = readers.get(read.engine);
        return reader == null ? Double.NEGATIVE_INFINITY : reader.heardMs;
    }

    private static double lostShareOfLimit(Attempt read) {
        return followsLostRead(read) ? SILENT_SHARE_AFTER_LOST_READ : SILENT_SHARE_OF_LIMIT;
    }

    private static double limitMs(Attempt read) {
        return read.record.terms.reservationLimitMs();
    }

    private double expectedEndMs(Attempt read, double nowMs) {
        double allMs = allTimes.meanOr(MIN_WEIGHT, UNKNOWN_MS, nowMs);
        Reader reader = readers.get(read.engine);
        return read.writtenMs() + (reader == null ? allMs : reader.times.meanOr(MIN_WEIGHT, allMs, nowMs));
    }

    /** True if an earlier read of the request was given up; this one is on a new connection then. */
    private static boolean followsLostRead(Attempt read) {
        return read.record.attempts.stream().anyMatch(attempt -> attempt.abortReason == AbortReason.UNHEARD);
    }
}
