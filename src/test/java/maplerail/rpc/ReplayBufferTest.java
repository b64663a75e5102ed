package maplerail.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ReplayBufferTest {
    /** A client receives all messages that it missed, each once and in order, or learns that some are lost. */
    @Test
    void replaysAllMissedMessagesInOrderOrReportsAGap() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ReplayBuffer.Budget budget = new ReplayBuffer.Budget(300);
            List<ReplayBuffer> streams = List.of(
                    new ReplayBuffer(8, 120, budget),
                    new ReplayBuffer(8, 200, budget),
                    new ReplayBuffer(4, 400, budget));
            List<List<String>> added = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
            for (int step = 0; step < 300; step++) {
                int index = random.nextInt(3);
                ReplayBuffer replay = streams.get(index);
                if (random.nextInt(40) == 0) replay.clear();
                String text = "m".repeat(random.nextInt(60)) + step;
                added.get(index).add(text);
                assertThat(replay.add(text).number())
                        .as("seed %d", seed)
                        .isEqualTo(added.get(index).size());
                int lastSeen = random.nextInt(added.get(index).size() + 1);
                List<ReplayBuffer.Message> missed = replay.messagesAfter(lastSeen);
                if (missed != null) {
                    assertThat(missed)
                            .as("seed %d", seed)
                            .extracting(ReplayBuffer.Message::text)
                            .containsExactlyElementsOf(added.get(index)
                                    .subList(lastSeen, added.get(index).size()));
                }
                assertThat(replay.messagesAfter(added.get(index).size())).isEmpty();
                int bufferedChars =
                        streams.stream().mapToInt(ReplayBuffer::bufferedChars).sum();
                assertThat(budget.usedChars())
                        .as("seed %d", seed)
                        .isEqualTo(bufferedChars)
                        .isLessThanOrEqualTo(300 + 3 * 64);
            }
        }
    }

    /** Guards against a heap full of answers that nobody takes up: finished streams keep theirs beyond the budget. */
    @Test
    void streamsTogetherKeepNoMoreThanTheBudgetAndTheNewestMessage() {
        ReplayBuffer.Budget budget = new ReplayBuffer.Budget(1_000);
        List<ReplayBuffer> streams = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            ReplayBuffer stream = new ReplayBuffer(8, 500, budget);
            streams.add(stream);
            stream.add("event");
            stream.add("x".repeat(400)); // an answer
            assertThat(budget.usedChars()).isLessThanOrEqualTo(1_000);
            assertThat(stream.messagesAfter(1)).hasSize(1);
        }
        assertThat(streams.get(0).messagesAfter(1))
                .as("the oldest is told that it is gone")
                .isNull();
        assertThat(streams.get(48).messagesAfter(0)).hasSize(2);
        streams.get(48).add("x".repeat(2_000));
        assertThat(budget.usedChars()).isEqualTo(2_000);
        assertThat(streams.get(48).messagesAfter(2)).hasSize(1);
        streams.forEach(ReplayBuffer::clear);
        assertThat(budget.usedChars()).isZero();
    }

    @Test
    void anUnknownOrDroppedNumberCannotBeResumedFrom() {
        ReplayBuffer replay = new ReplayBuffer(2, 100, new ReplayBuffer.Budget(100));
        for (String text : List.of("a", "b", "c")) replay.add(text);
        assertThat(replay.messagesAfter(0)).isNull();
        assertThat(replay.messagesAfter(4)).isNull();
        assertThat(replay.messagesAfter(-1)).isNull();
        assertThat(replay.messagesAfter(1))
                .extracting(ReplayBuffer.Message::text)
                .containsExactly("b", "c");
    }
}
