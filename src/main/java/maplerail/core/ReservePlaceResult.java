package maplerail.core;

/** The result of asking a writer to reserve a place for the state of a request that is being read. */
public enum ReservePlaceResult {
    /** A read is in flight, and the writer has reserved a place. */
    RESERVED,
    /** A read is in flight, and the writer has not reserved a place. */
    NOT_RESERVED,
    /** No read is in flight: it never arrived, or has ended. The writer may have reserved a place nevertheless. */
    NO_READ_IN_FLIGHT,
    /** The writer did not respond, or with neither of these results. */
    UNKNOWN,
    /** The call was not sent, so that the writer has reserved no place. */
    NOT_SENT;

    /** True if the writer may have reserved a place, or may still do so. */
    boolean mayHoldPlace() {
        return this == RESERVED || this == NO_READ_IN_FLIGHT || this == UNKNOWN;
    }

    /** True if nothing was learned about the reads of the request. */
    boolean isFailure() {
        return this == UNKNOWN || this == NOT_SENT;
    }

    /** True if the writer confirms that a read of the request is in flight at a reader. */
    boolean confirmsRead() {
        return this == RESERVED || this == NOT_RESERVED;
    }
}
