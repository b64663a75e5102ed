package maplerail.handover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The file through which a process that leaves tells the one that serves on what it knows: written beside its place and
 * moved there whole, taken once. Its calls wait for the disk, so they belong on a thread that may.
 */
public final class Handover {
    private static final Logger LOG = LoggerFactory.getLogger(Handover.class);
    private static final long MOST_BYTES = 4L << 20;

    private final Path file;
    private final Path own;

    /** The file's place in a folder that both processes have. */
    public Handover(Path folder, long process) {
        file = folder.resolve("maplerail-handover.json");
        own = folder.resolve("maplerail-handover-" + process + ".tmp");
    }

    /** Leaves a text for the next process; one that can't be left is only missed. */
    public void leave(String text) {
        try {
            Files.writeString(own, text);
            Files.move(own, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warn("nothing is handed over: {}", e.toString());
        }
    }

    /** Takes what another process left; null if there is nothing, or nothing that could be notes. */
    public String take() {
        try {
            if (!Files.isRegularFile(file)) return null;
            boolean sane = Files.size(file) <= MOST_BYTES;
            byte[] bytes = sane ? Files.readAllBytes(file) : new byte[0];
            Files.delete(file);
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IOException e) {
            LOG.warn("nothing is taken over: {}", e.toString());
            return null;
        }
    }
}
