/** What is counted: final answers by class, attempts, reloads. Written on the event loop, read from any thread. */
package maplerail.metrics;
