package maplerail.migration;

import java.io.FileDescriptor;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.net.InetSocketAddress;
import java.net.ProtocolFamily;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;

/**
 * Gets the file descriptor of a channel, and creates a channel for a descriptor. The JDK does both internally for
 * inherited channels but has no public API for them; the program's manifest opens the package ({@code Add-Opens:
 * java.base/sun.nio.ch}). If the JDK's classes are not as expected, an {@link IOException} is thrown and no stream is
 * migrated.
 */
final class SocketDescriptors {
    private SocketDescriptors() {}

    static FileDescriptor descriptorOf(SocketChannel channel) throws IOException {
        try {
            var method = Class.forName("sun.nio.ch.SelChImpl").getMethod("getFD");
            method.setAccessible(true);
            return (FileDescriptor) method.invoke(channel);
        } catch (ReflectiveOperationException | RuntimeException e) {
            throw new IOException("cannot get the file descriptor of " + channel, e);
        }
    }

    static SocketChannel channelOf(FileDescriptor descriptor, InetSocketAddress peer) throws IOException {
        try {
            Constructor<?> constructor = Class.forName("sun.nio.ch.SocketChannelImpl")
                    .getDeclaredConstructor(
                            SelectorProvider.class, ProtocolFamily.class, FileDescriptor.class, SocketAddress.class);
            constructor.setAccessible(true);
            return (SocketChannel)
                    constructor.newInstance(SelectorProvider.provider(), StandardProtocolFamily.INET, descriptor, peer);
        } catch (ReflectiveOperationException | RuntimeException e) {
            throw new IOException("cannot create a channel for a received file descriptor", e);
        }
    }
}
