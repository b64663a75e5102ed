package maplerail.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BatchResponseTest {
    private final List<String> sent = new ArrayList<>();
    private final BatchResponse batch = new BatchResponse(sent::add);

    @Test
    void theArrayIsSentOnceAfterTheLastResponse() {
        batch.expectResponses(1);
        batch.addResponse("1");
        batch.expectResponses(0);
        batch.expectResponses(1);
        assertThat(batch.seal()).isEqualTo(1);
        assertThat(sent).isEmpty();
        batch.addResponse("2");
        assertThat(sent).containsExactly("[1,2]");
    }

    @Test
    void responsesBeforeTheSealAreHeldBackUntilIt() {
        batch.expectResponses(1);
        batch.addResponse("1");
        assertThat(sent).isEmpty();
        batch.seal();
        assertThat(sent).containsExactly("[1]");
    }

    @Test
    void notificationsAloneProduceNoResponse() {
        batch.expectResponses(0);
        assertThat(batch.seal()).isZero();
        assertThat(sent).isEmpty();
    }
}
