package maplerail.rpc;

import java.util.ArrayDeque;
import java.util.List;

/**
 * Buffers the last messages of one stream, numbered from 1, for a client that reconnects: it receives each message once
 * and in order, or an explicit error if some have been dropped. Bounded by count and by size.
 */
public final class ReplayBuffer {
    private final int maxMessages;
    private final int maxChars;
    private final Budget budget;
    private final ArrayDeque<Message> buffered = new ArrayDeque<>();
    private long lastNumber;
    private int bufferedChars;

    /** A message and its number. */
    public record Message(long number, String text) {}

    /** Limits what all streams of a front may buffer together, in characters. */
    public static final class Budget {
        private final int maxChars;
        private int usedChars;

        /** Creates a budget of {@code maxChars} characters. */
        public Budget(int maxChars) {
            this.maxChars = maxChars;
        }

        /** The number of characters buffered now. */
        public int usedChars() {
            return usedChars;
        }
    }

    /** Creates a buffer with these limits, and less while the budget is used up; the newest message is always kept. */
    public ReplayBuffer(int maxMessages, int maxChars, Budget budget) {
        this.maxMessages = maxMessages;
        this.maxChars = maxChars;
        this.budget = budget;
    }

    /** Buffers a message, and drops the oldest ones as far as the limits require. */
    public Message add(String text) {
        Message message = new Message(++lastNumber, text);
        buffered.addLast(message);
        addChars(text.length());
        while (buffered.size() > 1
                && (buffered.size() > maxMessages || bufferedChars > maxChars || budget.usedChars > budget.maxChars)) {
            addChars(-buffered.pollFirst().text().length());
        }
        return message;
    }

    private void addChars(int delta) {
        bufferedChars += delta;
        budget.usedChars += delta;
    }

    /** Drops all messages: the client will not reconnect. */
    public void clear() {
        buffered.clear();
        addChars(-bufferedChars);
    }

    /** The number of the newest message; 0 before the first. */
    public long lastNumber() {
        return lastNumber;
    }

    /**
     * The messages after the last one that a client has seen; null if some of them were dropped, or if no message with
     * that number was ever added.
     */
    public List<Message> messagesAfter(long lastSeen) {
        if (lastSeen < 0 || lastSeen > lastNumber) return null;
        long oldest = buffered.isEmpty() ? lastNumber + 1 : buffered.peekFirst().number();
        if (lastSeen + 1 < oldest) return null;
        return buffered.stream().filter(message -> message.number() > lastSeen).toList();
    }

    /** The number of characters buffered for this stream. */
    public int bufferedChars() {
        return bufferedChars;
    }
}
