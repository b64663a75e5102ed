package maplerail.core;

/** Says of a release, whenever it would be sent again, whether that harms nothing, and is told what becomes of it. */
public interface ReleaseControl {
    /** True while a release would harm nothing; it undoes reads and takes away what is held, at whichever engine it arrives. */
    boolean maySend();

    /** True for an engine that left an attempt of the request unanswered: others are asked before it. */
    boolean isUnresponsive(long engine);

    /** On which connection the first call is made. */
    default ConnectionChoice connection() {
        return ConnectionChoice.ANY;
    }

    /** An engine has answered for the first time: what was held anywhere is released. */
    default void onReleased() {}

    /** The holder itself has answered: it runs, and no read that it had ended before has left anything. */
    default void onHolderResponded() {}

    /** The release is over; {@code holderAnswered} if that is why. */
    default void onEnded(boolean holderAnswered) {}
}
