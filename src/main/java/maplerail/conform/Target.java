package maplerail.conform;

/** What is tried: where it is, which team asks, and a tool that may be called as often as one likes. */
public record Target(String address, String path, String team, String tool, long waitMs) {}
