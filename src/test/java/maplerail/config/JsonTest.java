package maplerail.config;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class JsonTest {
    /** The id of a message of which only the beginning was kept: none rather than another one. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            {"jsonrpc":"2.0","id":12,"method":"tools/ca  | 12
            {"params":{"id":7},"id" : "a,b" ,"method     | "a,b"
            {"id":1e3,"x":"                              | 1e3
            {"id":1}                                     | 1
            {"id":12                                     | ``
            {"id":"12                                    | ``
            {"id":null,"x":1}                            | ``
            {"id":{"id":3},"x":1}                        | ``
            {"params":{"id":7,"te                        | ``
            [{"id":1},{"id":2                            | ``
            no JSON                                      | ``
            """)
    void aFieldOfACutOffObjectIsFoundWhereItIsWhole(String text, String value) {
        assertThat(Json.leadingScalar(text, "id").orElse("")).isEqualTo(value);
    }
}
