package maplerail.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Reads addresses of the form {@code 127.0.0.1:8080}; names are not looked up, as there is no DNS. */
public final class Address {
    private Address() {}

    /** The address that a text holds, or null if it holds none. */
    public static InetSocketAddress parse(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0) return null;
        String host = text.substring(0, colon).replace("[", "").replace("]", "");
        if (!host.matches("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")) return null;
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > 65_535 ? null : new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }

    /** The address under a key of a configuration, which must hold one. */
    public static InetSocketAddress need(Tree value) {
        InetSocketAddress address = parse(value.text());
        if (address == null) throw new ConfigException(value.path() + ": not an address: '" + value.text() + "'");
        return address;
    }
}
