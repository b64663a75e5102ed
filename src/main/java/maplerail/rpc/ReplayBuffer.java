package maplerail.rpc;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Buffers the last messages of one stream, numbered from 1, for a client that reconnects: it receives each message once
 * and in order, or an explicit error if some have been dropped. Bounded by count, by size and by what all streams buffer.
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

    /**
     * Limits what all streams of a front may buffer together, in characters. Where it is used up, the streams that were
     * added to the longest ago lose their oldest messages; only the newest message of all is kept whatever its size.
     */
    public static final class Budget {
        private final int maxChars;
        private final Set<ReplayBuffer> byLastUse = new LinkedHashSet<>();
        private int usedChars;

        /** Creates a budget of {@code maxChars} characters. */
        public Budget(int maxChars) {
            this.maxChars = maxChars;
        }

        /** The number of characters buffered now. */
        public int usedChars() {
            return usedChars;
        }

        private boolean isExceeded() {
            return usedChars > maxChars;
        }

        private void onAdded(ReplayBuffer newest) {
            byLastUse.remove(newest);
            byLastUse.add(newest);
            while (isExceeded()) {
                ReplayBuffer oldest = byLastUse.iterator().next();
                if (oldest == newest) return;
                oldest.dropOldest();
                if (oldest.buffered.isEmpty()) byLastUse.remove(oldest);
            }
        }
    }

    /** Creates a buffer with these limits; the newest message is kept until others need its part of the budget. */
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
        while (buffered.size() > 1 && (buffered.size() > maxMessages || bufferedChars > maxChars)) dropOldest();
        budget.onAdded(this);
        while (buffered.size() > 1 && budget.isExceeded()) dropOldest();
        return message;
    }

    private void dropOldest() {
        addChars(-buffered.pollFirst().text().length());
    }

    private void addChars(int delta) {
        bufferedChars += delta;
        budget.usedChars += delta;
    }

    /** Drops all messages: the client will not reconnect. */
    public void clear() {
        buffered.clear();
        addChars(-bufferedChars);
        budget.byLastUse.remove(this);
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
