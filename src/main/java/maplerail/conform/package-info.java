/**
 * A suite of numbered requirements that tries a server of tool calls over both transports; no part of a gateway.
 */
package maplerail.conform;
