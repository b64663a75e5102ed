package maplerail.server;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import maplerail.config.NodeConfig;
import maplerail.config.ToolsConfig;
import maplerail.core.Broker;
import maplerail.core.Lifecycle;
import maplerail.front.jsonrpc.RpcFront;
import maplerail.metrics.Metrics;
import maplerail.net.XnioLoop;
import org.xnio.XnioWorker;

/** The second front: tool calls, the services behind them and the listening socket. */
final class ToolGateway {
    private final ToolsConfig config;
    private final ToolServices services;
    private final RpcFront front;
    private final XnioWorker worker;
    private final XnioLoop loop;
    private final ByteBufferPool buffers;
    private final DescriptorBudget descriptors;
    private FrontListener listener;

    ToolGateway(
            ToolsConfig config,
            NodeConfig nodeConfig,
            Broker broker,
            Lifecycle lifecycle,
            Metrics metrics,
            XnioWorker worker,
            XnioLoop loop,
            ByteBufferPool buffers,
            DescriptorBudget descriptors) {
        this.config = config;
        this.worker = worker;
        this.loop = loop;
        this.buffers = buffers;
        this.descriptors = descriptors;
        long seed = nodeConfig.settings().seed();
        services = new ToolServices(config, loop, buffers, seed, descriptors.toolServers(), metrics);
        front = new RpcFront(config, services.brokers(), broker, nodeConfig.names(), lifecycle, loop);
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
                front::at,
                (onAccept, options) -> worker.createStreamConnectionServer(config.listen(), onAccept, options));
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
