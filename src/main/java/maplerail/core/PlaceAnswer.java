package maplerail.core;

/** What came of asking a writer to hold a place for a request that is being read. */
public enum PlaceAnswer {
    /** A read is in flight, and the writer holds a place. */
    HELD,
    /** A read is in flight, and the writer holds no place. */
    NOT_HELD,
    /** No read is in flight: it never arrived, or has ended. The writer may hold a place all the same. */
    NO_READ,
    /** The writer gave no answer that tells anything. */
    UNKNOWN;

    /** True if a read of the request is in flight at a reader. */
    boolean isReading() {
        return this == HELD || this == NOT_HELD;
    }
}
