package maplerail.front;

import java.util.OptionalDouble;

/** The component that took over an upgraded connection, as far as the connection's idle time is concerned. */
public interface UpgradedHandler {
    /**
     * The time since which nothing has arrived and no request has been open, in milliseconds; empty while the connection is in
     * use or closing.
     */
    OptionalDouble idleSinceMs();

    /** Begins to close the connection, unless input that is available shows that it is in use; false in that case. */
    boolean closeIfIdle(String reason);
}
