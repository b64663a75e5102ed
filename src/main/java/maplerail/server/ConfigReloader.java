package maplerail.server;

import java.util.Objects;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/** Reads configuration files again while the program runs, for one signal after the other. */
public final class ConfigReloader {
    private static final int MAX_READS = 10; // of a file that goes on changing
    private static final long READ_INTERVAL_NANOS = 30_000_000;

    private final UnaryOperator<String> reader;
    private final Consumer<String> onRejected;

    /**
     * Creates a reloader.
     *
     * @param reader reads the text of a file by its name
     * @param onRejected is told why a file can't be used
     */
    public ConfigReloader(UnaryOperator<String> reader, Consumer<String> onRejected) {
        this.reader = reader;
        this.onRejected = onRejected;
    }

    /** Runs a reload of all files. Two signals are handled in turn, so that the settings of the later one are in force last. */
    public synchronized void run(Runnable reloadAll) {
        reloadAll.run();
    }

    /**
     * Passes a file's text on, or reports why it can't be used. A file that can't be used is read again for as long as it
     * changes, as it may just be being written.
     *
     * @param use takes the text, and throws a {@link RuntimeException} if it can't be used
     */
    public void reload(String file, Consumer<String> use) {
        String previous = null;
        for (int reads = 1; ; reads++) {
            String text = null;
            try {
                text = reader.apply(file);
                use.accept(text);
                return;
            } catch (RuntimeException e) {
                boolean unchanged = reads > 1 && Objects.equals(text, previous);
                if (reads > MAX_READS || unchanged) {
                    onRejected.accept(e.getMessage());
                    return;
                }
            }
            previous = text;
            LockSupport.parkNanos(READ_INTERVAL_NANOS);
        }
    }
}
