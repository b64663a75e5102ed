/** The front for the platform's HTTP clients: reads requests and streams answers. */
package maplerail.front.platform;
