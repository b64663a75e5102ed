package maplerail.migration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * What is told of a running stream beside its two sockets. Its bytes:
 *
 * <pre>
 * u8 form (1), u8 closes (0 or 1), client: 4 bytes and u16 port, engine: the same,
 * request class and request id: u16 length and UTF-8 each
 * </pre>
 *
 * @param requestClass the name of the request's class
 * @param requestId the client's id of the request
 * @param closeAfterResponse whether the client was told that its connection ends with the answer
 * @param client the far end of the client's socket (IPv4)
 * @param engine the far end of the engine's socket (IPv4)
 */
public record MigratedStream(
        String requestClass,
        String requestId,
        boolean closeAfterResponse,
        InetSocketAddress client,
        InetSocketAddress engine) {
    static final int MAX_BYTES = 2_048;

    private static final int FORM = 1;
    private static final int ADDRESS_BYTES = 4;

    /** The bytes; an {@link IOException} says that there would be more than {@link #MAX_BYTES}, or no IPv4 address. */
    byte[] bytes() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(out);
        data.writeByte(FORM);
        data.writeByte(closeAfterResponse ? 1 : 0);
        write(data, client);
        write(data, engine);
        data.writeUTF(requestClass);
        data.writeUTF(requestId);
        if (out.size() > MAX_BYTES) throw new IOException("a stream's description of " + out.size() + " bytes");
        return out.toByteArray();
    }

    private static void write(DataOutputStream data, InetSocketAddress socket) throws IOException {
        byte[] address = socket.getAddress().getAddress();
        if (address.length != ADDRESS_BYTES) throw new IOException("not an IPv4 address: " + socket);
        data.write(address);
        data.writeShort(socket.getPort());
    }

    /** Reads what {@link #bytes} wrote, and nothing else. */
    static MigratedStream read(byte[] bytes) throws IOException {
        DataInputStream data = new DataInputStream(new ByteArrayInputStream(bytes));
        int form = data.readUnsignedByte();
        int closes = data.readUnsignedByte();
        if (form != FORM || closes > 1) throw new IOException("another form: " + form + ", " + closes);
        InetSocketAddress client = readSocket(data);
        InetSocketAddress engine = readSocket(data);
        MigratedStream stream = new MigratedStream(data.readUTF(), data.readUTF(), closes == 1, client, engine);
        if (data.available() > 0) throw new IOException("more than a stream's description");
        return stream;
    }

    private static InetSocketAddress readSocket(DataInputStream data) throws IOException {
        InetAddress address = InetAddress.getByAddress(data.readNBytes(ADDRESS_BYTES));
        return new InetSocketAddress(address, data.readUnsignedShort());
    }
}
