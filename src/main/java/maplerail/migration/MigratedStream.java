package maplerail.migration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The description of a running stream that is sent with its two sockets. Its encoding:
 *
 * <pre>
 * u8 format version (1), u8 close flag (0 or 1), client: 4 bytes and u16 port, engine: the same,
 * request class and request id: u16 length and modified UTF-8 each, as {@link java.io.DataOutput#writeUTF} has it
 * </pre>
 *
 * @param requestClass the name of the request's class
 * @param requestId the client's id of the request
 * @param closeAfterResponse whether the response announced that the client connection closes after it
 * @param client the remote address of the client's socket (IPv4)
 * @param engine the remote address of the engine's socket (IPv4)
 */
public record MigratedStream(
        String requestClass,
        String requestId,
        boolean closeAfterResponse,
        InetSocketAddress client,
        InetSocketAddress engine) {
    static final int MAX_BYTES = 2_048;

    private static final int FORMAT_VERSION = 1;
    private static final int ADDRESS_BYTES = 4;

    /**
     * Encodes the description; throws an {@link IOException} if it exceeds {@link #MAX_BYTES} or an address is not
     * IPv4.
     */
    byte[] encode() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(out);
        data.writeByte(FORMAT_VERSION);
        data.writeByte(closeAfterResponse ? 1 : 0);
        writeAddress(data, client);
        writeAddress(data, engine);
        data.writeUTF(requestClass);
        data.writeUTF(requestId);
        if (out.size() > MAX_BYTES) throw new IOException("stream description is too long: " + out.size() + " bytes");
        return out.toByteArray();
    }

    private static void writeAddress(DataOutputStream data, InetSocketAddress socketAddress) throws IOException {
        byte[] address = socketAddress.getAddress().getAddress();
        if (address.length != ADDRESS_BYTES) throw new IOException("not an IPv4 address: " + socketAddress);
        data.write(address);
        data.writeShort(socketAddress.getPort());
    }

    /** Decodes the output of {@link #encode}; anything else is an error. */
    static MigratedStream decode(byte[] bytes) throws IOException {
        DataInputStream data = new DataInputStream(new ByteArrayInputStream(bytes));
        int version = data.readUnsignedByte();
        int closeFlag = data.readUnsignedByte();
        if (version != FORMAT_VERSION || closeFlag > 1)
            throw new IOException("unsupported format version or close flag: " + version + ", " + closeFlag);
        InetSocketAddress client = readAddress(data);
        InetSocketAddress engine = readAddress(data);
        MigratedStream stream = new MigratedStream(data.readUTF(), data.readUTF(), closeFlag == 1, client, engine);
        if (data.available() > 0) throw new IOException("trailing bytes after the stream description");
        return stream;
    }

    private static InetSocketAddress readAddress(DataInputStream data) throws IOException {
        InetAddress address = InetAddress.getByAddress(data.readNBytes(ADDRESS_BYTES));
        return new InetSocketAddress(address, data.readUnsignedShort());
    }
}
