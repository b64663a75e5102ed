package maplerail.net;

import maplerail.core.RequestPayload;

/**
 * A tool call: the message for the tool server, the most bytes that its reply may hold, and how long a server that
 * tells its progress may be silent.
 */
public record ToolCallPayload(String path, byte[] message, int maxResponseBytes, double stallMs)
        implements RequestPayload {}
