package maplerail.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PaginationTest {
    @Test
    void entriesThatStayAreListedOnceDespiteChangesBetweenPages() {
        for (int seed = 0; seed < 100; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            TreeMap<String, Integer> all = new TreeMap<>();
            for (int i = 0; i < 50; i++) all.put("stays " + random.nextInt(1_000_000), 0);
            List<String> permanent = List.copyOf(all.keySet());
            List<String> listed = new ArrayList<>();
            String cursor = null;
            do {
                Pagination.Page page = Pagination.page(all, cursor, 1 + random.nextInt(9));
                listed.addAll(page.names());
                cursor = page.nextCursor();
                all.keySet().removeIf(name -> name.startsWith("x") && random.nextBoolean());
                all.put((random.nextBoolean() ? "x" : "stays a") + random.nextInt(1_000_000), 0);
            } while (cursor != null);
            assertThat(listed).as("seed %d", seed).doesNotHaveDuplicates().containsAll(permanent);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "%%", "YQ==", "a", "YQ YQ"})
    void anInvalidCursorIsRejected(String cursor) {
        assertThat(Pagination.page(new TreeMap<>(), cursor, 5)).isNull();
    }
}
