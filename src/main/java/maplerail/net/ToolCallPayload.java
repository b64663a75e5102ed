package maplerail.net;

import maplerail.core.RequestPayload;

/**
 * A tool call: the message for the tool server, the maximum size of the response, and how long a server that reports
 * progress may be silent, in milliseconds.
 */
public record ToolCallPayload(String path, byte[] message, int maxResponseBytes, double stallTimeoutMs)
        implements RequestPayload {
    @Override
    public double stallTimeoutMs() {
        return stallTimeoutMs;
    }
}
