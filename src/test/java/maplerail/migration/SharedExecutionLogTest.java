package maplerail.migration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SharedExecutionLogTest {
    private static final int MORE_THAN_FIT = 20_000;

    @TempDir
    Path folder;

    /** Guards against a request that a second process executes as it knows nothing of the first one's. */
    @Test
    void aClaimIsSeenByTheOthersUntilItIsWithdrawn() throws Exception {
        SharedExecutionLog first = SharedExecutionLog.open(folder);
        SharedExecutionLog second = SharedExecutionLog.open(folder);
        assertThat(first.claim("a")).isTrue();
        assertThat(first.claim("a")).as("its own").isTrue();
        assertThat(first.isClaimedElsewhere("a")).isFalse();
        assertThat(second.isClaimedElsewhere("a")).isTrue();
        assertThat(second.claim("a")).isFalse();
        assertThat(second.isClaimedElsewhere("b")).isFalse();
        assertThat(SharedExecutionLog.open(folder).isClaimedElsewhere("a"))
                .as("a process that starts later")
                .isTrue();
        first.clear("a");
        assertThat(second.claim("a")).isTrue();
        assertThat(first.claim("a")).isFalse();
    }

    /** Guards against an older claim that hides newer ones once the ring has come round. */
    @Test
    void theLatestClaimsAreKnownHoweverManyThereWere() throws Exception {
        SharedExecutionLog first = SharedExecutionLog.open(folder);
        SharedExecutionLog second = SharedExecutionLog.open(folder);
        for (int i = 0; i < MORE_THAN_FIT; i++)
            assertThat(first.claim("id" + i)).isTrue();
        for (int i = MORE_THAN_FIT - 10_000; i < MORE_THAN_FIT; i++)
            assertThat(second.isClaimedElsewhere("id" + i)).as("%d", i).isTrue();
    }

    /** Guards against two processes that claim the same request at the same moment. */
    @Test
    void ofTwoThatClaimAtOnceAtMostOneDoes() throws Exception {
        SharedExecutionLog first = SharedExecutionLog.open(folder);
        SharedExecutionLog second = SharedExecutionLog.open(folder);
        ExecutorService threads = Executors.newFixedThreadPool(2);
        CyclicBarrier barrier = new CyclicBarrier(2);
        for (int i = 0; i < 2_000; i++) {
            String id = "id" + i;
            List<Future<Boolean>> claims = new ArrayList<>();
            for (SharedExecutionLog log : List.of(first, second)) {
                claims.add(threads.submit(() -> {
                    barrier.await();
                    return log.claim(id);
                }));
            }
            assertThat(claims.get(0).get() && claims.get(1).get()).as(id).isFalse();
        }
        threads.shutdown();
    }

    @Test
    void aFolderThatIsNotThereIsAnError() {
        assertThatThrownBy(() -> SharedExecutionLog.open(folder.resolve("none")))
                .isInstanceOf(IOException.class);
    }
}
