package maplerail.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ResponseParserTest {
    private static final class RecordingHandler implements ResponseHandler {
        private final StringBuilder text = new StringBuilder();

        @Override
        public void onHead(int status, HeaderMap headers) {
            text.append(status).append(':');
        }

        @Override
        public void onBody(ByteBuffer piece) {
            text.append(StandardCharsets.ISO_8859_1.decode(piece));
        }

        @Override
        public void onComplete() {}

        @Override
        public void onFailed(boolean neverSent) {}
    }

    /** Parses a response in pieces; returns what the handler received and the parser's state after that. */
    private static String parse(String response, int pieceSize) {
        RecordingHandler handler = new RecordingHandler();
        ResponseParser parser = new ResponseParser(handler);
        byte[] bytes = response.replace('~', '\r').replace('^', '\n').getBytes(StandardCharsets.ISO_8859_1);
        int surplus = 0;
        try {
            for (int i = 0; i < bytes.length; i += pieceSize) {
                ByteBuffer next = ByteBuffer.wrap(bytes, i, Math.min(pieceSize, bytes.length - i));
                parser.feed(next);
                surplus += next.remaining();
            }
        } catch (IOException e) {
            return handler.text + " malformed";
        }
        return handler.text
                + (parser.isDone() ? " done" : parser.isWithinUnit() ? " within" : " open")
                + (surplus > 0 ? " and more" : "")
                + (parser.isKeepAlive() ? "" : " last");
    }

    /** Each response is parsed in one piece and byte by byte; ~ and ^ stand for CR and LF. */
    @ParameterizedTest
    @CsvSource(delimiter = '!', textBlock = """
        HTTP/1.1 200 OK~^Content-Length: 3~^~^abc                          ! 200:abc done
        HTTP/1.1 200~^Content-Length: 3~^~^ab                              ! 200:ab open
        HTTP/1.1 200 OK~^Content-Length: 1~^~^aHTTP/1.1 200 OK~^           ! 200:a done and more
        HTTP/1.1 200 OK^Content-Length: 1^^a                               ! 200:a done
        HTTP/1.1 200 OK~^Connection: Close~^Content-Length: 0~^~^          ! 200: done last
        HTTP/1.0 200 OK~^Content-Length: 0~^~^                             ! 200: done last
        HTTP/1.1 204 No~^~^                                                ! 204: done
        HTTP/1.1 200 OK~^~^abc                                             ! 200:abc open last
        HTTP/1.1 100 Go~^~^HTTP/1.1 103 Hint~^X: y~^~^HTTP/1.1 204 No~^~^  ! 204: done
        HTTP/1.1 101 Switch~^~^                                            ! ' malformed'
        HTTP/1.1 200 OK~^Transfer-Encoding: chunked~^~^3~^abc~^0~^~^       ! 200:abc done
        HTTP/1.1 200 OK~^Transfer-Encoding: chunked~^~^3;x=y~^abc~^0~^A: b~^~^ ! 200:abc done
        HTTP/1.1 200 OK~^Transfer-Encoding: chunked~^~^3~^abc~^            ! 200:abc open
        HTTP/1.1 200 OK~^Transfer-Encoding: chunked~^~^3~^abc~^5~^ab       ! 200:abc within
        HTTP/1.1 200 OK~^Transfer-Encoding: chunked~^~^3~^abc~^zz~^        ! 200:abc malformed
        HTTP/1.1 200 OK~^Transfer-Encoding: chunked~^~^3~^abc~^~^          ! 200:abc malformed
        HTTP/1.1 200 OK~^Transfer-Encoding: chunked~^~^3~^abc~^-1~^        ! 200:abc malformed
        HTTP/1.1 200 OK~^Transfer-Encoding: chunked~^~^2~^abc~^0~^~^       ! 200: malformed
        HTTP/1.1 200 OK~^Transfer-Encoding: chunked~^~^4~^abc~^0~^~^       ! 200: malformed
        HTTP/1.1 200 OK~^Transfer-Encoding: chunked~^~^c0000000~^abc       ! 200: malformed
        HTTP/1.1 200 OK~^Transfer-Encoding: chunked~^~^10000000000000003~^abc~^ ! 200: malformed
        HTTP/1.1 200 OK~^Transfer-Encoding: gzip~^~^                       ! ' malformed'
        HTTP/1.1 200 OK~^Transfer-Encoding: chunked~^Content-Length: 3~^~^ ! ' malformed'
        HTTP/1.1 200 OK~^Content-Length: 3~^Content-Length: 4~^~^          ! ' malformed'
        HTTP/1.1 200 OK~^Content-Length: -3~^~^                            ! ' malformed'
        HTTP/1.1 200 OK~^no header~^~^                                     ! ' malformed'
        HTTP/1.1 OK~^~^                                                    ! ' malformed'
        noise^                                                             ! ' malformed'
        noise                                                              ! ' within last'
        """)
    void parsesCompleteOpenAndMalformedResponses(String response, String expected) {
        assertThat(parse(response, Integer.MAX_VALUE / 2)).isEqualTo(expected);
        assertThat(parse(response, 1)).isEqualTo(expected);
    }

    @Test
    void rejectsHeadsOverTheLimits() {
        assertThat(parse("HTTP/1.1 200 OK~^" + "A: b~^".repeat(4_000), 512)).isEqualTo(" malformed");
        assertThat(parse("HTTP/1.1 200 " + "x".repeat(20_000), 512)).isEqualTo(" malformed");
        assertThat(parse("HTTP/1.1 100 Go~^~^".repeat(30), 512)).isEqualTo(" malformed");
    }
}
