package maplerail.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Last stage: the books. One final answer for each request, and nothing left held for it anywhere. */
final class Book {
    private static final double AGAIN_MS = 120; // after which an engine has surely seen a connection end
    private static final double JUST_CUT_MS = 150;

    private final Engines engines;
    private final Loop loop;
    private final Admit admit;
    private final double pinLimitMs;
    private final Map<Long, Entry> entries = new HashMap<>();
    private final Map<Long, Runnable> closers = new HashMap<>();
    private int unanswered;

    Book(Engines engines, Loop loop, Admit admit, double pinLimitMs) {
        this.engines = engines;
        this.loop = loop;
        this.admit = admit;
        this.pinLimitMs = pinLimitMs;
    }

    void open(Entry entry, Runnable closer) {
        entries.put(entry.number, entry);
        closers.put(entry.number, closer);
        unanswered++;
    }

    Entry find(long number) {
        return entries.get(number);
    }

    List<Entry> all() {
        return List.copyOf(entries.values());
    }

    int unanswered() {
        return unanswered;
    }

    int size() {
        return entries.size();
    }

    /** True the first time only: whoever gets true gives the final answer, or knows that nobody wants one. */
    boolean answer(Entry entry) {
        if (entry.answered) return false;
        entry.answered = true;
        unanswered--;
        if (entry.guard != null) entry.guard.cancel();
        if (entry.admitted) admit.left(entry.ask);
        return true;
    }

    /** Lets go of what may be held; what an attempt still waits for stays. */
    void release(Entry entry) {
        if (entry.anyOut() && !entry.answered) return;
        for (long engine : List.copyOf(entry.mayHold)) {
            if (!entry.outAt(engine)) letGo(entry, engine);
        }
    }

    private void letGo(Entry entry, long engine) {
        entry.mayHold.remove(engine);
        entry.holds.remove(engine);
        double until = loop.nowMs() + pinLimitMs;
        engines.release(engine, entry.ask.id(), until);
        // Guards against a release that overtakes the end of a connection: the engine would pass it over.
        if (loop.nowMs() - entry.lastCutMs < JUST_CUT_MS) {
            loop.at(loop.nowMs() + AGAIN_MS, () -> {
                boolean inUse = entry.outAt(engine) || entry.holds.contains(engine) || entry.winner != null;
                if (entry.answered || !inUse) engines.release(engine, entry.ask.id(), until);
            });
        }
    }

    /** After each end of an attempt: leftovers of cut reads go, and a page that is done is closed. */
    void settle(Entry entry) {
        if (entry.anyOut()) return;
        if (entry.answered || entry.holds.isEmpty()) release(entry);
        if (entry.answered && entries.remove(entry.number) != null) closers.remove(entry.number).run();
    }
}
