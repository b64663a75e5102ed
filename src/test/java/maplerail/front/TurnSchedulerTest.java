package maplerail.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import maplerail.core.EventLoop;
import org.junit.jupiter.api.Test;

class TurnSchedulerTest {
    private final ArrayDeque<Runnable> scheduled = new ArrayDeque<>();
    private final List<String> done = new ArrayList<>();
    private double nowMs;
    private final TurnScheduler turns = new TurnScheduler(new EventLoop() {
        @Override
        public double nowMs() {
            return nowMs;
        }

        @Override
        public Timer schedule(double whenMs, Runnable task) {
            scheduled.add(task);
            return () -> {};
        }
    });

    private void submitEndless(String connection) {
        turns.submit(() -> {
            done.add(connection);
            nowMs += 0.1;
            submitEndless(connection);
        });
    }

    private void runTurn() {
        done.clear();
        scheduled.remove().run();
    }

    /** Guards against a connection that has more than one step before the others, and the sockets, have their turn. */
    @Test
    void eachConnectionHasOneStepATurnInTheOrderOfTheirComing() {
        submitEndless("a");
        submitEndless("b");
        submitEndless("c");
        for (int i = 0; i < 3; i++) {
            runTurn();
            assertThat(done).containsExactly("a", "b", "c");
            assertThat(scheduled).as("turns that wait").hasSize(1);
        }
    }

    /** Guards against turns that grow with the number of connections, and against those that never have theirs. */
    @Test
    void aTurnEndsInTimeAndWhoWaitsIsFirstInTheNextOne() {
        for (int i = 0; i < 30; i++) submitEndless("c" + i);
        List<String> all = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            double startMs = nowMs;
            runTurn();
            assertThat(nowMs - startMs).isLessThan(2.2);
            all.addAll(done);
        }
        assertThat(all.subList(0, 30)).doesNotHaveDuplicates();
    }

    /** Guards against one connection's failure that ends everybody's turns. */
    @Test
    void aStepThatFailsLeavesTheOthersTheirTurn() {
        turns.submit(() -> {
            throw new IllegalStateException("failed");
        });
        turns.submit(() -> done.add("b"));
        assertThatThrownBy(this::runTurn).isInstanceOf(IllegalStateException.class);
        runTurn();
        assertThat(done).containsExactly("b");
        assertThat(scheduled).isEmpty();
    }
}
