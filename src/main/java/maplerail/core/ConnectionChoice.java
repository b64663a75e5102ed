package maplerail.core;

/** Which connection an attempt is sent on. */
public enum ConnectionChoice {
    /** One that is open and idle, if there is any. */
    ANY,
    /** A new one: those that are open may have fallen silent. */
    NEW
}
