/**
 * Service discovery: the platform's endpoint list and Consul's catalogue and health API.
 *
 * <p>{@code PollSchedule} and {@code Backoff} decide what to request and when, without a clock or a socket; the other
 * classes make the calls on the event loop. The last received lists stay in effect while discovery is unreachable.
 */
package maplerail.discovery;
