/** What a process that stops tells the one that serves on, as a file; it only saves work, and may be missing. */
package maplerail.handover;
