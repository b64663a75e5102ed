package maplerail.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import maplerail.algorithms.DecayingAverage;

/**
 * Tracks the responses and connections of readers, and assesses reads that have no response at their expected end: the
 * response may be lost and the state still reserved, or the reader may be slow. Does no I/O.
 *
 * <p>A read is proven lost if its reader has completed a read that was written later, as readers serve in order of
 * arrival. It is also proven lost if the reader has become unreachable: two connections opened after the read was
 * written failed and no response arrived meanwhile, so the older connections are dead as well. The proof counts only
 * some time after the expected end, as a reader that serves several reads at a time may finish a short one first.
 *
 * <p>As long as a reader responds to any read, a read without such a proof is assumed to wait in its queue. Only if a
 * reader is silent on all connections, a writer is probed, where the settings allow it; its response shows whether the
 * read is in flight. If it is, so are reads that were written to the same reader later, and reads there take at least
 * that long. Where probing is not allowed, a read at a silent reader is considered lost.
 *
 * <p>The expected duration of a read is the recent average at its reader, measured by this gateway or reported by other
 * gateways. If the reader has no recent samples, the average over all readers is used.
 */
final class ReadTracker {
    /** Share of the reservation limit, from the expected end of a read until a proof of its loss counts. */
    private static final double PROOF_SHARE_OF_LIMIT = 0.6;

    /** Share of the limit for which a reader is silent before a writer is probed, whose response takes up to 300 ms. */
    private static final double PROBE_SHARE_OF_LIMIT = 0.6;

    /** Share of the limit after which the reads of a silent reader are considered lost if probing is not allowed. */
    private static final double SILENT_SHARE_OF_LIMIT = 0.9;

    /** Time after a writer confirmed a read until the next probe, as the read may have ended meanwhile. */
    private static final double REPEAT_PROBE_MS = 300;

    private static final double RECHECK_MS = 50;
    private static final double READER_SAMPLES = 4;
    private static final double READER_MEMORY_MS = 4_000;
    private static final double ALL_SAMPLES = 8;
    private static final double ALL_MEMORY_MS = 8_000;

    /** Weight, in samples, below which an average is outdated. */
    private static final double MIN_WEIGHT = 0.3;

    /** The expected duration of a read without recent samples. */
    private static final double DEFAULT_READ_MS = 500;

    /** Maximum number of tracked readers; the table is cleared when it is full. */
    private static final int MAX_READERS = 4_096;

    private final Map<Long, ReaderStats> readers = new HashMap<>();
    private final DecayingAverage allDurations = new DecayingAverage(ALL_SAMPLES, ALL_MEMORY_MS);

    private static final class ReaderStats {
        private final DecayingAverage durations = new DecayingAverage(READER_SAMPLES, READER_MEMORY_MS);
        /** When it last completed a read. */
        private double lastResponseMs = Double.NEGATIVE_INFINITY;
        /** The latest time at which a read was written that has completed. */
        private double lastCompletedWrittenMs = Double.NEGATIVE_INFINITY;
        /** The start of the last attempt whose new connection failed; reset when the reader responds. */
        private double lastFailureMs = Double.NEGATIVE_INFINITY;

        /** The start of the attempt that failed so before the last one. */
        private double previousFailureMs = Double.NEGATIVE_INFINITY;
        /** The read that was last probed; null before the first probe. */
        private Attempt lastProbed;
        /** When that read was last probed. */
        private double lastProbeMs = Double.NEGATIVE_INFINITY;
        /** The last time at which a read was in flight by a writer's word. */
        private double confirmedAtMs = Double.NEGATIVE_INFINITY;

        /** When the read that a writer last confirmed was written. */
        private double confirmedReadWrittenMs = Double.POSITIVE_INFINITY;

        private void onConnectionFailed(double startedMs) {
            previousFailureMs = lastFailureMs;
            lastFailureMs = startedMs;
        }

        private void onReachable() {
            lastFailureMs = Double.NEGATIVE_INFINITY;
            previousFailureMs = Double.NEGATIVE_INFINITY;
        }

        /** True while a read is being probed that the reader serves no later than the given one. */
        private boolean hasEarlierProbePending(Attempt read) {
            return lastProbed != null && lastProbed.probe.isPending() && lastProbed.writtenMs() <= read.writtenMs();
        }

        /** The last time at which a read was known to be in flight, as it was written no earlier than a confirmed one. */
        private double inFlightAtMs(Attempt read) {
            return read.writtenMs() < confirmedReadWrittenMs ? Double.NEGATIVE_INFINITY : confirmedAtMs;
        }

        private Optional<GiveUpReason> proofOfLoss(Attempt read) {
            if (lastCompletedWrittenMs > read.writtenMs()) return Optional.of(GiveUpReason.OVERTAKEN);
            // A single connection may fail by chance: two attempts that started after the write must have failed.
            return previousFailureMs > read.writtenMs()
                    ? Optional.of(GiveUpReason.READER_UNREACHABLE)
                    : Optional.empty();
        }
    }

    /** A read was completed. */
    void onCompleted(Attempt read, double nowMs) {
        double elapsedMs = nowMs - read.writtenMs();
        ReaderStats reader = reader(read.engine);
        reader.onReachable();
        reader.lastResponseMs = nowMs;
        reader.durations.add(elapsedMs, nowMs);
        reader.lastCompletedWrittenMs = Math.max(reader.lastCompletedWrittenMs, read.writtenMs());
        allDurations.add(elapsedMs, nowMs);
    }

    private ReaderStats reader(long engine) {
        if (readers.size() >= MAX_READERS) readers.clear();
        return readers.computeIfAbsent(engine, number -> new ReaderStats());
    }

    /** A reader rejected a read or failed on it: it is reachable, which proves nothing about the reads in its queue. */
    void onDeclined(Attempt read) {
        reader(read.engine).onReachable();
    }

    /** A read ended because its connection could not be opened, or was reset before any response. */
    void onConnectionFailed(Attempt read) {
        double openedMs = read.handle.connectionOpenedMs();
        boolean isNew = openedMs >= read.sentMs || openedMs == Double.NEGATIVE_INFINITY;
        if (isNew) reader(read.engine).onConnectionFailed(read.sentMs);
    }

    /** A probe of a read was sent to a writer. */
    void onProbeStarted(Attempt read, double nowMs) {
        read.probe.onStarted();
        ReaderStats reader = reader(read.engine);
        reader.lastProbed = read;
        reader.lastProbeMs = nowMs;
    }

    /** A probe that was sent at {@code askedMs} ended with the writer's response or without one. */
    void onProbeResult(Attempt read, ReservePlaceResult result, double askedMs, double nowMs) {
        read.probe.onResult(result, nowMs);
        if (!result.confirmsRead() || !read.isInFlight()) return;
        ReaderStats reader = reader(read.engine);
        reader.confirmedAtMs = askedMs;
        reader.confirmedReadWrittenMs = read.writtenMs();
        double elapsedMs = nowMs - read.writtenMs();
        if (elapsedMs > reader.durations.meanOr(MIN_WEIGHT, 0, nowMs)) reader.durations.add(elapsedMs, nowMs);
    }

    /** Another gateway reported the duration of reads at a reader. */
    void onPeerRead(long engine, double elapsedMs, double nowMs) {
        if (!(elapsedMs > 0)) return;
        reader(engine).durations.add(elapsedMs, nowMs);
        allDurations.add(elapsedMs, nowMs);
    }

    /** Why a read that was sent and has no response is to be given up; empty while it may be in flight. */
    Optional<GiveUpReason> giveUpReason(Attempt read, double nowMs) {
        ReaderStats reader = readers.get(read.engine);
        Optional<GiveUpReason> proof = reader == null ? Optional.empty() : reader.proofOfLoss(read);
        if (proof.isPresent() && nowMs >= proofValidFromMs(read, nowMs)) return proof;
        return nowMs >= silentFromMs(read, nowMs) ? Optional.of(GiveUpReason.READER_SILENT) : Optional.empty();
    }

    /** When a read counts as lost because its reader is silent; never if a writer can tell, or after a lost read. */
    private double silentFromMs(Attempt read, double nowMs) {
        return read.record.terms.placeReservationAllowed() || followsLostRead(read)
                ? Double.POSITIVE_INFINITY
                : silenceThresholdMs(read, SILENT_SHARE_OF_LIMIT, nowMs);
    }

    /**
     * The earliest time since which a read may have left a state, if it takes as long as is expected. A read that a
     * writer has confirmed may have ended right after that, however long reads are expected to take.
     */
    double stateFromMs(Attempt read, double nowMs) {
        ReaderStats reader = readers.get(read.engine);
        double inFlightMs = reader == null ? Double.NEGATIVE_INFINITY : reader.inFlightAtMs(read);
        double endMs = read.probe.hasConfirmedRead() ? Double.NEGATIVE_INFINITY : expectedEndMs(read, nowMs);
        return Math.max(Math.max(endMs, lastResponseMs(read)), inFlightMs);
    }

    /** True if a writer is to be asked now whether a read is still in flight. */
    boolean isProbeDue(Attempt read, double nowMs) {
        return mayProbe(read) && nowMs >= probeAtMs(read, nowMs);
    }

    /** When a read is to be assessed next if no response arrives meanwhile. */
    double nextAssessmentMs(Attempt read, double nowMs) {
        double nextMs = laterOrRecheckMs(proofValidFromMs(read, nowMs), nowMs);
        if (mayProbe(read)) nextMs = Math.min(nextMs, laterOrRecheckMs(probeAtMs(read, nowMs), nowMs));
        return Math.min(nextMs, laterOrRecheckMs(silentFromMs(read, nowMs), nowMs));
    }

    private static double laterOrRecheckMs(double whenMs, double nowMs) {
        return nowMs < whenMs ? whenMs : nowMs + RECHECK_MS;
    }

    private double probeAtMs(Attempt read, double nowMs) {
        ReaderStats reader = readers.get(read.engine);
        double readerMs = reader == null ? Double.NEGATIVE_INFINITY : reader.inFlightAtMs(read);
        double repeatMs = Math.max(readerMs, read.record.reservations.lastInFlightMs()) + REPEAT_PROBE_MS;
        return Math.max(Math.max(read.probe.notBeforeMs(), repeatMs), probeSilenceThresholdMs(read, nowMs));
    }

    private double probeSilenceThresholdMs(Attempt read, double nowMs) {
        double shareMs = PROBE_SHARE_OF_LIMIT * limitMs(read);
        return read.probe.hasConfirmedRead()
                ? lastResponseMs(read) + shareMs
                : silenceThresholdMs(read, PROBE_SHARE_OF_LIMIT, nowMs);
    }

    /** True if a writer may be asked about a read. */
    boolean mayProbe(Attempt read) {
        if (!read.record.terms.placeReservationAllowed() || read.probe.isPending()) return false;
        ReaderStats reader = readers.get(read.engine);
        return reader == null || !reader.hasEarlierProbePending(read);
    }

    /** Since when a read is being probed that the reader serves no later than this one; negative infinity if none is. */
    double earlierProbePendingSinceMs(Attempt read) {
        ReaderStats reader = readers.get(read.engine);
        boolean pending = reader != null && reader.hasEarlierProbePending(read);
        return pending ? reader.lastProbeMs : Double.NEGATIVE_INFINITY;
    }

    private double proofValidFromMs(Attempt read, double nowMs) {
        return expectedEndMs(read, nowMs) + PROOF_SHARE_OF_LIMIT * limitMs(read);
    }

    /** When a read's reader will have been silent for a share of the limit, if it does not respond meanwhile. */
    private double silenceThresholdMs(Attempt read, double shareOfLimit, double nowMs) {
        return Math.max(expectedEndMs(read, nowMs), lastResponseMs(read)) + shareOfLimit * limitMs(read);
    }

    /** When the reader of a read last completed any read, on any connection. */
    private double lastResponseMs(Attempt read) {
        ReaderStats reader = readers.get(read.engine);
        return reader == null ? Double.NEGATIVE_INFINITY : reader.lastResponseMs;
    }

    private static double limitMs(Attempt read) {
        return read.record.terms.reservationLimitMs();
    }

    private double expectedEndMs(Attempt read, double nowMs) {
        double allMs = allDurations.meanOr(MIN_WEIGHT, DEFAULT_READ_MS, nowMs);
        ReaderStats reader = readers.get(read.engine);
        return read.writtenMs() + (reader == null ? allMs : reader.durations.meanOr(MIN_WEIGHT, allMs, nowMs));
    }

    /** True if an earlier read of the request was aborted without a response; this one uses a new connection then. */
    private static boolean followsLostRead(Attempt read) {
        return read.record.attempts.stream().anyMatch(attempt -> attempt.abortReason == AbortReason.UNHEARD);
    }
}
