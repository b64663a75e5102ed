package maplerail.front;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Buffers a client's input ahead of its reader, so that the end of the input is detected even behind unread bytes or
 * before the loop processes the readable event.
 */
final class ReadAheadConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final int MAX_BUFFERED_BYTES =
            64 * 1024; // further input stays in the socket: back-pressure on the client
    private static final int READ_BYTES = 1024;
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    private final Runnable onRead;
    private ByteBuffer buffered = EMPTY; // from its position to its limit: received and not read yet
    private long receivedBytes; // without discarded bytes
    private boolean ended;
    private boolean discarding;
    private boolean suspended;

    /** Creates a conduit that calls {@code onRead} each time bytes are read from it. */
    ReadAheadConduit(StreamSourceConduit source, Runnable onRead) {
        super(source);
        this.onRead = onRead;
    }

    /** Reads the available input into the buffer; true if the client has closed its side or the connection failed. */
    boolean pollEnd() {
        if (suspended) return ended;
        if (discarding) return pollEndWhileDiscarding();
        int bufferedBefore = buffered.remaining();
        try {
            while (!ended && buffered.remaining() < MAX_BUFFERED_BYTES) {
                ByteBuffer chunk = ByteBuffer.allocate(READ_BYTES);
                int count = receive(chunk);
                if (count < 0) ended = true;
                if (count <= 0) break;
                buffer(chunk.flip());
            }
        } catch (IOException e) {
            ended = true;
        }
        // The source does not signal buffered bytes, so a waiting reader is woken up here.
        if (isReadResumed() && (ended || buffered.remaining() > bufferedBefore)) next.wakeupReads();
        return ended;
    }

    /** Reads nothing from the socket any more, as another process may continue to read it. */
    void suspend() {
        suspended = true;
        next.suspendReads();
    }

    /** Ends the suspension: no other process reads the socket. */
    void resume() {
        suspended = false;
        resumeReads();
    }

    private int receive(ByteBuffer into) throws IOException {
        int count = next.read(into);
        if (count > 0) receivedBytes += count;
        return count;
    }

    /**
     * Discards all further input. Closing a socket with unread input sends a reset, and the client loses the part of
     * the response that it has not read yet.
     */
    void discard() {
        discarding = true;
        buffered = EMPTY;
    }

    private boolean pollEndWhileDiscarding() {
        try {
            discardAvailable();
        } catch (IOException e) {
            ended = true;
        }
        return ended;
    }

    private int discardAvailable() throws IOException {
        ByteBuffer chunk = ByteBuffer.allocate(READ_BYTES);
        for (int read = 0; !ended && read < MAX_BUFFERED_BYTES; read += chunk.position()) {
            int count = next.read(chunk.clear());
            if (count < 0) ended = true;
            if (count <= 0) break;
        }
        return ended ? -1 : 0;
    }

    private void buffer(ByteBuffer chunk) {
        if (buffered.capacity() - buffered.limit() < chunk.remaining()) {
            ByteBuffer larger =
                    ByteBuffer.allocate(Math.max(2 * buffered.remaining(), buffered.remaining() + chunk.remaining()));
            buffered = larger.put(buffered).flip();
        }
        int start = buffered.position();
        buffered.position(buffered.limit()).limit(buffered.limit() + chunk.remaining());
        buffered.put(chunk).position(start);
    }

    /** The number of bytes received so far, including buffered ones. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** The number of bytes that were read from this conduit. */
    long consumedBytes() {
        return receivedBytes - buffered.remaining();
    }

    /** True while the buffer is full. */
    boolean isFull() {
        return buffered.remaining() >= MAX_BUFFERED_BYTES;
    }

    /** True while the buffer contains unread bytes. */
    boolean hasBuffered() {
        return buffered.hasRemaining();
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        if (discarding) return discardAvailable();
        int count = buffered.hasRemaining() ? copyBuffered(into) : ended ? -1 : receive(into);
        if (count > 0) onRead.run();
        return count;
    }

    @Override
    public long read(ByteBuffer[] into, int offset, int length) throws IOException {
        if (discarding) return discardAvailable();
        if (!buffered.hasRemaining() && !ended) {
            long count = next.read(into, offset, length);
            if (count > 0) {
                receivedBytes += count;
                onRead.run();
            }
            return count;
        }
        long total = 0;
        for (int i = offset; i < offset + length && buffered.hasRemaining(); i++) total += copyBuffered(into[i]);
        if (total > 0) onRead.run();
        return total == 0 && !buffered.hasRemaining() ? -1 : total;
    }

    private int copyBuffered(ByteBuffer into) {
        int count = Math.min(into.remaining(), buffered.remaining());
        into.put(buffered.slice(buffered.position(), count));
        buffered.position(buffered.position() + count);
        if (!buffered.hasRemaining()) buffered = EMPTY;
        return count;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer through, StreamSinkChannel target) throws IOException {
        return Conduits.transfer(this, count, through, target);
    }

    @Override
    public void resumeReads() {
        if (ended || buffered.hasRemaining()) next.wakeupReads();
        else next.resumeReads();
    }
}
