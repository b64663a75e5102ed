package maplerail.front.jsonrpc;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class UnsentLimitTest {
    private static final int KIB = 1024;
    private static final int MIB = 1024 * KIB;

    /** Guards against a large answer that counts as a slow client, and against slow clients that use up the heap with them. */
    @Test
    void aLargeMessageIsAcceptedWhileAllConnectionsLeaveLittleUnsent() {
        UnsentLimit limit = new UnsentLimit(10 * MIB);
        UnsentLimit.Account first = limit.open(0);
        UnsentLimit.Account second = limit.open(0);
        UnsentLimit.Account third = limit.open(0);
        assertThat(first.tryAdd(6 * MIB)).isTrue();
        assertThat(first.tryAdd(1)).as("it has left a large one unsent").isFalse();
        assertThat(second.tryAdd(6 * MIB)).as("all together").isFalse();
        assertThat(second.tryAdd(MIB)).as("what each may leave").isTrue();
        assertThat(second.tryAdd(1)).isTrue();
        first.close();
        first.onSent(6 * MIB); // a late report of a connection that has ended
        assertThat(third.tryAdd(8 * MIB)).isTrue();
        third.onSent(8 * MIB);
        assertThat(third.bytes()).isZero();
        assertThat(third.tryAdd(8 * MIB)).isTrue();
    }
}
