package maplerail.server;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.lang.reflect.Method;
import java.nio.channels.ServerSocketChannel;
import maplerail.config.ConfigException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The clients' listening socket that the process got as descriptor 0. Whoever started the process keeps it, and other
 * processes serve it as well.
 */
final class InheritedSocket {
    private static final Logger LOG = LoggerFactory.getLogger(InheritedSocket.class);
    private static final int STANDARD_ERROR = 2;

    private InheritedSocket() {}

    /**
     * Returns the socket, and keeps standard error usable after the socket's close.
     *
     * @throws ConfigException if descriptor 0 is no listening socket
     */
    static ServerSocketChannel open() throws java.io.IOException {
        if (!(System.inheritedChannel() instanceof ServerSocketChannel socket))
            throw new ConfigException("RELAY_INHERITED_FD: descriptor 0 is no listening socket");
        keepStandardError();
        return socket;
    }

    /**
     * Moves the log to a duplicate of standard error. With the inherited channel, the JDK closes the standard streams too
     * (sun.nio.ch.InheritedChannel), so that the log of a drain would be lost.
     */
    private static void keepStandardError() {
        try {
            Method duplicate = Class.forName("sun.nio.ch.InheritedChannel").getDeclaredMethod("dup", int.class);
            duplicate.setAccessible(true);
            Method descriptorOf = Class.forName("sun.nio.ch.IOUtil").getMethod("newFD", int.class);
            descriptorOf.setAccessible(true);
            FileDescriptor descriptor =
                    (FileDescriptor) descriptorOf.invoke(null, duplicate.invoke(null, STANDARD_ERROR));
            System.setErr(new PrintStream(new FileOutputStream(descriptor), true));
        } catch (ReflectiveOperationException | RuntimeException e) {
            LOG.warn("the log ends when the listening socket is closed error={}", e.toString());
        }
    }
}
