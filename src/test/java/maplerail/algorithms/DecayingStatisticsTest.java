package maplerail.algorithms;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.stream.DoubleStream;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

class DecayingStatisticsTest {
    private static final Offset<Double> ROUNDING = within(1e-9);

    @Test
    void averageLimitsTheWeightOfItsSamples() {
        DecayingAverage average = new DecayingAverage(2, 1_000);
        for (int i = 0; i < 100; i++) average.add(10, 0);
        average.add(20, 0);
        assertThat(average.mean()).isCloseTo(15, ROUNDING);
        assertThat(average.weight(0)).isCloseTo(2, ROUNDING);
    }

    @Test
    void weightOfAnAverageDecaysAndItsMeanStays() {
        DecayingAverage average = new DecayingAverage(5, 1_000);
        average.add(10, 0);
        assertThat(average.weight(1_000)).isCloseTo(1 / Math.E, ROUNDING);
        assertThat(average.mean()).isEqualTo(10);
        assertThat(average.meanOr(0.5, -1, 0)).isEqualTo(10);
        assertThat(average.meanOr(0.5, -1, 1_000)).isEqualTo(-1);
        assertThat(average.decayedMean(2_000, 2_000)).isCloseTo(10 / Math.E, ROUNDING);
    }

    @Test
    void averageWithResetWeightFollowsTheNextSample() {
        DecayingAverage average = new DecayingAverage(5, 1_000);
        average.add(10, 0);
        average.add(10, 0);
        average.resetWeight(0);
        average.add(30, 0);
        assertThat(average.mean()).isEqualTo(30);
    }

    @Test
    void rateDecaysAndIsNeverNegative() {
        DecayingRate rate = new DecayingRate(1_000);
        rate.add(1, 0);
        assertThat(rate.perMs(0)).isCloseTo(0.001, ROUNDING);
        assertThat(rate.perMs(1_000)).isCloseTo(0.001 / Math.E, ROUNDING);
        rate.add(-1, 1_000);
        assertThat(rate.perMs(1_000)).isZero();
    }

    @Test
    void countDecaysAndIsEvictedAfterItsRetention() {
        DecayingCounts counts = new DecayingCounts(1_000, 5_000, 10);
        counts.increment(1, 0);
        counts.increment(1, 0);
        assertThat(counts.count(1, 0)).isEqualTo(2);
        assertThat(counts.count(1, 1_000)).isCloseTo(2 / Math.E, ROUNDING);
        assertThat(counts.count(2, 0)).isZero();
        counts.increment(2, 4_999);
        assertThat(counts.size()).isEqualTo(2);
        counts.increment(2, 5_000);
        assertThat(counts.size()).isEqualTo(1);
    }

    @Test
    void medianIsTheLowerOneAndIgnoresNaN() {
        assertThat(Medians.lowerMedian(DoubleStream.of(4, Double.NaN, 1, 3, 2), -1))
                .isEqualTo(2);
        assertThat(Medians.lowerMedian(DoubleStream.of(Double.NaN), -1)).isEqualTo(-1);
    }
}
