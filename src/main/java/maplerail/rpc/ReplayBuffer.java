package maplerail.rpc;

import java.util.ArrayDeque;
import java.util.List;

/**
 * The last messages of one stream, numbered from 1, for a client that lost its connection and comes again: each is
 * told once and in order, or it is said plainly that some are gone. Bounded by count and by size.
 */
public final class ReplayBuffer {
    private final int mostMessages;
    private final int mostChars;
    private final Budget budget;
    private final ArrayDeque<Message> kept = new ArrayDeque<>();
    private long lastNumber;
    private int bufferedChars;

    /** A message and its number. */
    public record Message(long number, String text) {}

    /** What all streams of a front may keep together, in characters. */
    public static final class Budget {
        private final int mostChars;
        private int usedChars;

        /** A budget of so many. */
        public Budget(int mostChars) {
            this.mostChars = mostChars;
        }

        /** What is kept now. */
        public int usedChars() {
            return usedChars;
        }
    }

    /** Keeps at most so many messages and characters, and less while the budget is spent; the newest always. */
    public ReplayBuffer(int mostMessages, int mostChars, Budget budget) {
        this.mostMessages = mostMessages;
        this.mostChars = mostChars;
        this.budget = budget;
    }

    /** Keeps a message, and lets go of the oldest for it where there is no room. */
    public Message add(String text) {
        Message message = new Message(++lastNumber, text);
        kept.addLast(message);
        count(text.length());
        while (kept.size() > 1
                && (kept.size() > mostMessages || bufferedChars > mostChars || budget.usedChars > budget.mostChars)) {
            count(-kept.pollFirst().text().length());
        }
        return message;
    }

    private void count(int more) {
        bufferedChars += more;
        budget.usedChars += more;
    }

    /** Lets go of everything: the stream's client will not come again. */
    public void clear() {
        kept.clear();
        count(-bufferedChars);
    }

    /** The number of the newest message; 0 before the first. */
    public long lastNumber() {
        return lastNumber;
    }

    /**
     * What a client has missed that has seen everything up to a number; null if some of it is no longer kept, or if
     * the number was never given.
     */
    public List<Message> messagesAfter(long seen) {
        if (seen < 0 || seen > lastNumber) return null;
        long oldest = kept.isEmpty() ? lastNumber + 1 : kept.peekFirst().number();
        if (seen + 1 < oldest) return null;
        return kept.stream().filter(message -> message.number() > seen).toList();
    }

    /** Characters kept. */
    public int bufferedChars() {
        return bufferedChars;
    }
}
