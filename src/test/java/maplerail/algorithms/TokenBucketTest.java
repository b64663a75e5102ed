package maplerail.algorithms;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TokenBucketTest {
    @Test
    void bucketIsRefilledAtItsRateUpToItsCapacity() {
        TokenBucket bucket = new TokenBucket(0, 0);
        bucket.refill(10, 0.25, 5);
        assertThat(bucket.tokens()).isEqualTo(2.5);
        bucket.refill(1_000, 0.25, 5);
        assertThat(bucket.tokens()).isEqualTo(5);
    }

    @Test
    void tryConsumeLeavesAFractionOfAToken() {
        TokenBucket bucket = new TokenBucket(1.5, 0);
        assertThat(bucket.tryConsume()).isTrue();
        assertThat(bucket.tryConsume()).isFalse();
        assertThat(bucket.tokens()).isEqualTo(0.5);
    }

    @Test
    void consumeOrDrainTakesAFractionOfAToken() {
        TokenBucket bucket = new TokenBucket(1.5, 0);
        assertThat(bucket.consumeOrDrain()).isTrue();
        assertThat(bucket.consumeOrDrain()).isFalse();
        assertThat(bucket.tokens()).isZero();
    }

    @Test
    void consumeCanMakeTheBucketNegative() {
        TokenBucket bucket = new TokenBucket(0.5, 0);
        bucket.consume();
        assertThat(bucket.tokens()).isEqualTo(-0.5);
    }
}
