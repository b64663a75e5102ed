package maplerail.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamEndDetectorTest {
    /** Guards against streams that are taken for whole, or for broken, by anything but their last event. */
    @ParameterizedTest
    @CsvSource({
        "'data: 1\n\n|data: [DONE]\n\n', '', true",
        "'data: 1\r\n\r\n|data: [DONE]\r\n\r\n', '', true",
        "'data: 1\n\ndata: [DONE]\n\n', '', true",
        "'data:[DONE]\n\n', '', true",
        "'data: [DONE]\n\n|: Srv-Load: inflight=1\n\n', '', true",
        "'data: [DONE]\n\n', ': Srv-Load: inflight=1', true",
        "': Srv-Load: inflight=1\ndata: [DONE]\n\n', '', true",
        "'data: [DONE]\n\n|data: 2\n\n', '', false",
        "'data: [DONE]\n\n', 'data: 2', false",
        "'data: 1\n\n', 'data: [DONE]', false",
        "'data: \"[DONE]\"\n\n', '', false",
        "': [DONE]\n\n', '', false",
        "'', '', false"
    })
    void aStreamIsWholeByItsLastEvent(String events, String remainder, boolean whole) {
        StreamEndDetector detector = new StreamEndDetector();
        for (String sequence : events.split("\\|")) detector.accept(bytes(sequence));
        assertThat(detector.isWhole(bytes(remainder))).isEqualTo(whole);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
