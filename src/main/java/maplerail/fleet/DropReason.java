package maplerail.fleet;

/** Why a datagram from another gateway was dropped. */
public enum DropReason {
    /** It has more bytes than the platform allows. */
    TOO_LONG,
    /** It has fewer bytes than its header. */
    TOO_SHORT,
    /** It does not begin with the magic number. */
    MAGIC,
    /** It is of another kind, or of a version that is not known. */
    VERSION,
    /** Its last entry is not complete. */
    TRUNCATED,
    /** It has no entries. */
    EMPTY,
    /** A field has a value that is not allowed. */
    INVALID_VALUE,
    /** Its address is of no gateway of the tier. */
    UNKNOWN_SENDER,
    /** It names another gateway than the one whose address it came from. */
    SPOOFED,
    /** It came from this gateway itself. */
    OWN,
    /** It is not newer than the last one from its sender. */
    STALE,
    /** Its sender sends too many. */
    FLOOD
}
