package maplerail.front;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import maplerail.core.MemoryBudget;
import org.xnio.channels.StreamSinkChannel;

/** The bytes of a streamed response that could not be written to its client's connection yet. */
public final class OutputQueue {
    private static final int MAX_BYTES = 64 * 1024; // from which the response should pause

    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private final MemoryBudget.Reservation memory;
    private int unsentBytes;

    /** Creates an empty queue; {@code memory} holds nothing yet. */
    public OutputQueue(MemoryBudget.Reservation memory) {
        this.memory = memory;
    }

    /** True if all has been written. */
    public boolean isEmpty() {
        return unsent.isEmpty();
    }

    /** Adds bytes; what was produced is never dropped, even if there is no memory for it. */
    public void add(ByteBuffer bytes) {
        unsent.add(bytes);
        unsentBytes += bytes.remaining();
        memory.grow(bytes.remaining());
    }

    /** True if the response should pause until all has been written. */
    public boolean isFull() {
        return unsentBytes > MAX_BYTES || unsentBytes > 0 && memory.isOverPart();
    }

    /** Writes as much as the connection takes; true if nothing is left. */
    public boolean writeTo(StreamSinkChannel sink) throws IOException {
        while (!unsent.isEmpty()) {
            ByteBuffer first = unsent.peek();
            int count = sink.write(first);
            unsentBytes -= count;
            memory.shrink(count);
            if (!first.hasRemaining()) unsent.poll();
            else if (count == 0) return false;
        }
        return true;
    }

    /** Drops what is left: the response has ended. */
    public void clear() {
        unsent.clear();
        unsentBytes = 0;
        memory.release();
    }
}
