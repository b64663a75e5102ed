package maplerail.core;

/** Selects the connection on which an attempt or call is sent. */
public enum ConnectionChoice {
    /** An open idle connection, if there is one. */
    ANY,
    /** A new connection, as open ones may be dead without an error. */
    NEW
}
