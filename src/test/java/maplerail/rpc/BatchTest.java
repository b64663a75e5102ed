package maplerail.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BatchTest {
    private final List<String> told = new ArrayList<>();
    private final BatchResponse batch = new BatchResponse(told::add);

    @Test
    void theArrayGoesOutOnceWithTheLastAnswer() {
        batch.expectResponses(1);
        batch.addResponse("1");
        batch.expectResponses(0);
        batch.expectResponses(1);
        assertThat(batch.seal()).isEqualTo(1);
        assertThat(told).isEmpty();
        batch.addResponse("2");
        assertThat(told).containsExactly("[1,2]");
    }

    @Test
    void answersThatCameBeforeTheEndWaitForIt() {
        batch.expectResponses(1);
        batch.addResponse("1");
        assertThat(told).isEmpty();
        batch.seal();
        assertThat(told).containsExactly("[1]");
    }

    @Test
    void notificationsAloneBringNothing() {
        batch.expectResponses(0);
        assertThat(batch.seal()).isZero();
        assertThat(told).isEmpty();
    }
}
