package maplerail.core;

/** What came of asking a writer to hold a place for a request that is being read. */
public enum ReservePlaceResult {
    /** A read is in flight, and the writer holds a place. */
    RESERVED,
    /** A read is in flight, and the writer holds no place. */
    NOT_RESERVED,
    /** No read is in flight: it never arrived, or has ended. The writer may hold a place all the same. */
    NO_READ_IN_FLIGHT,
    /** The writer gave no answer that tells anything. */
    UNKNOWN;

    /** True if a read of the request is in flight at a reader. */
    boolean confirmsRead() {
        return this == RESERVED || this == NOT_RESERVED;
    }
}
