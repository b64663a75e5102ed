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
 * What a client sends, which can be looked at before anybody reads it. Guards against a client whose end nobody sees
 * because bytes that it sent before lie in front of it, or because the loop has yet to come to it.
 */
final class ReadAheadConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final int MOST = 64 * 1024; // bytes kept for whoever reads them; what is behind waits at its sender
    private static final int PIECE = 1024;
    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    private final Runnable came;
    private ByteBuffer early = NOTHING; // from its position to its limit: looked at and not read
    private long received; // bytes, but for those thrown away
    private boolean ended;
    private boolean discarding;

    /** {@code came} hears of each piece that is read. */
    ReadAheadConduit(StreamSourceConduit from, Runnable came) {
        super(from);
        this.came = came;
    }

    /** True if the client has ended its side, or the connection broke; looks at what has come by now. */
    boolean ended() {
        if (discarding) return endedWhileDiscarding();
        int before = early.remaining();
        try {
            while (!ended && early.remaining() < MOST) {
                ByteBuffer piece = ByteBuffer.allocate(PIECE);
                int count = receive(piece);
                if (count < 0) ended = true;
                if (count <= 0) break;
                keep(piece.flip());
            }
        } catch (IOException e) {
            ended = true;
        }
        // Whoever waits for bytes would hear nothing of those that lie here.
        if (isReadResumed() && (ended || early.remaining() > before)) next.wakeupReads();
        return ended;
    }

    private int receive(ByteBuffer into) throws IOException {
        int count = next.read(into);
        if (count > 0) received += count;
        return count;
    }

    /**
     * Nobody reads on: what still comes is thrown away. Guards against an end over bytes that nobody has read, which is a
     * reset, and takes what the client has yet to read of its answer with it.
     */
    void discard() {
        discarding = true;
        early = NOTHING;
    }

    private boolean endedWhileDiscarding() {
        try {
            throwAway();
        } catch (IOException e) {
            ended = true;
        }
        return ended;
    }

    private int throwAway() throws IOException {
        ByteBuffer piece = ByteBuffer.allocate(PIECE);
        for (int read = 0; !ended && read < MOST; read += piece.position()) {
            int count = next.read(piece.clear());
            if (count < 0) ended = true;
            if (count <= 0) break;
        }
        return ended ? -1 : 0;
    }

    private void keep(ByteBuffer piece) {
        if (early.capacity() - early.limit() < piece.remaining()) {
            ByteBuffer larger =
                    ByteBuffer.allocate(Math.max(2 * early.remaining(), early.remaining() + piece.remaining()));
            early = larger.put(early).flip();
        }
        int from = early.position();
        early.position(early.limit()).limit(early.limit() + piece.remaining());
        early.put(piece).position(from);
    }

    /** The number of bytes that have come so far, whether anybody has read them or not. */
    long received() {
        return received;
    }

    /** The number of bytes that have been read. */
    long consumed() {
        return received - early.remaining();
    }

    /** True while as much lies here as may. */
    boolean full() {
        return early.remaining() >= MOST;
    }

    /** True while something lies here that nobody has read. */
    boolean holds() {
        return early.hasRemaining();
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        if (discarding) return throwAway();
        int count = early.hasRemaining() ? take(into) : ended ? -1 : receive(into);
        if (count > 0) came.run();
        return count;
    }

    @Override
    public long read(ByteBuffer[] into, int offset, int length) throws IOException {
        if (discarding) return throwAway();
        if (!early.hasRemaining() && !ended) {
            long count = next.read(into, offset, length);
            if (count > 0) {
                received += count;
                came.run();
            }
            return count;
        }
        long sum = 0;
        for (int i = offset; i < offset + length && early.hasRemaining(); i++) sum += take(into[i]);
        if (sum > 0) came.run();
        return sum == 0 && !early.hasRemaining() ? -1 : sum;
    }

    private int take(ByteBuffer into) {
        int count = Math.min(into.remaining(), early.remaining());
        into.put(early.slice(early.position(), count));
        early.position(early.position() + count);
        if (!early.hasRemaining()) early = NOTHING;
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
        if (ended || early.hasRemaining()) next.wakeupReads();
        else next.resumeReads();
    }
}
