package maplerail.support;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * How long states were held for requests, by the clock of the engines alone: from the end of a read, while no attempt of the
 * request runs at any engine, until a writer takes the state or a release reaches an engine that runs. The end of any attempt
 * starts the time anew, as in rule 5 of the wire.
 */
public final class StateLedger {
    private final Map<String, Entry> entries = new HashMap<>();

    private static final class Entry {
        private int running;
        private int states;
        private double sinceMs;
        private double longestMs;

        private void noteHeld(double nowMs) {
            if (states > 0 && running == 0) longestMs = Math.max(longestMs, nowMs - sinceMs);
        }
    }

    private Entry entry(String id) {
        return entries.computeIfAbsent(id, unused -> new Entry());
    }

    /** The last byte of an attempt has arrived at an engine that runs. */
    public synchronized void attemptBegins(String id) {
        Entry entry = entry(id);
        entry.noteHeld(KeptConnection.nowMs());
        entry.running++;
    }

    /** An attempt has ended; {@code leavesState} if it was a read that was not undone meanwhile. */
    public synchronized void attemptEnds(String id, boolean leavesState) {
        Entry entry = entry(id);
        entry.running--;
        if (leavesState) entry.states++;
        entry.sinceMs = KeptConnection.nowMs();
    }

    /** A write that has arrived takes the state; false if there is none. */
    public synchronized boolean take(String id) {
        Entry entry = entry(id);
        boolean held = entry.states > 0;
        entry.states = 0;
        return held;
    }

    /** A release has arrived at an engine that runs. */
    public synchronized void release(String id) {
        Entry entry = entry(id);
        entry.noteHeld(KeptConnection.nowMs());
        entry.states = 0;
    }

    /** Requests for which a state was ever held. */
    public synchronized int size() {
        return entries.size();
    }

    /** The longest time for which a state was held, of each request for which that is above a limit. */
    public synchronized Map<String, Long> heldLongerThan(double limitMs) {
        Map<String, Long> late = new TreeMap<>();
        entries.forEach((id, entry) -> {
            entry.noteHeld(KeptConnection.nowMs());
            if (entry.longestMs > limitMs) late.put(id, Math.round(entry.longestMs));
        });
        return late;
    }
}
