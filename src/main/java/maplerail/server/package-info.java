/**
 * A gateway's process: puts the parts together and takes them from start to exit. Signals, reload, drain, the hand-over to
 * another process, and what gateways of a tier do together are wired here; what is decided about them is decided elsewhere.
 *
 * <p>All of it runs on the event loop, but for what waits for a disk or a Unix socket, which has the worker's task thread,
 * and what the operators' thread and signal handlers call, which is documented at each method.
 */
package maplerail.server;
