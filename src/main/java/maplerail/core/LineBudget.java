package maplerail.core;

import java.util.function.Consumer;
import maplerail.algorithms.TokenBucket;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;

/** Passes log lines on as long as there are not too many: in an outage every request has something to say. */
final class LineBudget {
    private static final double LINES_PER_MS = 0.05;
    private static final double BURST = 200;

    private final EventLoop loop;
    private final Consumer<String> log;
    private final Metrics metrics;
    private final TokenBucket budget;
    private long suppressed;

    LineBudget(EventLoop loop, Consumer<String> log, Metrics metrics) {
        this.loop = loop;
        this.log = log;
        this.metrics = metrics;
        budget = new TokenBucket(BURST, loop.nowMs());
    }

    /** True if a line may be written now; one that may not is counted, and the next that may says how many. */
    boolean admits() {
        budget.refill(loop.nowMs(), LINES_PER_MS, BURST);
        if (budget.tokens() < 1) {
            suppressed++;
            metrics.count(EventCount.LOG_LINES_SUPPRESSED);
            return false;
        }
        budget.consume();
        if (suppressed > 0) log.accept("log lines suppressed count=" + suppressed);
        suppressed = 0;
        return true;
    }

    void write(String line) {
        log.accept(line);
    }
}
