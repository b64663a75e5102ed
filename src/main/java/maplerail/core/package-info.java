/**
 * The broker: takes requests from fronts, carries out what the routing policy decides, and gives each request exactly one
 * final answer.
 *
 * <p>A request passes six stages: intake, admission, routing, dispatch, relay and registry. The package knows requests,
 * attempts and outcomes and no wire: fronts call {@link maplerail.core.Broker} and implement
 * {@link maplerail.core.ResponseObserver}, transports implement {@link maplerail.core.EngineTransport}. Everything runs on
 * one thread, that of the {@link maplerail.core.EventLoop}; nothing here blocks or takes a lock, {@link
 * maplerail.core.Lifecycle} excepted.
 */
package maplerail.core;
