package maplerail.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ReplayTest {
    /** Whatever is said and asked for, a client hears what it missed, all of it and in order, or that some is gone. */
    @Test
    void whatWasMissedComesOnceAndInOrderOrNotAtAll() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ReplayBuffer.Budget budget = new ReplayBuffer.Budget(300);
            List<ReplayBuffer> streams = List.of(
                    new ReplayBuffer(8, 120, budget),
                    new ReplayBuffer(8, 200, budget),
                    new ReplayBuffer(4, 400, budget));
            List<List<String>> said = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
            for (int step = 0; step < 300; step++) {
                int at = random.nextInt(3);
                ReplayBuffer replay = streams.get(at);
                if (random.nextInt(40) == 0) replay.clear();
                String text = "m".repeat(random.nextInt(60)) + step;
                said.get(at).add(text);
                assertThat(replay.add(text).number())
                        .as("seed %d", seed)
                        .isEqualTo(said.get(at).size());
                int seen = random.nextInt(said.get(at).size() + 1);
                List<ReplayBuffer.Message> missed = replay.messagesAfter(seen);
                if (missed != null) {
                    assertThat(missed)
                            .as("seed %d", seed)
                            .extracting(ReplayBuffer.Message::text)
                            .containsExactlyElementsOf(
                                    said.get(at).subList(seen, said.get(at).size()));
                }
                assertThat(replay.messagesAfter(said.get(at).size())).isEmpty();
                int kept =
                        streams.stream().mapToInt(ReplayBuffer::bufferedChars).sum();
                assertThat(budget.usedChars())
                        .as("seed %d", seed)
                        .isEqualTo(kept)
                        .isLessThanOrEqualTo(300 + 3 * 64);
            }
        }
    }

    @Test
    void aNumberThatWasNeverGivenIsNoPlaceToGoOnFrom() {
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
