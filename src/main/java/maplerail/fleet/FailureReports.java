package maplerail.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** What all gateways reported of one engine within a window of time. */
final class FailureReports {
    private static final int MAX_REPORTS = 4_096;

    private final double windowMs;
    private final Deque<Report> reports = new ArrayDeque<>();

    private record Report(int reporter, double atMs, int failures, int successes) {}

    /** Sums over the window. */
    record Summary(int reporters, int failures, int successes) {}

    FailureReports(double windowMs) {
        this.windowMs = windowMs;
    }

    void add(int reporter, double atMs, int failures, int successes) {
        reports.addLast(new Report(reporter, atMs, failures, successes));
        while (isOld(reports.peekFirst(), atMs) || reports.size() > MAX_REPORTS) reports.pollFirst();
    }

    boolean isEmpty() {
        return reports.isEmpty();
    }

    /** Forgets what is older than the window, and sums up the rest; only those that report failures are reporters. */
    Summary summarize(double nowMs) {
        while (!reports.isEmpty() && isOld(reports.peekFirst(), nowMs)) reports.pollFirst();
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

    /** The successes that one gateway reported; 0 if it reported a failure as well. */
    int flawlessSuccessesOf(int reporter) {
        int successes = 0;
        for (Report report : reports) {
            if (report.reporter() != reporter) continue;
            if (report.failures() > 0) return 0;
            successes += report.successes();
        }
        return successes;
    }

    private boolean isOld(Report report, double nowMs) {
        return report.atMs() < nowMs - windowMs;
    }
}
