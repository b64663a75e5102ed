package maplerail.front;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/** A source conduit whose bytes are not those of its socket one by one: everything goes through {@link #read(ByteBuffer)}. */
abstract class DecodingConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    DecodingConduit(StreamSourceConduit source) {
        super(source);
    }

    @Override
    public abstract int read(ByteBuffer into) throws IOException;

    @Override
    public final long read(ByteBuffer[] into, int offset, int length) throws IOException {
        long total = 0;
        for (int i = offset; i < offset + length; i++) {
            if (!into[i].hasRemaining()) continue;
            int count = read(into[i]);
            if (count < 0 && total == 0) return -1;
            if (count <= 0) break;
            total += count;
        }
        return total;
    }

    @Override
    public final long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public final long transferTo(long count, ByteBuffer through, StreamSinkChannel target) throws IOException {
        return Conduits.transfer(this, count, through, target);
    }
}
