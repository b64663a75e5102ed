package maplerail.front.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RequestParserTest {
    /** Guards against a hint that is taken for milliseconds: the platform's page says microseconds. */
    @ParameterizedTest
    @CsvSource({"0, 0", "3600000, 3600", "9000000, 9000", "12500.5, 12.5005", "3600000000, 3600000"})
    void costHintsAreMicroseconds(String text, double expectedMs) {
        assertThat(RequestParser.parseMicroseconds(text)).hasValue(expectedMs);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "much", "-1", "1e6", "3600000001", "99999999999999999999"})
    void otherCostHintsAreNoNumbers(String text) {
        assertThat(RequestParser.parseMicroseconds(text)).isEqualTo(OptionalDouble.empty());
    }
}
