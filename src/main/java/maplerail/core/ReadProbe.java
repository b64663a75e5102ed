package maplerail.core;

/** The state of probing one read: asking writers, one at a time, whether it is still in flight. */
final class ReadProbe {
    /** Delay before the next probe if there was no response or no available writer; doubled after each failure. */
    private static final double RETRY_MS = 50;

    private static final double MAX_RETRY_MS = 400;

    private double notBeforeMs = Double.NEGATIVE_INFINITY;
    private double retryMs = RETRY_MS;
    private boolean started;
    private int pending;
    private boolean failed;
    private boolean confirmedRead;

    /** A probe was requested from the routing policy; if it starts none, the request may be repeated after a delay. */
    void onRequested(double nowMs) {
        notBeforeMs = nowMs + RETRY_MS;
    }

    /** A probe was sent to a writer. */
    void onStarted() {
        started = true;
        pending++;
    }

    /** A probe ended with the writer's response or without one. */
    void onResult(ReservePlaceResult result, double nowMs) {
        pending--;
        failed = result.isFailure();
        confirmedRead |= result.confirmsRead();
        notBeforeMs = nowMs + retryMs;
        retryMs = failed ? Math.min(MAX_RETRY_MS, 2 * retryMs) : RETRY_MS;
    }

    /** True if any writer was ever asked; it may have reserved a place. */
    boolean wasStarted() {
        return started;
    }

    /** True if any writer has confirmed that the read was in flight. */
    boolean hasConfirmedRead() {
        return confirmedRead;
    }

    /** True while a response is awaited. */
    boolean isPending() {
        return pending > 0;
    }

    /** True if the last probe gave no result. */
    boolean hasFailed() {
        return failed;
    }

    /** The earliest time of the next probe, in milliseconds; negative infinity before the first. */
    double notBeforeMs() {
        return notBeforeMs;
    }
}
