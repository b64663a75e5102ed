/**
 * Service discovery: the platform's endpoint list and Consul's catalogue and health API.
 *
 * <p>{@code PollSchedule} and {@code Backoff} decide what to ask and when, without a clock or a socket; the rest makes their
 * calls on the event loop. What was told last stays true while discovery can't be reached.
 */
package maplerail.discovery;
