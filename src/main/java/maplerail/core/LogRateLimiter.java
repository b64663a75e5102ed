package maplerail.core;

import java.util.function.Consumer;
import maplerail.algorithms.TokenBucket;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;

/** Limits the rate of log lines, as every request may log failures during an outage. */
final class LogRateLimiter {
    private static final double LINES_PER_MS = 0.05;
    private static final double BURST = 200;

    private final EventLoop loop;
    private final Consumer<String> log;
    private final Metrics metrics;
    private final TokenBucket bucket;
    private long suppressed;

    LogRateLimiter(EventLoop loop, Consumer<String> log, Metrics metrics) {
        this.loop = loop;
        this.log = log;
        this.metrics = metrics;
        bucket = new TokenBucket(BURST, loop.nowMs());
    }

    /** Returns whether a line may be written now. Suppressed lines are counted, and their number is logged later. */
    boolean tryAcquire() {
        bucket.refill(loop.nowMs(), LINES_PER_MS, BURST);
        if (bucket.tokens() < 1) {
            suppressed++;
            metrics.count(EventCount.LOG_LINES_SUPPRESSED);
            return false;
        }
        bucket.consume();
        if (suppressed > 0) log.accept("log lines suppressed count=" + suppressed);
        suppressed = 0;
        return true;
    }

    void write(String line) {
        log.accept(line);
    }
}
