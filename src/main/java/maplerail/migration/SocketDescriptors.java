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
 * The descriptor of a channel, and a channel of a descriptor. The JDK's own classes do both for inherited channels and
 * show neither; the program's manifest opens their package ({@code Add-Opens: java.base/sun.nio.ch}). Where they are not
 * as expected an {@link IOException} says so, and nothing is handed on.
 */
final class SocketDescriptors {
    private SocketDescriptors() {}

    static FileDescriptor of(SocketChannel channel) throws IOException {
        try {
            var method = Class.forName("sun.nio.ch.SelChImpl").getMethod("getFD");
            method.setAccessible(true);
            return (FileDescriptor) method.invoke(channel);
        } catch (ReflectiveOperationException | RuntimeException e) {
            throw new IOException("no descriptor of " + channel, e);
        }
    }

    static SocketChannel channel(FileDescriptor descriptor, InetSocketAddress peer) throws IOException {
        try {
            Constructor<?> made = Class.forName("sun.nio.ch.SocketChannelImpl")
                    .getDeclaredConstructor(
                            SelectorProvider.class, ProtocolFamily.class, FileDescriptor.class, SocketAddress.class);
            made.setAccessible(true);
            return (SocketChannel)
                    made.newInstance(SelectorProvider.provider(), StandardProtocolFamily.INET, descriptor, peer);
        } catch (ReflectiveOperationException | RuntimeException e) {
            throw new IOException("no channel of a descriptor that was handed over", e);
        }
    }
}
