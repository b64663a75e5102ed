package maplerail.front.jsonrpc;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Decodes clients' messages without replacing what is malformed. */
final class Utf8 {
    private Utf8() {}

    /** The text of a message; empty if the bytes are not UTF-8. */
    static Optional<String> decode(byte[] bytes) {
        try {
            return Optional.of(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }
}
