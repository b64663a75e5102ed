package maplerail.support;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * How long states and places were held for requests, by the clock of the engines alone: a state from the end of a read, a
 * place from the time when a writer keeps it, while no attempt of the request runs at any engine, until a writer takes the
 * request or a release reaches an engine that runs. The end of any attempt starts the time anew, as in rule 5 of the wire.
 */
public final class StateLedger {
    private final Map<String, Entry> entries = new HashMap<>();
    private int placesKept;

    private static final class Entry {
        private int running;
        private int states;
        private boolean place;
        private double attemptEndedMs = Double.NEGATIVE_INFINITY;
        private double stateLeftMs;
        private double placeKeptMs;
        private double longestStateMs;
        private double longestPlaceMs;

        private void noteHeld(double nowMs) {
            if (running > 0) return;
            if (states > 0) longestStateMs = Math.max(longestStateMs, nowMs - Math.max(attemptEndedMs, stateLeftMs));
            if (place) longestPlaceMs = Math.max(longestPlaceMs, nowMs - Math.max(attemptEndedMs, placeKeptMs));
        }

        private void letGo() {
            states = 0;
            place = false;
        }
    }

    /** The entry of a request, with what was held until now noted. */
    private Entry entry(String id) {
        Entry entry = entries.computeIfAbsent(id, unused -> new Entry());
        entry.noteHeld(KeptConnection.nowMs());
        return entry;
    }

    /** The last byte of an attempt has arrived at an engine that runs. */
    public synchronized void attemptBegins(String id) {
        entry(id).running++;
    }

    /** An attempt has ended, or its connection was closed. */
    public synchronized void attemptEnds(String id) {
        Entry entry = entry(id);
        entry.running--;
        entry.attemptEndedMs = KeptConnection.nowMs();
    }

    /** A read has ended that was not undone meanwhile: its state waits from now on. */
    public synchronized void stateLeft(String id) {
        Entry entry = entry(id);
        if (entry.states == 0) entry.stateLeftMs = KeptConnection.nowMs();
        entry.states++;
    }

    /** A writer that was asked keeps a place; one that is held already keeps its time. */
    public synchronized void placeKept(String id) {
        Entry entry = entry(id);
        placesKept++;
        if (entry.place) return;
        entry.place = true;
        entry.placeKeptMs = KeptConnection.nowMs();
    }

    /** A write that has arrived takes state and place; false if there is no state, when it takes nothing. */
    public synchronized boolean take(String id) {
        Entry entry = entry(id);
        boolean held = entry.states > 0;
        if (held) entry.letGo();
        return held;
    }

    /** A release has arrived at an engine that runs. */
    public synchronized void release(String id) {
        entry(id).letGo();
    }

    /** Requests of which anything was ever seen. */
    public synchronized int size() {
        return entries.size();
    }

    /** The number of places that writers have kept. */
    public synchronized int placesKept() {
        return placesKept;
    }

    /** The longest time for which a state or a place was held, of each request for which that is above a limit. */
    public synchronized Map<String, Long> heldLongerThan(double limitMs) {
        return heldLongerThan(limitMs, Double.NaN);
    }

    /** The same; what is held still counts up to {@code untilMs} at most, unless that is NaN. */
    public synchronized Map<String, Long> heldLongerThan(double limitMs, double untilMs) {
        double nowMs = KeptConnection.nowMs();
        double lastMs = Double.isNaN(untilMs) ? nowMs : Math.min(nowMs, untilMs);
        return above(lastMs, limitMs, entry -> Math.max(entry.longestStateMs, entry.longestPlaceMs));
    }

    private Map<String, Long> above(double lastMs, double limitMs, ToDoubleFunction<Entry> longestMs) {
        Map<String, Long> late = new TreeMap<>();
        entries.forEach((id, entry) -> {
            entry.noteHeld(lastMs);
            double heldMs = longestMs.applyAsDouble(entry);
            if (heldMs > limitMs) late.put(id, Math.round(heldMs));
        });
        return late;
    }
}
