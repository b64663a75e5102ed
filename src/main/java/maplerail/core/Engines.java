package maplerail.core;

import java.util.Set;
import java.util.function.BooleanSupplier;
import maplerail.routing.AttemptOutcome;

/** The port through which attempts go out. It must never make an attempt twice on its own. */
public interface Engines {
    /** Makes one attempt. The answer hears exactly one {@code ended}, never before this call returns. */
    Sending send(long engine, Ask ask, double untilMs, Answer answer);

    /**
     * Lets go of what is held for a request, trying again up to a time. The call goes to the engine that may hold it,
     * and where that can't be heard also to some of the others, for as long as {@code elsewhere} allows: on the platform
     * any of them lets go of everything, of what has come to be held since as well.
     */
    void release(long engine, Set<Long> others, String id, double untilMs, BooleanSupplier elsewhere);

    /** An attempt on its way. */
    interface Sending {
        /** True while not a byte of it has gone out. */
        boolean unsent();

        /** Gives it up: nothing is heard of it any more. */
        void abort();

        /** Takes in what has come of the answer already, before its turn on the loop. */
        default void poll() {}

        /** Stops taking the answer's events. */
        void pause();

        /** Takes them again. */
        void resume();

        /** True between two events of a streaming answer, when {@link #handOn} can be. */
        default boolean between() {
            return false;
        }

        /** Gives up the engine's connection, for another process to go on with it; only where {@link #between} is true. */
        default Object handOn() {
            throw new IllegalStateException("not between two events");
        }
    }

    /** What comes back. */
    interface Answer {
        /** False if nobody wants the attempt any more; asked before one that had to wait goes out. */
        default boolean wanted() {
            return true;
        }

        /** The attempt has gone out whole; told once, and perhaps before {@code send} has returned. */
        void written();

        /** A piece of a streaming answer. */
        void event(byte[] event);

        /** The end: the engine says that the request itself is wrong. Another would say so too. */
        void unfit();

        /** The end; {@code kept} is the part of the prompt that needed no reading. */
        void ended(AttemptOutcome outcome, double kept);
    }
}
