/**
 * Handover from a process that is stopping to the one that replaces it: its view of engine caches, as a file, and its
 * running streams with their sockets, over a Unix socket. Both are optimisations: missing, malformed or outdated data
 * is ignored.
 *
 * <p>Calls block on the disk or on the other process, so they must not run on an event loop.
 */
package maplerail.migration;
