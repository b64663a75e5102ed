/**
 * The contract between a gateway and its routing policy: the events that a gateway reports, the actions that a policy
 * answers with, and the settings that a policy is created from.
 *
 * <p>All times are milliseconds of the gateway's clock and all lengths are tokens. Nothing in this package does input
 * or output, reads a clock or draws a random number. The policy itself is in {@link maplerail.routing.d2lpm}.
 */
package maplerail.routing;
