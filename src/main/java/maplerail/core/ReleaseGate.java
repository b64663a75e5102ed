package maplerail.core;

/** Says of a release, whenever it would be sent again, whether that is of use and harms nothing. */
public interface ReleaseGate {
    /** True while no read of the request is on its way: a release would undo it, at whichever engine it arrives. */
    boolean isOpen();

    /** True while other engines may be asked: they would release whatever is held for the request, a later state too. */
    boolean mayAskOthers();

    /** True for an engine that left an attempt of the request unanswered: others are asked before it. */
    boolean isSuspect(long engine);
}
