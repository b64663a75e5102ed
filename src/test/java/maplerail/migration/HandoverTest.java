package maplerail.migration;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import maplerail.routing.RoutingEvent.PrefixCached;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HandoverTest {
    private static final double NOW = 1_796_155_158_000.0;
    private static final HandoverSnapshot SNAPSHOT = new HandoverSnapshot(
            NOW,
            List.of(
                    new PrefixCached(true, -7, 0xa89b790ba0b6L, 2_352, NOW - 40),
                    new PrefixCached(false, 0x299e4f76b58adL, 0xd1fefdb73830L, 1_785, NOW - 19_000)));

    @TempDir
    Path folder;

    @Test
    void writtenSnapshotIsParsed() {
        assertThat(HandoverSnapshot.parse(SNAPSHOT.toJson(), NOW + 30)).contains(SNAPSHOT);
    }

    /** Written by the version before package migration: both versions run side by side during an upgrade. */
    @Test
    void formatOfEarlierVersionsIsReadAndWritten() {
        String json =
                "{\"form\":1,\"written_ms\":1.796155158E12,\"held\":[[1,\"fffffffffffffff9\",\"a89b790ba0b6\",2352,"
                        + "1796155157960],[0,\"299e4f76b58ad\",\"d1fefdb73830\",1785,1796155139000]]}";
        assertThat(HandoverSnapshot.parse(json, NOW + 30)).contains(SNAPSHOT);
        assertThat(SNAPSHOT.toJson()).isEqualTo(json);
    }

    /** The snapshot is optional, so a malformed one is treated as missing. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "form":1     | "form":2
            "form":1     | "from":1
            "written_ms" | "written"
            1.796        | "1.796
            2352         | "2352"
            2352         | -2352
            2352         | 1e9
            "a89b790ba0b6" | "a89b790ba0b6a89b790ba0b6"
            "a89b790ba0b6" | "engine"
            [1,"         | [["1","
            ]]}          | ]]
            """)
    void malformedSnapshotIsIgnored(String valid, String invalid) {
        String text = SNAPSHOT.toJson();
        assertThat(text).contains(valid);
        assertThat(HandoverSnapshot.parse(text.replace(valid, invalid), NOW + 30))
                .isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"0,true", "4900,true", "5100,false", "86400000,false", "-40,true", "-1000,false"})
    void oldOrFutureSnapshotIsIgnored(double ageMs, boolean accepted) {
        assertThat(HandoverSnapshot.parse(new HandoverSnapshot(NOW, List.of()).toJson(), NOW + ageMs)
                        .isPresent())
                .isEqualTo(accepted);
    }

    @Test
    void truncatedSnapshotIsIgnored() {
        String text = SNAPSHOT.toJson();
        for (int length = 0; length < text.length(); length++) {
            assertThat(HandoverSnapshot.parse(text.substring(0, length), NOW))
                    .as(text.substring(0, length))
                    .isEmpty();
        }
    }

    @Test
    void lastTextIsReadOnceAndNoFilesRemain() throws Exception {
        new HandoverFile(folder, 1).write("one");
        new HandoverFile(folder, 2).write("two");
        HandoverFile next = new HandoverFile(folder, 3);
        assertThat(next.readAndDelete()).contains("two");
        assertThat(next.readAndDelete()).isEmpty();
        try (Stream<Path> files = Files.list(folder)) {
            assertThat(files).isEmpty();
        }
    }

    @Test
    void missingFolderIsIgnored() {
        HandoverFile missing = new HandoverFile(folder.resolve("none"), 1);
        missing.write("one");
        assertThat(missing.readAndDelete()).isEmpty();
    }
}
