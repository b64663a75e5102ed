package maplerail.core;

/** Why a read without a response is given up; written to the log. */
enum GiveUpReason {
    /** Its reader has completed a read that was written later. */
    OVERTAKEN,
    /** Connections to its reader that were opened after the read was written have failed. */
    READER_UNREACHABLE,
    /** Its reader has been silent on all connections. */
    READER_SILENT,
    /** A writer has reported that no read of the request is in flight. */
    NOT_IN_FLIGHT,
    /** Something may be held for the request until the limit, and no attempt is known to be in flight. */
    LIMIT_REACHED,
    /** A hedged read is sent, and this read would reach the limit before that could end. */
    REPLACED
}
