package maplerail.migration;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The requests that each process of a gateway may execute, in a file that all of them map into memory: a ring of entries, each a claim or its
 * withdrawal. A process takes the next place by an atomic addition, writes its entry and publishes it, so that whoever reads
 * later sees it, without any message that could be late. Ids are compared by 128 bits of their SHA-256.
 *
 * <pre>
 * header: i64 number of entries ever begun; entry: i64 number + 1 once it is published, i64 and i64 fingerprint,
 * i64 process with the lowest bit set for a withdrawal; all in the machine's byte order
 * </pre>
 */
public final class SharedExecutionLog {
    private static final VarHandle LONG = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());
    private static final String FILE_NAME = "maplerail-executions-1";
    private static final int CAPACITY = 16_384; // entries
    private static final int HEADER_BYTES = 64;
    private static final int ENTRY_BYTES = 4 * Long.BYTES;
    private static final long WITHDRAWN = 1;
    /** For an entry that another process is just writing; one that died meanwhile never publishes it. */
    private static final long MAX_WAIT_NANOS = 1_000_000;

    private final ByteBuffer ring;
    private final long process;
    private final MessageDigest digest;
    private final Map<Fingerprint, Set<Long>> claimedElsewhere = new LinkedHashMap<>(); // to the processes
    private long readEntries;

    private record Fingerprint(long high, long low) {}

    private SharedExecutionLog(ByteBuffer ring, long process, MessageDigest digest) {
        this.ring = ring;
        this.process = process;
        this.digest = digest;
    }

    /**
     * Opens the log in a folder that all processes of the gateway have; it is not made to last a crash of the machine.
     *
     * @throws IOException if the file can't be created or mapped
     */
    public static SharedExecutionLog open(Path folder) throws IOException {
        int bytes = HEADER_BYTES + CAPACITY * ENTRY_BYTES;
        try (FileChannel file = FileChannel.open(
                folder.resolve(FILE_NAME),
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            ByteBuffer ring = file.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
            long process = new SecureRandom().nextLong() & ~WITHDRAWN;
            return new SharedExecutionLog(ring, process, MessageDigest.getInstance("SHA-256"));
        } catch (NoSuchAlgorithmException e) {
            throw new IOException("no SHA-256", e);
        }
    }

    /** Claims a request that is about to be executed; false if another process has claimed it before. */
    public boolean claim(String requestId) {
        Fingerprint fingerprint = fingerprint(requestId);
        long number = append(fingerprint, process);
        readUpTo(number);
        if (!claimedElsewhere.containsKey(fingerprint)) return true;
        append(fingerprint, process | WITHDRAWN);
        return false;
    }

    /** Withdraws this process's claim. */
    public void clear(String requestId) {
        append(fingerprint(requestId), process | WITHDRAWN);
    }

    /** True if another process has claimed a request and not withdrawn that. */
    public boolean isClaimedElsewhere(String requestId) {
        readUpTo((long) LONG.getVolatile(ring, 0));
        return claimedElsewhere.containsKey(fingerprint(requestId));
    }

    private long append(Fingerprint fingerprint, long processAndKind) {
        long number = (long) LONG.getAndAdd(ring, 0, 1L);
        int at = offset(number);
        LONG.setVolatile(ring, at, 0L);
        LONG.set(ring, at + Long.BYTES, fingerprint.high());
        LONG.set(ring, at + 2 * Long.BYTES, fingerprint.low());
        LONG.set(ring, at + 3 * Long.BYTES, processAndKind);
        LONG.setRelease(ring, at, number + 1);
        return number;
    }

    private static int offset(long number) {
        return HEADER_BYTES + (int) Math.floorMod(number, (long) CAPACITY) * ENTRY_BYTES;
    }

    private void readUpTo(long end) {
        readEntries = Math.max(readEntries, end - CAPACITY);
        for (; readEntries < end; readEntries++) {
            if (isPublished(readEntries)) readEntry(readEntries);
        }
    }

    private boolean isPublished(long number) {
        int at = offset(number);
        long startNanos = System.nanoTime();
        while ((long) LONG.getAcquire(ring, at) != number + 1) {
            if (System.nanoTime() - startNanos > MAX_WAIT_NANOS) return false;
            Thread.onSpinWait();
        }
        return true;
    }

    private void readEntry(long number) {
        int at = offset(number);
        long writer = (long) LONG.get(ring, at + 3 * Long.BYTES);
        if ((writer & ~WITHDRAWN) == process) return;
        Fingerprint fingerprint =
                new Fingerprint((long) LONG.get(ring, at + Long.BYTES), (long) LONG.get(ring, at + 2 * Long.BYTES));
        if ((writer & WITHDRAWN) == 0) addClaim(fingerprint, writer);
        else removeClaim(fingerprint, writer & ~WITHDRAWN);
    }

    private void addClaim(Fingerprint fingerprint, long claimant) {
        claimedElsewhere
                .computeIfAbsent(fingerprint, unused -> new HashSet<>(1))
                .add(claimant);
        if (claimedElsewhere.size() > CAPACITY)
            claimedElsewhere.remove(claimedElsewhere.keySet().iterator().next());
    }

    private void removeClaim(Fingerprint fingerprint, long claimant) {
        Set<Long> claimants = claimedElsewhere.getOrDefault(fingerprint, Set.of());
        if (claimants.equals(Set.of(claimant))) claimedElsewhere.remove(fingerprint);
        else if (claimants.size() > 1) claimants.remove(claimant);
    }

    private Fingerprint fingerprint(String requestId) {
        ByteBuffer hash = ByteBuffer.wrap(digest.digest(requestId.getBytes(StandardCharsets.UTF_8)));
        return new Fingerprint(hash.getLong(), hash.getLong());
    }
}
