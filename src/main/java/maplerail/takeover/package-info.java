/** The sockets of running streams, passed from a process that stops to the one that serves on by a Unix socket. */
package maplerail.takeover;
