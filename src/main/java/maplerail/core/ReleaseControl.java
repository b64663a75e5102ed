package maplerail.core;

/** Controls the calls of a release: decides when a call may be sent, and is notified of the responses. */
public interface ReleaseControl {
    /**
     * True while a release is safe to send. A release cancels reads of the request and frees its state, whichever
     * engine receives it.
     */
    boolean maySend();

    /** True for an engine that has not responded to an attempt of the request; other engines are preferred to it. */
    boolean isUnresponsive(long engine);

    /** The connection on which the first call is sent. */
    default ConnectionChoice connection() {
        return ConnectionChoice.ANY;
    }

    /** The first engine has responded: the state has been released at all engines. */
    default void onReleased() {}

    /** The holder itself has responded: it is running, and no read that it had ended before has left a state. */
    default void onHolderResponded() {}

    /** The release has finished; {@code holderResponded} if because the holder has responded. */
    default void onEnded(boolean holderResponded) {}
}
