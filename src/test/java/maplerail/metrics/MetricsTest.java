package maplerail.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import maplerail.metrics.Metrics.Figure;
import maplerail.metrics.Metrics.Verdict;
import org.junit.jupiter.api.Test;

class MetricsTest {
    private final Metrics metrics = new Metrics();

    private long value(String name) {
        return metrics.figures().stream()
                .filter(f -> f.name().equals(name))
                .mapToLong(Figure::value)
                .findFirst()
                .orElse(-1);
    }

    @Test
    void aClassThatComesBackCountsOn() {
        metrics.of("a").count(Verdict.ANSWERED);
        metrics.of("b").count(Verdict.DEFERRED);
        metrics.of("a").count(Verdict.ANSWERED);
        metrics.of("a").count(Verdict.UNWANTED);
        assertThat(value("answered.a")).isEqualTo(2);
        assertThat(value("deferred.a")).isZero();
        assertThat(value("deferred.b")).isEqualTo(1);
    }

    @Test
    void namesBeyondTheTableCountTogether() {
        for (int i = 0; i < 10_000; i++) metrics.of("c" + i).count(Verdict.ERRORED);
        assertThat(metrics.figures()).hasSizeLessThan(1_000);
        assertThat(metrics.figures().stream()
                        .filter(f -> f.name().startsWith("errored."))
                        .mapToLong(Figure::value)
                        .sum())
                .isEqualTo(10_000);
    }
}
