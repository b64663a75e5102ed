package maplerail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class BackoffTest {
    private static final int FLEET = 60;

    /** Calls that a fleet makes in some window, if all start at one moment and none is answered. */
    private static long calls(double fromMs, double toMs) {
        return IntStream.range(0, FLEET)
                .mapToLong(seed -> {
                    Backoff backoff = new Backoff(new SplittableRandom(seed), 200, 4_000);
                    long in = 0;
                    for (double at = backoff.next(0); at < toMs; at += backoff.next(0)) in += at >= fromMs ? 1 : 0;
                    return in;
                })
                .sum();
    }

    @Test
    void aFleetWithoutAnswersAsksEverMoreSeldom() {
        assertThat(calls(0, 1_000)).isLessThan(4 * FLEET);
        assertThat(calls(10_000, 11_000)).isLessThan(FLEET / 2);
    }

    @Test
    void aFleetThatFailsTogetherDoesNotComeBackTogether() {
        for (double told : new double[] {0, 1_000}) {
            double[] firsts = IntStream.range(0, FLEET)
                    .mapToDouble(seed -> new Backoff(new SplittableRandom(seed), 200, 4_000).next(told))
                    .sorted()
                    .toArray();
            double span = firsts[FLEET - 1] - firsts[0];
            assertThat(span).as("told %s", told).isGreaterThan(Math.max(200, told) * 0.4);
            double busiest = DoubleStream.of(firsts)
                    .map(from -> DoubleStream.of(firsts)
                            .filter(at -> at >= from && at < from + span / 10)
                            .count())
                    .max()
                    .orElseThrow();
            assertThat(busiest).as("told %s", told).isLessThan(FLEET / 3.0);
        }
    }

    @Test
    void aWaitThatIsAskedForIsKeptWithinReason() {
        Backoff backoff = new Backoff(new SplittableRandom(7), 200, 4_000);
        assertThat(backoff.next(1_000)).isBetween(1_000.0, 1_500.0);
        assertThat(backoff.next(1e12)).isBetween(4_000.0, 6_000.0);
        assertThat(backoff.next(-5)).isBetween(400.0, 800.0);
    }

    @Test
    void anAnswerStartsAnew() {
        Backoff backoff = new Backoff(new SplittableRandom(7), 200, 4_000);
        for (int i = 0; i < 50; i++) assertThat(backoff.next(0)).isLessThanOrEqualTo(4_000);
        backoff.reset();
        assertThat(backoff.next(0)).isLessThanOrEqualTo(200);
    }
}
