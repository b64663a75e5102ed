package maplerail.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplerail.core.Reservation.Phase;

/** The reservations that engines have, or may have, for one request: at most one for each engine. */
final class RequestReservations {
    private final Map<Long, Reservation> byEngine = new LinkedHashMap<>();
    private double limitFromMs;
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

    boolean isEmpty() {
        return byEngine.isEmpty();
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

    /** The start of the reservation limit: the last proof that an attempt had arrived and ended, or a release. */
    double limitFromMs() {
        return limitFromMs;
    }

    /** Restarts the limit after an engine has responded. */
    void restartLimit(double nowMs) {
        limitFromMs = nowMs;
        overdue = false;
    }

    /** A release was sent although a write in flight may use the state: the next one is due a full interval later. */
    void onReleasedInUse(double nowMs) {
        limitFromMs = nowMs;
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
