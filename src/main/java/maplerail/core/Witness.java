package maplerail.core;

import maplerail.routing.AttemptOutcome;

/** Hears how attempts ended at engines, for what gateways tell each other; called on the loop. */
public interface Witness {
    /** A read ended well: it took {@code spentMs} from its send to its end and read {@code tokens} of its prompt uncached. */
    void read(long engine, double spentMs, double tokens);

    /** An engine, or the connection to it, ended an attempt so; what was cut off from here (a timeout, a cancel) is not told. */
    void ended(long engine, AttemptOutcome outcome);
}
