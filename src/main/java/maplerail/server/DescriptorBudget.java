package maplerail.server;

import maplerail.front.admin.AdminListener;

/**
 * How the descriptors that a process may have are divided, so that no side starves another.
 *
 * @param total the descriptors in all
 * @param withTools whether tool calls are served
 * @param withAdmin whether operators have an address of their own
 */
record DescriptorBudget(int total, boolean withTools, boolean withAdmin) {
    private static final int PLATFORM_CLIENT_PERCENT = 55;
    private static final int TOOL_CLIENT_PERCENT = 10;
    private static final int TOOL_SERVER_PERCENT = 10;
    private static final int OWN = 40; // what the virtual machine, the listeners and the log hold
    private static final int DISCOVERY = 10; // never short of them, whatever engines and clients hold
    private static final int ADOPTED_STREAM_PART = 6;

    /** Connections of the platform's clients. */
    int platformClients() {
        return percent(PLATFORM_CLIENT_PERCENT);
    }

    /** Connections of tool call clients. */
    int toolClients() {
        return percent(TOOL_CLIENT_PERCENT);
    }

    /** Connections to tool servers. */
    int toolServers() {
        return percent(TOOL_SERVER_PERCENT);
    }

    /** Connections to service discovery. */
    int discovery() {
        return DISCOVERY;
    }

    /** Connections to engines: what is left. */
    int engines() {
        int admin = withAdmin ? AdminListener.MAX_DESCRIPTORS : 0;
        int tools = withTools ? percent(TOOL_CLIENT_PERCENT + TOOL_SERVER_PERCENT) : 0;
        return total - OWN - DISCOVERY - admin - platformClients() - tools;
    }

    /** Streams of another process that may be continued at a time. */
    int adoptedStreams() {
        return total / ADOPTED_STREAM_PART;
    }

    private int percent(int share) {
        return total * share / 100;
    }
}
