package maplerail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class BackoffTest {
    private static final int GATEWAYS = 60;

    /** Returns the calls of all gateways within a time window, if all start at the same moment and none is answered. */
    private static long callsBetween(double fromMs, double toMs) {
        return IntStream.range(0, GATEWAYS)
                .mapToLong(seed -> {
                    Backoff backoff = new Backoff(new SplittableRandom(seed), 200, 4_000);
                    long count = 0;
                    for (double at = backoff.nextDelayMs(0); at < toMs; at += backoff.nextDelayMs(0))
                        count += at >= fromMs ? 1 : 0;
                    return count;
                })
                .sum();
    }

    @Test
    void callRateDecreasesWithoutResponses() {
        assertThat(callsBetween(0, 1_000)).isLessThan(4 * GATEWAYS);
        assertThat(callsBetween(10_000, 11_000)).isLessThan(GATEWAYS / 2);
    }

    @Test
    void retriesAfterASimultaneousFailureAreSpread() {
        for (double retryAfterMs : new double[] {0, 1_000}) {
            double[] firstDelays = IntStream.range(0, GATEWAYS)
                    .mapToDouble(seed -> new Backoff(new SplittableRandom(seed), 200, 4_000).nextDelayMs(retryAfterMs))
                    .sorted()
                    .toArray();
            double span = firstDelays[GATEWAYS - 1] - firstDelays[0];
            assertThat(span).as("Retry-After %s ms", retryAfterMs).isGreaterThan(Math.max(200, retryAfterMs) * 0.4);
            double maxInATenth = DoubleStream.of(firstDelays)
                    .map(from -> DoubleStream.of(firstDelays)
                            .filter(at -> at >= from && at < from + span / 10)
                            .count())
                    .max()
                    .orElseThrow();
            assertThat(maxInATenth).as("Retry-After %s ms", retryAfterMs).isLessThan(GATEWAYS / 3.0);
        }
    }

    @Test
    void retryAfterIsUsedUpToTheMaximum() {
        Backoff backoff = new Backoff(new SplittableRandom(7), 200, 4_000);
        assertThat(backoff.nextDelayMs(1_000)).isBetween(1_000.0, 1_500.0);
        assertThat(backoff.nextDelayMs(1e12)).isBetween(4_000.0, 6_000.0);
        assertThat(backoff.nextDelayMs(-5)).isBetween(400.0, 800.0);
    }

    @Test
    void resetRestoresTheFirstDelay() {
        Backoff backoff = new Backoff(new SplittableRandom(7), 200, 4_000);
        for (int i = 0; i < 50; i++) assertThat(backoff.nextDelayMs(0)).isLessThanOrEqualTo(4_000);
        backoff.reset();
        assertThat(backoff.nextDelayMs(0)).isLessThanOrEqualTo(200);
    }
}
