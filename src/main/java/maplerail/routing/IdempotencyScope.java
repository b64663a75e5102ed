package maplerail.routing;

/** Which engines recognise the idempotency key of a request that one of them has executed. */
public enum IdempotencyScope {
    /** All engines. */
    ALL,
    /** The engines of the same zone. */
    ZONE,
    /** The engines of the same cell. */
    CELL;

    /** True if an engine recognises the keys of requests that another one has executed. */
    public boolean includes(Endpoint executed, Endpoint other) {
        return switch (this) {
            case ALL -> true;
            case ZONE -> executed.zone() == other.zone();
            case CELL -> executed.cell() == other.cell();
        };
    }
}
