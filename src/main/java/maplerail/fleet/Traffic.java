package maplerail.fleet;

/** The number of datagrams sent and their total size; each counts once, however many gateways receive it. */
public record Traffic(long datagrams, long bytes) {
    static final Traffic NONE = new Traffic(0, 0);

    Traffic plus(byte[] datagram) {
        return new Traffic(datagrams + 1, bytes + datagram.length);
    }
}
