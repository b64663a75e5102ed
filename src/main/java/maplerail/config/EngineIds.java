package maplerail.config;

import java.nio.charset.StandardCharsets;

/** Numbers for names. They derive from the name alone, so that all gateways agree on them. */
public final class EngineIds {
    private EngineIds() {}

    /** An engine's number: 48 bits, never 0. Its address has no part in it: that may differ between gateways. */
    public static long of(String host) {
        return Math.max(1, hash(host) & 0xffff_ffff_ffffL);
    }

    /** The number of a session or a shared beginning: sixteen hex digits as they are, else a hash; 0 for none. */
    public static long key(String text) {
        if (text == null || text.isEmpty()) return 0;
        if (text.length() <= 16 && text.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            return Long.parseUnsignedLong(text, 16);
        }
        return hash(text);
    }

    private static long hash(String text) {
        long h = 0xcbf29ce484222325L; // FNV-1a, then a finaliser that spreads short names over all bits
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) h = (h ^ (b & 0xff)) * 0x100000001b3L;
        h = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }
}
