package maplerail.server;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import maplerail.config.NodeConfig;
import maplerail.config.ToolsConfig;
import maplerail.core.Broker;
import maplerail.core.DrainSchedule;
import maplerail.core.Lifecycle;
import maplerail.core.MemoryBudget;
import maplerail.front.jsonrpc.RpcFront;
import maplerail.metrics.Metrics;
import maplerail.net.XnioEventLoop;
import org.xnio.XnioWorker;
import org.xnio.nio.IoThreadListener;

/** The second front: tool calls, the services behind them and the listening socket. */
final class ToolGateway {
    private final ToolsConfig config;
    private final ToolServices services;
    private final RpcFront front;
    private final XnioWorker worker;
    private final XnioEventLoop loop;
    private final ByteBufferPool buffers;
    private final DescriptorBudget descriptors;
    private final MemoryBudget memory;
    private final DrainSchedule drain;
    private final Metrics metrics;
    private FrontListener listener;

    ToolGateway(
            ToolsConfig config,
            NodeConfig nodeConfig,
            Broker broker,
            Lifecycle lifecycle,
            DrainSchedule drain,
            Metrics metrics,
            XnioWorker worker,
            XnioEventLoop loop,
            ByteBufferPool buffers,
            DescriptorBudget descriptors,
            MemoryBudget memory) {
        this.memory = memory;
        this.config = config;
        this.worker = worker;
        this.loop = loop;
        this.buffers = buffers;
        this.descriptors = descriptors;
        long seed = nodeConfig.settings().seed();
        this.drain = drain;
        this.metrics = metrics;
        services = new ToolServices(config, loop, buffers, seed, descriptors.toolServers(), metrics, drain, memory);
        front = new RpcFront(config, services.brokers(), broker, nodeConfig.names(), lifecycle, loop, metrics);
    }

    /** Starts to look for tool servers; called on the loop. */
    void start() {
        services.start();
    }

    /** Listens for clients; called on the loop. */
    void listen() throws IOException {
        listener = FrontListener.open(
                loop,
                buffers,
                front,
                descriptors.toolClients(),
                drain,
                memory,
                metrics,
                front::setConnections,
                (onAccept, options) -> IoThreadListener.open(worker, config.listen(), onAccept, options));
    }

    /** Checks that {@link #reload} can take a file over. */
    void requireReloadable(ToolsConfig next) {
        config.requireReloadable(next);
    }

    /** Takes what may change while it runs from a new file; called on the loop. */
    void reload(ToolsConfig next) {
        services.reload(next);
        front.updateTools(next);
    }

    /** A drain has begun; called on the loop. */
    void onDrainBegun() {
        listener.onDrainBegun();
    }

    /** Ends the connections on which nothing is asked, WebSockets too. */
    void closeIdleConnections() {
        listener.closeIdleConnections();
        front.closeIdleWebSockets();
    }

    /** True while a client may have asked for something that it has no answer to yet. */
    boolean isBusy() {
        return listener.isBusy() || front.openRequests() > 0 || front.isReceiving();
    }

    /** The clients that are still there, for the log. */
    String clientsLeft() {
        return "tool_connections=" + listener.connections().openCount() + " tool_requests=" + front.openRequests();
    }

    RpcFront front() {
        return front;
    }

    ToolServices services() {
        return services;
    }

    FrontListener listener() {
        return listener;
    }
}
