package maplerail.core;

/** Hears of each read that ended well at an engine, for what gateways tell each other; called on the loop. */
public interface Witness {
    /** A read took {@code spentMs} from its send to its end and read {@code tokens} of its prompt uncached. */
    void read(long engine, double spentMs, double tokens);
}
