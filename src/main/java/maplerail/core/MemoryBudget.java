package maplerail.core;

import maplerail.metrics.Metrics;

/**
 * The heap memory that the data of one front's clients may occupy, in bytes: what they send, until a response begins, and
 * what they have not taken of their responses. To be used on the event loop only.
 *
 * <p>A holder may have at most a part of what is free (a dynamic threshold, as in shared buffers of switches), so that
 * many large ones leave room for small ones.
 */
public final class MemoryBudget {
    private static final int PLATFORM_HEAP_PARTS = 4; // of which one is for the platform's clients
    private static final int TOOLS_HEAP_PARTS = 16; // of which one is for the clients of tool calls
    private static final int FREE_PARTS = 8; // of which a holder may have one

    private final long limitBytes;
    private final Metrics.MemoryUse figures;
    private long usedBytes;

    /** Creates a budget of a number of bytes, none of which is in use, and publishes its use. */
    public MemoryBudget(long limitBytes, Metrics.MemoryUse figures) {
        this.limitBytes = limitBytes;
        this.figures = figures;
        figures.set(0, limitBytes);
    }

    /** Creates the budget of the platform's front in a process whose heap may grow to a number of bytes. */
    public static MemoryBudget ofPlatform(long maxHeapBytes, Metrics metrics) {
        return new MemoryBudget(maxHeapBytes / PLATFORM_HEAP_PARTS, metrics.memory("platform"));
    }

    /** Creates the budget of the front for tool calls, so that its clients can't use up the platform's. */
    public static MemoryBudget ofTools(long maxHeapBytes, Metrics metrics) {
        return new MemoryBudget(maxHeapBytes / TOOLS_HEAP_PARTS, metrics.memory("tools"));
    }

    /** Creates a budget without a limit. */
    public static MemoryBudget unlimited() {
        return new MemoryBudget(Long.MAX_VALUE / FREE_PARTS, new Metrics.MemoryUse());
    }

    /** Creates a reservation without any memory. */
    public Reservation reserveNothing() {
        return new Reservation();
    }

    private void use(long bytes) {
        usedBytes += bytes;
        figures.set(usedBytes, limitBytes);
    }

    /** The memory of one holder. */
    public final class Reservation {
        private long bytes;

        private Reservation() {}

        /** The bytes that it may have in all at present. */
        public long maxBytes() {
            return Math.max(0, limitBytes - usedBytes + bytes) / FREE_PARTS;
        }

        /** Reserves more bytes; false if it would have more than its part, and nothing is reserved. */
        public boolean tryGrow(long more) {
            if (bytes + more > maxBytes()) return false;
            grow(more);
            return true;
        }

        /** Records more bytes that exist already, even beyond its part. */
        public void grow(long more) {
            bytes += more;
            use(more);
        }

        /** Frees some of its bytes. */
        public void shrink(long less) {
            grow(-less);
        }

        /** Frees all of it; it may grow again. */
        public void release() {
            shrink(bytes);
        }

        /** True while it has more than its part. */
        public boolean isOverPart() {
            return bytes > maxBytes();
        }
    }
}
