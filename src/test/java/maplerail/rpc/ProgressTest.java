package maplerail.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ProgressTest {
    private final ProgressTracker progress = new ProgressTracker("t", 1_000, 5_000);

    @Test
    void itMovesForwardOnlyUnderItsOwnTokenAndNotAfterTheEnd() {
        assertThat(progress.accept("t", 0.1)).isTrue();
        assertThat(progress.accept("other", 0.2)).isFalse();
        assertThat(progress.accept("t", 0.1)).isFalse();
        assertThat(progress.accept("t", 0.05)).isFalse();
        assertThat(progress.accept("t", Double.NaN)).isFalse();
        assertThat(progress.accept("t", Double.POSITIVE_INFINITY)).isFalse();
        assertThat(progress.accept("t", 7)).isTrue();
        progress.complete();
        assertThat(progress.accept("t", 8)).isFalse();
    }

    @Test
    void noProgressLengthensItPastItsMost() {
        assertThat(progress.remainingMs(1_000)).isEqualTo(5_000);
        progress.accept("t", 1);
        assertThat(progress.remainingMs(5_900)).isEqualTo(100);
        assertThat(progress.remainingMs(9_000)).isZero();
    }
}
