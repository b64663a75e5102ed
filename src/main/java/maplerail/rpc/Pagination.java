package maplerail.rpc;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.NavigableMap;

/**
 * A list told in pages. A cursor stands for the last name told, not for a place: what is added or taken away between two
 * pages makes no other entry come twice or not at all.
 */
public final class Pagination {
    private Pagination() {}

    /** The entries of a page, and the cursor of the next; null where there is none. */
    public record Page(List<String> names, String nextCursor) {}

    /** The first page, for a cursor of null, or the one that a cursor stands for; null for a cursor that is none. */
    public static Page page(NavigableMap<String, ?> all, String cursor, int most) {
        String last = cursor == null ? null : name(cursor);
        if (cursor != null && last == null) return null;
        List<String> left = List.copyOf(
                last == null ? all.keySet() : all.tailMap(last, false).keySet());
        boolean more = left.size() > most;
        List<String> names = more ? left.subList(0, most) : left;
        return new Page(names, more ? cursor(names.get(most - 1)) : null);
    }

    private static String cursor(String name) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(name.getBytes(StandardCharsets.UTF_8));
    }

    private static String name(String cursor) {
        try {
            String name = new String(Base64.getUrlDecoder().decode(cursor), StandardCharsets.UTF_8);
            return cursor(name).equals(cursor) && !name.isEmpty() ? name : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
