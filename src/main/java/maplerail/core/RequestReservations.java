package maplerail.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;
import maplerail.core.Reservation.Phase;

/**
 * What engines hold, or may hold, for one request: at most one state for each engine, and the places that writers were
 * asked for. Its limit has one start: the earliest time since which anything may be held, or the last time at which an
 * attempt was known to be in flight, if that is later.
 */
final class RequestReservations {
    private final Map<Long, Reservation> byEngine = new LinkedHashMap<>();
    private final List<PlaceReservation> places = new ArrayList<>();
    private double lastInFlightMs = Double.NEGATIVE_INFINITY;
    private double lastProbeRequestedMs = Double.NEGATIVE_INFINITY;
    private boolean overdue;
    private boolean expired;

    /** Adds a reservation, replacing an earlier one at the same engine. */
    void put(Reservation reservation) {
        byEngine.put(reservation.engine, reservation);
    }

    /** Removes a reservation, unless it has been replaced. */
    void remove(Reservation reservation) {
        byEngine.remove(reservation.engine, reservation);
    }

    Reservation get(long engine) {
        return byEngine.get(engine);
    }

    /** The reservations in a phase, as a copy. */
    List<Reservation> inPhase(Phase phase) {
        List<Reservation> found = new ArrayList<>();
        for (Reservation reservation : byEngine.values()) {
            if (reservation.phase() == phase) found.add(reservation);
        }
        return found;
    }

    boolean hasPhase(Phase phase) {
        return !inPhase(phase).isEmpty();
    }

    /** The reservations that are neither being released nor in flight: RESERVED, then UNCERTAIN. */
    List<Reservation> unreleased() {
        List<Reservation> found = inPhase(Phase.RESERVED);
        found.addAll(inPhase(Phase.UNCERTAIN));
        return found;
    }

    /** The engines that may hold a state. */
    List<Long> holders() {
        return unreleased().stream().map(reservation -> reservation.engine).toList();
    }

    // ---- Places ----

    /** A writer is asked to reserve a place. */
    void onPlaceAsked(PlaceReservation place) {
        places.add(place);
    }

    /** The routing policy is asked to name a writer for a probe. */
    void onProbeRequested(double nowMs) {
        lastProbeRequestedMs = nowMs;
    }

    /** When the policy was last asked to name a writer; negative infinity before the first time. */
    double lastProbeRequestedMs() {
        return lastProbeRequestedMs;
    }

    /** A writer has not reserved the place, or it is released. */
    void removePlace(PlaceReservation place) {
        places.remove(place);
    }

    /** The time of the last call for a place that has no answer yet; negative infinity if there is none. */
    double lastUnansweredCallMs() {
        return places.stream()
                .filter(place -> !place.isAnswered())
                .mapToDouble(place -> place.askedMs)
                .max()
                .orElse(Double.NEGATIVE_INFINITY);
    }

    /** The places whose writers have responded or did not respond in time, as a copy. */
    List<PlaceReservation> answeredPlaces() {
        return places.stream().filter(PlaceReservation::isAnswered).toList();
    }

    // ---- The limit ----

    /** An attempt was known to be in flight at the given time: an engine has responded to it, or reported it. */
    void onKnownInFlight(double whenMs) {
        if (whenMs <= lastInFlightMs) return;
        lastInFlightMs = whenMs;
        overdue = false;
    }

    /** A release was sent although a write in flight may use the state: the next one is due a full interval later. */
    void onReleasedInUse(double nowMs) {
        lastInFlightMs = Math.max(lastInFlightMs, nowMs);
    }

    /** True if an engine may hold anything for which no release was started. */
    boolean mayHoldUnreleased() {
        return unreleasedSinceMs() < Double.POSITIVE_INFINITY;
    }

    /** The last time at which an attempt was known to be in flight; negative infinity if none was. */
    double lastInFlightMs() {
        return lastInFlightMs;
    }

    /**
     * The start of the limit, for everything that may be held and of which no engine has answered a release yet;
     * infinity if there is nothing.
     *
     * @param readsFromMs the earliest time at which a read in flight may have left a state; infinity if there is none
     */
    double limitFromMs(double nowMs, double readsFromMs) {
        double releasingMs = earliest(inPhase(Phase.RELEASING).stream()
                .filter(reservation -> reservation.awaitsRelease(nowMs))
                .mapToDouble(Reservation::sinceMs));
        double sinceMs = Math.min(readsFromMs, Math.min(unreleasedSinceMs(), releasingMs));
        return sinceMs == Double.POSITIVE_INFINITY ? sinceMs : Math.max(sinceMs, lastInFlightMs);
    }

    /** The earliest time since which a place or a state may be held; also a state that an engine held before a read. */
    private double unreleasedSinceMs() {
        Stream<Reservation> unreleased = byEngine.values().stream().filter(r -> r.phase() != Phase.RELEASING);
        double statesMs = earliest(unreleased.mapToDouble(Reservation::sinceMs));
        return Math.min(statesMs, earliest(places.stream().mapToDouble(place -> place.askedMs)));
    }

    private static double earliest(DoubleStream times) {
        return times.min().orElse(Double.POSITIVE_INFINITY);
    }

    /** Marks the limit as reached; returns true the first time since it was restarted. */
    boolean markOverdue() {
        boolean first = !overdue;
        overdue = true;
        return first;
    }

    /** True if the state was released at its limit and no read has completed since: a write would find no state. */
    boolean isExpired() {
        return expired;
    }

    void setExpired(boolean nowExpired) {
        expired = nowExpired;
    }
}
