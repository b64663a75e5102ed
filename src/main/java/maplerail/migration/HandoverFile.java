package maplerail.migration;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The file that contains a {@link HandoverSnapshot}: written to a temporary file, renamed atomically, and read once.
 */
public final class HandoverFile {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverFile.class);
    private static final long MAX_BYTES = 4L << 20;

    private final Path file;
    private final Path temporary;

    /**
     * Sets the paths of the file and its temporary file.
     *
     * @param folder the folder shared by both processes
     * @param processId the id of this process
     */
    public HandoverFile(Path folder, long processId) {
        file = folder.resolve("maplerail-handover.json");
        temporary = folder.resolve("maplerail-handover-" + processId + ".tmp");
    }

    /** Writes a text for the next process; a failure is only logged, as the handover is optional. */
    public void write(String text) {
        try {
            Files.writeString(temporary, text);
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warn("handover not written file={} error={}", file, e.toString());
        }
    }

    /**
     * Reads and deletes the text that another process wrote, if any; for a file that is too large, returns an empty
     * text.
     */
    public Optional<String> readAndDelete() {
        try {
            if (!Files.isRegularFile(file)) return Optional.empty();
            byte[] bytes = Files.size(file) <= MAX_BYTES ? Files.readAllBytes(file) : new byte[0];
            Files.delete(file);
            return Optional.of(new String(bytes, StandardCharsets.UTF_8));
        } catch (IOException e) {
            LOG.warn("handover not taken file={} error={}", file, e.toString());
            return Optional.empty();
        }
    }
}
