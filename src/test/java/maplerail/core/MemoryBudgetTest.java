package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import maplerail.metrics.Metrics;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MemoryBudgetTest {
    /** Guards against large requests that take all memory: whatever their size, small ones still get theirs. */
    @ParameterizedTest
    @CsvSource({"80000000, 240000, 8000", "8000000, 240000, 4000", "1000000000, 262144, 16384"})
    void manyLargeHoldersLeaveRoomForSmallOnes(long heapBytes, int large, int small) {
        MemoryBudget budget = MemoryBudget.ofPlatform(heapBytes, new Metrics());
        List<MemoryBudget.Reservation> held = new ArrayList<>();
        long largeBytes = 0;
        MemoryBudget.Reservation next = budget.reserveNothing();
        while (next.tryGrow(large)) {
            held.add(next);
            largeBytes += large;
            next = budget.reserveNothing();
        }
        assertThat(held).isNotEmpty();
        assertThat(largeBytes).isLessThan(heapBytes / 4);
        for (int i = 0; i < 10; i++)
            assertThat(budget.reserveNothing().tryGrow(small)).isTrue();
        held.forEach(MemoryBudget.Reservation::release);
        assertThat(budget.reserveNothing().tryGrow(large)).isTrue();
    }
}
