package maplerail.server;

import java.io.Closeable;
import maplerail.routing.RoutingEvent.EndpointUpdate;
import maplerail.routing.RoutingSettings;

/** What a gateway does together with the others of its tier. Called on the event loop. */
interface PeerService extends Closeable {
    /** That of a gateway whose tier does not talk. */
    PeerService NONE = new PeerService() {
        @Override
        public void start() {}

        @Override
        public EndpointUpdate visible(EndpointUpdate update) {
            return update;
        }

        @Override
        public void onEndpointsChanged() {}

        @Override
        public RoutingSettings adjust(RoutingSettings settings) {
            return settings;
        }

        @Override
        public int ejectedEngines() {
            return 0;
        }

        @Override
        public void close() {}
    };

    /** Begins to talk and to listen. */
    void start();

    /** An update of the endpoint list as the routing policy is to see it. */
    EndpointUpdate visible(EndpointUpdate update);

    /** To be called once the broker has applied an update. */
    void onEndpointsChanged();

    /** Settings for the gateways that share the load now. */
    RoutingSettings adjust(RoutingSettings settings);

    /** The number of engines that are ready and left alone, as they failed several gateways. */
    int ejectedEngines();

    /** Stops talking and listening. */
    @Override
    void close();
}
