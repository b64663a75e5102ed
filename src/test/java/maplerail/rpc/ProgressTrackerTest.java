package maplerail.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ProgressTrackerTest {
    private final ProgressTracker tracker = new ProgressTracker("t", 1_000, 5_000);

    @Test
    void acceptsOnlyIncreasingValuesUnderItsTokenBeforeCompletion() {
        assertThat(tracker.accept("t", 0.1)).isTrue();
        assertThat(tracker.accept("other", 0.2)).isFalse();
        assertThat(tracker.accept("t", 0.1)).isFalse();
        assertThat(tracker.accept("t", 0.05)).isFalse();
        assertThat(tracker.accept("t", Double.NaN)).isFalse();
        assertThat(tracker.accept("t", Double.POSITIVE_INFINITY)).isFalse();
        assertThat(tracker.accept("t", 7)).isTrue();
        tracker.complete();
        assertThat(tracker.accept("t", 8)).isFalse();
    }

    @Test
    void progressDoesNotExtendTheMaximumDuration() {
        assertThat(tracker.remainingMs(1_000)).isEqualTo(5_000);
        tracker.accept("t", 1);
        assertThat(tracker.remainingMs(5_900)).isEqualTo(100);
        assertThat(tracker.remainingMs(9_000)).isZero();
    }
}
