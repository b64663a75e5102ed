package maplerail.front;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import maplerail.core.MemoryBudget;

/** Collects the pieces of a body or message, as far as its size limit and the memory budget allow. */
public final class BodyBuffer {
    private final int maxBytes;
    private final int guaranteedBytes;
    private final MemoryBudget.Reservation memory;
    private final List<byte[]> pieces = new ArrayList<>();
    private State state = State.COLLECTING;
    private int collectedBytes;

    /** What has become of the body so far. */
    public enum State {
        /** All pieces are kept. */
        COLLECTING,
        /** It is larger than allowed; nothing is kept. */
        TOO_LARGE,
        /** There was no memory for it; nothing is kept. */
        NO_MEMORY
    }

    /**
     * Creates an empty buffer.
     *
     * @param maxBytes the size from which a body is too large
     * @param memory the memory of the body, which holds nothing yet
     */
    public BodyBuffer(int maxBytes, MemoryBudget.Reservation memory) {
        this(maxBytes, 0, memory);
    }

    /** Creates an empty buffer that may hold {@code guaranteedBytes} even where the budget has no room for them. */
    public BodyBuffer(int maxBytes, int guaranteedBytes, MemoryBudget.Reservation memory) {
        this.maxBytes = maxBytes;
        this.guaranteedBytes = guaranteedBytes;
        this.memory = memory;
    }

    /** What has become of the body so far. */
    public State state() {
        return state;
    }

    /** Adds a copy of a piece, unless the body is not kept. */
    public void add(ByteBuffer piece) {
        collectedBytes = (int) Math.min(maxBytes + 1L, (long) collectedBytes + piece.remaining());
        if (collectedBytes > maxBytes) {
            state = State.TOO_LARGE;
        } else if (state == State.COLLECTING && !reserve(piece.remaining())) {
            state = State.NO_MEMORY;
        }
        if (state != State.COLLECTING) {
            drop();
            return;
        }
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        pieces.add(bytes);
    }

    private boolean reserve(int bytes) {
        if (collectedBytes > guaranteedBytes) return memory.tryGrow(bytes);
        memory.grow(bytes);
        return true;
    }

    /** The whole body; only while it is kept. */
    public byte[] join() {
        if (pieces.size() == 1) return pieces.get(0);
        ByteBuffer body = ByteBuffer.allocate(collectedBytes);
        pieces.forEach(body::put);
        return body.array();
    }

    /** Forgets all pieces and frees their memory. */
    public void drop() {
        pieces.clear();
        memory.release();
    }
}
