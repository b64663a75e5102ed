package maplerail.fleet;

/** Why a datagram from another gateway was dropped. */
public enum DropReason {
    /** Larger than the platform allows. */
    TOO_LONG,
    /** Shorter than its header and required entries. */
    TOO_SHORT,
    /** Does not begin with the magic number. */
    BAD_MAGIC,
    /** Of another kind, or of an unsupported version. */
    UNSUPPORTED_VERSION,
    /** The last entry is incomplete. */
    TRUNCATED,
    /** Contains no entries. */
    EMPTY,
    /** A field has an invalid value. */
    INVALID_VALUE,
    /** The source address belongs to no gateway of the tier. */
    UNKNOWN_SENDER,
    /** The sender's rank does not match the source address. */
    SPOOFED,
    /** Sent by this gateway itself. */
    SENT_BY_SELF,
    /** Not newer than the latest datagram from its sender. */
    STALE,
    /** The sender exceeds its rate limit. */
    FLOOD
}
