package maplerail.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import maplerail.config.ConfigException;
import maplerail.config.Tree;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigReloaderTest {
    /** Read once, a file that was being written was refused though it was whole a moment later. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            {}                   | {}   | 0
            {;{"a";{"a":1}       | {"a":1} | 0
            -;{};{"b":1}         | {}   | 0
            {;{;{}               |      | 1
            -;-                  |      | 1
            ;;                   |      | 1
            {1;{2;{3;{4;{5;{6;{7;{8;{9;{10;{11;{12;{13 | | 1
            """)
    void aFileIsReadForAsLongAsItChanges(String texts, String used, int refusals) {
        ArrayDeque<String> file =
                new ArrayDeque<>(List.of(texts == null ? new String[] {"", ""} : texts.split(";", -1)));
        List<String> refused = new ArrayList<>();
        List<String> taken = new ArrayList<>();
        ConfigReloader reload = new ConfigReloader(
                name -> {
                    String text = file.poll();
                    if (text.equals("-")) throw new ConfigException(name + ": cannot be read");
                    return text;
                },
                refused::add);
        reload.run(() -> reload.reload("config.json", text -> {
            Tree.object("config", text);
            taken.add(text);
        }));
        assertThat(taken).isEqualTo(used == null ? List.of() : List.of(used));
        assertThat(refused).hasSize(refusals).allSatisfy(why -> assertThat(why).startsWith("config"));
    }
}
