package maplerail.rpc;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.NavigableMap;

/**
 * Splits a list into pages. A cursor encodes the last name of a page, not a position: entries that are added or removed
 * between two pages don't cause others to be repeated or skipped.
 */
public final class Pagination {
    private Pagination() {}

    /** The names on a page, and the cursor of the next page; null if there is none. */
    public record Page(List<String> names, String nextCursor) {}

    /** The first page if the cursor is null, otherwise the page that it refers to; null if the cursor is invalid. */
    public static Page page(NavigableMap<String, ?> all, String cursor, int pageSize) {
        String lastName = cursor == null ? null : decodeCursor(cursor);
        if (cursor != null && lastName == null) return null;
        List<String> remaining = List.copyOf(
                lastName == null ? all.keySet() : all.tailMap(lastName, false).keySet());
        boolean more = remaining.size() > pageSize;
        List<String> names = more ? remaining.subList(0, pageSize) : remaining;
        return new Page(names, more ? encodeCursor(names.get(pageSize - 1)) : null);
    }

    private static String encodeCursor(String name) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(name.getBytes(StandardCharsets.UTF_8));
    }

    private static String decodeCursor(String cursor) {
        try {
            String name = new String(Base64.getUrlDecoder().decode(cursor), StandardCharsets.UTF_8);
            return encodeCursor(name).equals(cursor) && !name.isEmpty() ? name : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
