package maplerail.core;

/** What is known from asking writers whether a read is still in flight. */
final class ReadInquiry {
    /** After no answer, or where there was no writer to ask, when another is asked; doubled each time. */
    private static final double RETRY_MS = 50;

    private static final double MAX_RETRY_MS = 400;

    private double notBeforeMs = Double.NEGATIVE_INFINITY;
    private double retryMs = RETRY_MS;
    private boolean asked;
    private boolean open;
    private boolean failed;
    private boolean inFlight;

    /** Notes that a writer is wanted; if none is asked, another may be wanted after a while. */
    void onWanted(double nowMs) {
        notBeforeMs = nowMs + RETRY_MS;
    }

    /** Notes that a writer is being asked. */
    void onAsked() {
        asked = true;
        open = true;
    }

    /** Notes a writer's answer, or that there was none. */
    void onAnswer(ReservePlaceResult answer, double nowMs) {
        open = false;
        failed = answer == ReservePlaceResult.UNKNOWN;
        inFlight |= answer.confirmsRead();
        notBeforeMs = nowMs + retryMs;
        retryMs = failed ? Math.min(MAX_RETRY_MS, 2 * retryMs) : RETRY_MS;
    }

    /** True if a writer was ever asked: it may hold a place. */
    boolean wasAsked() {
        return asked;
    }

    /** True if a writer has said that the read was in flight. */
    boolean wasInFlight() {
        return inFlight;
    }

    /** True while an answer is awaited. */
    boolean isOpen() {
        return open;
    }

    /** True if the last writer that was asked told nothing. */
    boolean hasFailed() {
        return failed;
    }

    /** When the next writer may be asked, in milliseconds; before everything as long as none was. */
    double notBeforeMs() {
        return notBeforeMs;
    }
}
