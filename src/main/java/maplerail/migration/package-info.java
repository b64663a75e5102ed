/**
 * What a process that stops gives to the one that serves on: what it knows of caches, as a file, and its running streams with
 * their sockets, over a Unix socket. Both only save work: whatever is missing, broken or too old is ignored.
 *
 * <p>Calls here wait for the disk or for the other process, so they belong on a thread that may.
 */
package maplerail.migration;
