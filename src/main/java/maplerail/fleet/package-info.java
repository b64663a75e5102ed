/**
 * What gateways of a tier tell each other, and what they decide in common from it: how readers pace, which gateways are
 * alive, and which engines fail several of them.
 *
 * <p>Nothing here does input or output or reads a clock: datagrams, times and random draws are arguments and results. All
 * times are milliseconds. Tables are bounded by the size of the tier and of the endpoint list. Instances are used by one
 * thread only. Every datagram that is received is either used completely, or dropped and counted by its reason.
 */
package maplerail.fleet;
