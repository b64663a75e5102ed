package maplerail.front;

import java.io.IOException;

/** Reports that a request's body is not framed as HTTP/1.1 has it, so that neither its content nor its end is known. */
public final class MalformedRequestException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedRequestException(String message) {
        super(message);
    }
}
