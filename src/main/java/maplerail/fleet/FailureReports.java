package maplerail.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** The outcomes that all gateways reported for one engine within a sliding time window. */
final class FailureReports {
    private static final int MAX_REPORTS = 4_096;

    private final double windowMs;
    private final Deque<Report> reports = new ArrayDeque<>();

    private record Report(int reporter, double atMs, int failures, int successes) {}

    /** Totals over the window. */
    record Summary(int reporters, int failures, int successes) {}

    FailureReports(double windowMs) {
        this.windowMs = windowMs;
    }

    void add(int reporter, double atMs, int failures, int successes) {
        reports.addLast(new Report(reporter, atMs, failures, successes));
        while (isExpired(reports.peekFirst(), atMs) || reports.size() > MAX_REPORTS) reports.pollFirst();
    }

    boolean isEmpty() {
        return reports.isEmpty();
    }

    /**
     * Removes reports older than the window and totals the rest; only gateways that reported failures count as
     * reporters.
     */
    Summary summarize(double nowMs) {
        while (!reports.isEmpty() && isExpired(reports.peekFirst(), nowMs)) reports.pollFirst();
        Set<Integer> reporters = new HashSet<>();
        int failures = 0;
        int successes = 0;
        for (Report report : reports) {
            failures += report.failures();
            successes += report.successes();
            if (report.failures() > 0) reporters.add(report.reporter());
        }
        return new Summary(reporters.size(), failures, successes);
    }

    /** Returns the number of successes that a gateway reported, or 0 if it also reported a failure. */
    int successesWithoutFailure(int reporter) {
        int successes = 0;
        for (Report report : reports) {
            if (report.reporter() != reporter) continue;
            if (report.failures() > 0) return 0;
            successes += report.successes();
        }
        return successes;
    }

    private boolean isExpired(Report report, double nowMs) {
        return report.atMs() < nowMs - windowMs;
    }
}
