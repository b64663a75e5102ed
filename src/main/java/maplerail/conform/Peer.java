package maplerail.conform;

import java.io.IOException;

/** A client's side of one session, over whatever transport: what it sends, and what it hears. */
interface Peer extends AutoCloseable {
    /** Sends a text as it is. */
    void send(String text) throws IOException, InterruptedException;

    /** The next message heard; null if none came in time. */
    String take() throws InterruptedException;

    /** True where a refusal may come as an HTTP status in place of an error message. */
    boolean http();

    @Override
    void close();
}
