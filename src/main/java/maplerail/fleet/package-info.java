/**
 * Protocols between the gateways of a tier, and the decisions based on them: how fast readers are, which gateways are
 * alive, and which engines fail several gateways.
 *
 * <p>This package does no I/O and reads no clock: datagrams, times and random draws are passed in and returned. All
 * times are in milliseconds. Tables are bounded by the size of the tier and of the endpoint list. Instances are not
 * thread-safe. Each received datagram is either applied completely, or dropped and counted by reason.
 */
package maplerail.fleet;
