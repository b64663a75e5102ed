package maplerail.core;

/** What is known of the client of a request when an attempt is about to begin. */
public enum ClientPresence {
    /** It has not disconnected. */
    CONNECTED,
    /** It has disconnected, even if that was not reported yet. */
    DISCONNECTED,
    /** So much of its input is unread that its disconnect could not be detected behind it. */
    UNKNOWN
}
