package maplerail.core;

import java.util.HashMap;
import java.util.Map;

/** First stage: gives each request its number and a page in the book. */
final class TakeIn {
    private final Loop loop;
    private final Book book;
    private final Map<String, Entry> open = new HashMap<>();
    private long last;

    TakeIn(Loop loop, Book book) {
        this.loop = loop;
        this.book = book;
    }

    /** The page, or null for an id that is open already: two of one id could not be told apart by engines. */
    Entry take(Ask ask, Caller caller, Terms terms, double latestMs) {
        if (open.containsKey(ask.id())) return null;
        Entry entry = new Entry(++last, ask, caller, Math.min(loop.nowMs() + ask.budgetMs(), latestMs), terms);
        open.put(ask.id(), entry);
        book.open(entry, () -> open.remove(ask.id()));
        return entry;
    }
}
