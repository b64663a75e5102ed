package maplerail.support;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A WebSocket client that writes each frame as a test wants it, also half or wrong ones (RFC 6455, section 5.2). */
public final class RawWebSocket implements java.io.Closeable {
    /** The opcodes of frames. */
    public static final int CONTINUATION = 0;

    public static final int TEXT = 1;
    public static final int BINARY = 2;
    public static final int CLOSE = 8;
    public static final int PING = 9;
    public static final int PONG = 10;

    private static final int TIMEOUT_MS = 20_000;
    private static final int FINAL = 0x80;
    private static final int MASKED = 0x80;
    private static final byte[] MASK = {0x11, 0x22, 0x33, 0x44};

    private final Socket socket;
    private final DataInputStream in;

    /** A frame from the server; a text's content, or a close frame's status. */
    public record Frame(int opcode, String text, int closeCode) {
        public boolean isClose() {
            return opcode == CLOSE;
        }
    }

    public RawWebSocket(InetSocketAddress address, String team) throws IOException {
        this(address, team, new byte[0]);
    }

    /** Connects, and sends bytes in one write with the handshake. */
    public RawWebSocket(InetSocketAddress address, String team, byte[] behindHandshake) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        in = new DataInputStream(socket.getInputStream());
        send(
                ("GET /rpc HTTP/1.1\r\nHost: x\r\nReq-Owner: " + team
                                + "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                                + "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII),
                behindHandshake);
        String head = "";
        while (!head.endsWith("\r\n\r\n")) head += (char) in.readUnsignedByte();
        if (!head.startsWith("HTTP/1.1 101")) throw new IOException(head);
    }

    /** Sends bytes in one write. */
    public void send(byte[]... parts) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) all.writeBytes(part);
        socket.getOutputStream().write(all.toByteArray());
    }

    /** Sends a message in one frame. */
    public void sendText(String text) throws IOException {
        send(frame(TEXT, true, text));
    }

    public static byte[] text(String text) {
        return frame(TEXT, true, text);
    }

    public static byte[] frame(int opcode, boolean isFinal, String payload) {
        return frame(opcode, isFinal, payload.getBytes(StandardCharsets.UTF_8));
    }

    public static byte[] frame(int opcode, boolean isFinal, byte[] data) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head(opcode, isFinal, data.length));
        for (int i = 0; i < data.length; i++) out.write(data[i] ^ MASK[i % MASK.length]);
        return out.toByteArray();
    }

    /** The head of a frame whose payload has a length. */
    public static byte[] head(int opcode, boolean isFinal, long length) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write((isFinal ? FINAL : 0) | opcode);
        if (length >= 0 && length < 126) {
            out.write(MASKED | (int) length);
        } else if (length >= 0 && length < 65_536) {
            out.write(MASKED | 126);
            for (int shift = 8; shift >= 0; shift -= 8) out.write((int) (length >> shift));
        } else {
            out.write(MASKED | 127);
            for (int shift = 56; shift >= 0; shift -= 8) out.write((int) (length >> shift));
        }
        out.writeBytes(MASK);
        return out.toByteArray();
    }

    /** The next frame; null if the connection has ended. */
    public Frame receive() throws IOException {
        try {
            int opcode = in.readUnsignedByte() & 0xf;
            long length = in.readUnsignedByte();
            if (length == 126) length = in.readUnsignedShort();
            else if (length == 127) length = in.readLong();
            byte[] data = in.readNBytes((int) length);
            int code = opcode == CLOSE && length >= 2 ? (data[0] & 0xff) << 8 | data[1] & 0xff : 0;
            return new Frame(opcode, new String(data, StandardCharsets.UTF_8), code);
        } catch (EOFException | java.net.SocketException e) {
            return null;
        }
    }

    /** The text of the next message, past control frames; null if a close frame or the connection's end comes first. */
    public String receiveText() throws IOException {
        Frame frame = receive();
        while (frame != null && (frame.opcode() == PING || frame.opcode() == PONG)) frame = receive();
        return frame == null || frame.isClose() ? null : frame.text();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
