package maplerail.net;

import maplerail.core.Cargo;

/** A tool call: the message for the tool server, and the most bytes that its reply may hold. */
public record ToolCargo(String path, byte[] message, int mostReply) implements Cargo { }
