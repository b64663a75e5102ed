package maplerail.server;

/**
 * The streams of one front that pass between processes.
 *
 * @param adoption the streams that come from a process that stops
 * @param handover the streams that go to a process that serves on
 */
record StreamMigration(StreamAdoption adoption, StreamHandover handover) {
    /** The process stops: takes no more streams, and hands its own on until a time; called on the loop. */
    void handOn(double untilMs) {
        adoption.stop();
        handover.start(untilMs);
    }

    /** True while it is not settled which process has a stream. */
    boolean isBusy() {
        return adoption.isBusy() || handover.isBusy();
    }
}
