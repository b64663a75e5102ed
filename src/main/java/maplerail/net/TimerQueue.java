package maplerail.net;

import java.util.Comparator;
import java.util.OptionalDouble;
import java.util.TreeSet;

/** The timers of an event loop, ordered by the time when they are due, then by the order in which they were added. */
final class TimerQueue {
    private static final Comparator<Entry> ORDER =
            Comparator.<Entry>comparingDouble(entry -> entry.dueMs).thenComparingLong(entry -> entry.number);

    private final TreeSet<Entry> entries = new TreeSet<>(ORDER);
    private long lastNumber;

    /** One timer. */
    static final class Entry {
        private final double dueMs;
        private final long number;
        private final Runnable task;

        private Entry(double dueMs, long number, Runnable task) {
            this.dueMs = dueMs;
            this.number = number;
            this.task = task;
        }

        double dueMs() {
            return dueMs;
        }

        Runnable task() {
            return task;
        }
    }

    /** Adds a timer that is due at a time in milliseconds. */
    Entry add(double dueMs, Runnable task) {
        Entry entry = new Entry(dueMs, ++lastNumber, task);
        entries.add(entry);
        return entry;
    }

    /** Removes a timer; does nothing if it is not there any more. */
    void remove(Entry entry) {
        entries.remove(entry);
    }

    /** When the first timer is due; empty if there is none. */
    OptionalDouble firstDueMs() {
        return entries.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(entries.first().dueMs);
    }

    /** Removes and returns the first timer if it was due by {@code untilMs}, otherwise null. */
    Entry pollDue(double untilMs) {
        if (entries.isEmpty() || entries.first().dueMs > untilMs) return null;
        return entries.pollFirst();
    }
}
