package maplerail.routing;

/** The engines that recognise the idempotency key of a request that one of them has executed. */
public enum IdempotencyScope {
    /** All engines. */
    ALL,
    /** The engines of the same zone. */
    ZONE,
    /** The engines of the same cell. */
    CELL;

    /** Returns true if {@code other} recognises the keys of requests that {@code executed} has executed. */
    public boolean includes(Endpoint executed, Endpoint other) {
        return switch (this) {
            case ALL -> true;
            case ZONE -> executed.zone() == other.zone();
            case CELL -> executed.cell() == other.cell();
        };
    }
}
