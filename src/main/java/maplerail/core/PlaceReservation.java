package maplerail.core;

/** The place that a writer may hold for a request since it was asked to reserve one. */
final class PlaceReservation {
    final long writer;
    /** When the writer was asked, which is the earliest time at which it may hold the place. */
    final double askedMs;

    private double answeredMs = Double.POSITIVE_INFINITY;
    private boolean mayAppearLater;

    PlaceReservation(long writer, double askedMs) {
        this.writer = writer;
        this.askedMs = askedMs;
    }

    /** The call has ended; without a response the writer may still receive it. */
    void onResult(ReservePlaceResult result, double nowMs) {
        answeredMs = nowMs;
        mayAppearLater = result == ReservePlaceResult.UNKNOWN;
    }

    /** False while the call is in flight: a release may overtake it. */
    boolean isAnswered() {
        return answeredMs < Double.POSITIVE_INFINITY;
    }

    /** True if a write that was sent at the given time has taken the place, or given it up, once its response begins. */
    boolean isTakenByWrite(double sentMs) {
        return answeredMs <= sentMs && !mayAppearLater;
    }

    /** True if the writer may reserve the place after a release, as it has not responded to the call. */
    boolean mayAppearLater() {
        return mayAppearLater;
    }
}
