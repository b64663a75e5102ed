package maplerail.algorithms;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import maplerail.algorithms.PlacementTable.Placement;
import org.junit.jupiter.api.Test;

class TablesTest {
    @Test
    void leastRecentlyPutEntryIsEvictedFirst() {
        LruTable<String> table = new LruTable<>(2, value -> false);
        table.put(1, "a");
        table.put(2, "b");
        table.put(1, "c");
        table.put(3, "d");
        assertThat(table.get(2)).isNull();
        assertThat(table.get(1)).isEqualTo("c");
        assertThat(table.size()).isEqualTo(2);
    }

    @Test
    void expiredEntriesAreEvictedUpToTheOldestUnexpiredOne() {
        LruTable<String> table = new LruTable<>(10, "old"::equals);
        List.of("young", "old").forEach(value -> table.put(value.length(), value));
        table.put(7, "young");
        assertThat(table.size())
                .as("an expired entry behind an unexpired one stays")
                .isEqualTo(3);
        table.put(5, "old");
        table.put(8, "young");
        assertThat(table.get(3)).isNull();
    }

    @Test
    void placementExpiresAfterItsTtl() {
        PlacementTable<String> table = new PlacementTable<>(10, 2, 1_000);
        table.put(7, new Placement<>("a", 40, 0), 0);
        assertThat(table.amount(7, "a", 999)).isEqualTo(40);
        assertThat(table.amount(7, "a", 1_000)).isZero();
        assertThat(table.amount(7, "b", 0)).isZero();
        assertThat(table.amount(8, "a", 0)).isZero();
    }

    @Test
    void keyHasOnlyItsLatestHoldersAndEachOnce() {
        PlacementTable<String> table = new PlacementTable<>(10, 2, 1_000);
        for (String holder : List.of("a", "b", "a", "c")) table.put(7, new Placement<>(holder, 40, 0), 0);
        List<String> holders = new ArrayList<>();
        table.forEach((key, placement) -> holders.add(placement.holder()));
        assertThat(holders).containsExactly("a", "c");
        table.remove(7, "a");
        assertThat(table.amount(7, "a", 0)).isZero();
        assertThat(table.amount(7, "c", 0)).isEqualTo(40);
    }

    @Test
    void removingANodeReassignsOnlyItsKeys() {
        List<Long> nodes = List.of(1L, 2L, 3L, 4L);
        List<Long> remaining = List.of(1L, 2L, 4L);
        for (long key = 1; key <= 200; key++) {
            long before = firstChoice(nodes, key);
            long after = firstChoice(remaining, key);
            if (before != 3) assertThat(after).isEqualTo(before);
        }
        long moved = LongStream.rangeClosed(1, 200)
                .filter(key -> firstChoice(nodes, key) == 3)
                .count();
        assertThat(moved).as("about a quarter of the keys").isBetween(30L, 70L);
    }

    @Test
    void nodeOfTheLowestValueIsChosenAndTiesAreBrokenByTheHash() {
        List<Long> nodes = List.of(1L, 2L, 3L);
        assertThat(RendezvousHash.<Long>lowest(nodes, node -> -node, node -> node, 7))
                .isEqualTo(3);
        assertThat(RendezvousHash.<Long>lowest(nodes, node -> 0, node -> node, 7))
                .isEqualTo(firstChoice(nodes, 7));
        assertThat(RendezvousHash.<Long>lowest(List.of(), node -> 0, node -> node, 7))
                .isNull();
    }

    private static Long firstChoice(List<Long> nodes, long key) {
        return RendezvousHash.lowest(nodes, node -> 0, node -> node, key);
    }
}
