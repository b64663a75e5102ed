package maplerail.core;

/** The place that a writer may hold for a request since it was asked to reserve one. */
final class PlaceReservation {
    final long writer;
    /** When the writer was asked, which is the earliest time at which it may hold the place. */
    final double askedMs;

    private boolean answered;
    private boolean mayAppearLater;

    PlaceReservation(long writer, double askedMs) {
        this.writer = writer;
        this.askedMs = askedMs;
    }

    /** The call has ended; without a response the writer may still receive it. */
    void onResult(ReservePlaceResult result) {
        answered = true;
        mayAppearLater = result == ReservePlaceResult.UNKNOWN;
    }

    /** False while the call is in flight: a release may overtake it. */
    boolean isAnswered() {
        return answered;
    }

    /** True if the writer may reserve the place after a release, as it has not responded to the call. */
    boolean mayAppearLater() {
        return mayAppearLater;
    }
}
