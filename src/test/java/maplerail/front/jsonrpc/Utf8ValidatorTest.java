package maplerail.front.jsonrpc;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class Utf8ValidatorTest {
    private static final int[] NEXT = {
        0x00, 0x41, 0x7f, 0x80, 0x8f, 0x90, 0x9f, 0xa0, 0xbf, 0xc0, 0xc2, 0xed, 0xf4, 0xff
    };

    /** Every first byte, with later ones from either side of each border, is text exactly where the platform's decoder says so. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4})
    void itAcceptsExactlyWhatThePlatformDecodes(int length) {
        int combinations = (int) Math.pow(NEXT.length, length - 1);
        for (int first = 0; first <= 0xff; first++) {
            for (int i = 0; i < combinations; i++) {
                byte[] bytes = new byte[length];
                bytes[0] = (byte) first;
                for (int k = 1, rest = i; k < length; k++, rest /= NEXT.length) {
                    bytes[k] = (byte) NEXT[rest % NEXT.length];
                }
                assertThat(isAccepted(bytes))
                        .as("%s", bytes)
                        .isEqualTo(Utf8.decode(bytes).isPresent());
            }
        }
    }

    private static boolean isAccepted(byte[] bytes) {
        Utf8Validator validator = new Utf8Validator();
        for (byte next : bytes) {
            if (!validator.accept(next & 0xff)) return false;
        }
        return validator.isComplete();
    }
}
