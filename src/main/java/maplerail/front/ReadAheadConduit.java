package maplerail.front;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import maplerail.core.ClientPresence;
import maplerail.core.MemoryBudget;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Buffers a client's input ahead of its reader, so that the end of the input is detected even behind unread bytes or
 * before the loop processes the readable event.
 */
final class ReadAheadConduit extends DecodingConduit {
    private static final int READ_BYTES = 1024; // at first; more where more has come
    private static final int MAX_READ_BYTES = 64 * 1024;
    private static final int MAX_DISCARDED_BYTES = 64 * 1024; // at a time
    private static final int MAX_TURN_BYTES = 64 * 1024; // that are read in one turn, whatever the client sends
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    private final Runnable onRead;
    private final TurnScheduler turns;
    private Consumer<ByteBuffer> filter = bytes -> bytes.position(bytes.limit());
    private final MemoryBudget.Reservation memory;
    private ByteBuffer buffered = EMPTY; // from its position to its limit: received and not read yet
    private long receivedBytes; // without discarded bytes
    private boolean ended;
    private boolean discarding;
    private boolean suspended;
    private boolean outOfMemory; // the last read found no memory
    private int turnBytes = MAX_TURN_BYTES; // that may still be read in this turn
    private boolean resumesNextTurn;

    /**
     * Creates a conduit that calls {@code onRead} each time bytes are read from it.
     *
     * @param turns schedules further reads of a client that sends without end
     * @param memory the memory of its buffer, which holds nothing yet
     */
    ReadAheadConduit(
            StreamSourceConduit source, Runnable onRead, TurnScheduler turns, MemoryBudget.Reservation memory) {
        super(source);
        this.onRead = onRead;
        this.turns = turns;
        this.memory = memory;
    }

    /** Reads the available input into the buffer; true if the client has closed its side or the connection failed. */
    boolean pollEnd() {
        if (suspended) return ended;
        if (discarding) return pollEndWhileDiscarding();
        int bufferedBefore = buffered.remaining();
        try {
            while (!ended && hasRoom()) {
                int count = receiveIntoBuffer();
                if (count < 0) ended = true;
                if (count <= 0) break;
            }
        } catch (IOException e) {
            ended = true;
        }
        // The source does not signal buffered bytes, so a waiting reader is woken up here.
        if (next.isReadResumed() && (ended || buffered.remaining() > bufferedBefore)) next.wakeupReads();
        return ended;
    }

    /** Reads nothing from the socket any more, as another process may continue to read it. */
    void suspend() {
        suspended = true;
        suspendReads();
    }

    /** Ends the suspension: no other process reads the socket. */
    void resume() {
        suspended = false;
        resumeReads();
    }

    /** Looks for the end of the input; unknown while the memory for what precedes it is used up. */
    ClientPresence clientPresence() {
        if (pollEnd()) return ClientPresence.DISCONNECTED;
        return outOfMemory ? ClientPresence.UNKNOWN : ClientPresence.CONNECTED;
    }

    /** Makes room for a read; without memory the input stays in the socket: back-pressure on the client. */
    private boolean hasRoom() {
        outOfMemory = false;
        if (buffered.capacity() - buffered.limit() >= READ_BYTES) return true;
        int more = Math.min(MAX_READ_BYTES, Math.max(READ_BYTES, buffered.remaining()));
        int capacity = Math.max(buffered.remaining() + more, buffered.remaining() / 2 * 3);
        outOfMemory = !reserve(capacity - buffered.capacity());
        if (outOfMemory) return false;
        buffered = ByteBuffer.allocate(Math.max(capacity, buffered.capacity()))
                .put(buffered)
                .flip();
        return true;
    }

    /** Reserves memory for a larger buffer; the first read always has some, so that a client's end is seen at least then. */
    private boolean reserve(int moreBytes) {
        if (moreBytes <= 0) return true;
        if (buffered.capacity() > 0) return memory.tryGrow(moreBytes);
        memory.grow(moreBytes);
        return true;
    }

    /** Frees the buffer of a connection that is not read any more. */
    void releaseMemory() {
        buffered = EMPTY;
        memory.release();
    }

    private int receiveIntoBuffer() throws IOException {
        int end = Math.min(buffered.capacity(), buffered.limit() + MAX_READ_BYTES);
        ByteBuffer room = buffered.duplicate().limit(end).position(buffered.limit());
        int count = receive(room);
        if (count > 0) buffered.limit(room.position());
        return count;
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
        releaseMemory();
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
        for (int read = 0; !ended && read < MAX_DISCARDED_BYTES; read += chunk.position()) {
            int count = next.read(chunk.clear());
            if (count < 0) ended = true;
            if (count <= 0) break;
        }
        return ended ? -1 : 0;
    }

    /**
     * Passes the bytes that are read from now on through a filter. What it leaves in its buffer is discarded, with all
     * input behind it.
     */
    void filter(Consumer<ByteBuffer> newFilter) {
        filter = newFilter;
    }

    /** The number of bytes received so far, including buffered ones. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** The number of bytes that were read from this conduit. */
    long consumedBytes() {
        return receivedBytes - buffered.remaining();
    }

    /** True while the buffer can take no more input. */
    boolean isFull() {
        return outOfMemory;
    }

    /** True while the buffer contains unread bytes. */
    boolean hasBuffered() {
        return buffered.hasRemaining();
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        if (discarding) return discardAvailable();
        if (isTurnOver()) return 0;
        int start = into.position();
        int count = buffered.hasRemaining() ? copyBuffered(into) : ended ? -1 : receive(into);
        if (count <= 0) return count;
        useTurn(count);
        ByteBuffer received = into.slice(start, count);
        filter.accept(received);
        onRead.run();
        if (received.hasRemaining()) discard();
        into.position(start + received.position());
        return received.position();
    }

    private int copyBuffered(ByteBuffer into) {
        int count = Math.min(into.remaining(), buffered.remaining());
        into.put(buffered.slice(buffered.position(), count));
        buffered.position(buffered.position() + count);
        if (!buffered.hasRemaining()) releaseMemory();
        return count;
    }

    /** True once this turn's bytes are used up: what is left is read in the next one. */
    private boolean isTurnOver() {
        return turnBytes <= 0;
    }

    private void useTurn(int bytes) {
        turnBytes -= bytes;
        if (!isTurnOver()) return;
        resumesNextTurn = next.isReadResumed();
        next.suspendReads();
        turns.submit(this::beginTurn);
    }

    private void beginTurn() {
        turnBytes = MAX_TURN_BYTES;
        if (resumesNextTurn) resumeReads();
    }

    @Override
    public void resumeReads() {
        resumesNextTurn = isTurnOver();
        if (resumesNextTurn) return;
        if (ended || buffered.hasRemaining()) next.wakeupReads();
        else next.resumeReads();
    }

    @Override
    public void suspendReads() {
        resumesNextTurn = false;
        next.suspendReads();
    }

    @Override
    public boolean isReadResumed() {
        return resumesNextTurn || next.isReadResumed();
    }
}
