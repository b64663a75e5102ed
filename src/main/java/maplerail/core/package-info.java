/**
 * The broker: accepts requests from fronts, executes the decisions of the routing policy, and gives each request
 * exactly one final response.
 *
 * <p>A request passes through six stages: intake, admission, routing, dispatch, relay and registry. The package handles
 * requests, attempts and outcomes and no wire protocols: fronts call {@link maplerail.core.Broker} and implement
 * {@link maplerail.core.ResponseObserver}, transports implement {@link maplerail.core.EngineTransport}. Everything runs
 * on the thread of the {@link maplerail.core.EventLoop}; nothing here blocks or takes a lock, except {@link
 * maplerail.core.Lifecycle}.
 */
package maplerail.core;
