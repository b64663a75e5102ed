/**
 * The contract between a gateway and its routing policy: the events that a gateway reports, the actions that a policy
 * returns, and the settings with which a policy is created.
 *
 * <p>All times are in milliseconds of the gateway's clock and all lengths are in tokens. Nothing in this package performs
 * I/O, reads a clock or generates random numbers. The policy itself is in {@link maplerail.routing.d2lpm}.
 */
package maplerail.routing;
