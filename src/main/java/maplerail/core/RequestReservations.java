package maplerail.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplerail.core.Reservation.Phase;

/** What engines hold, or may hold, for one request: at most one {@link Reservation} for each engine. Decides nothing. */
final class RequestReservations {
    private final Map<Long, Reservation> byEngine = new LinkedHashMap<>();
    private double limitFromMs;
    private boolean overdue;
    private boolean expired;

    /** Puts a reservation in the place of what was known of its engine. */
    void put(Reservation reservation) {
        byEngine.put(reservation.engine, reservation);
    }

    /** Removes a reservation, unless another has taken its place. */
    void remove(Reservation reservation) {
        byEngine.remove(reservation.engine, reservation);
    }

    Reservation at(long engine) {
        return byEngine.get(engine);
    }

    boolean isEmpty() {
        return byEngine.isEmpty();
    }

    /** Those in a phase, as a copy. */
    List<Reservation> in(Phase phase) {
        List<Reservation> found = new ArrayList<>();
        for (Reservation reservation : byEngine.values()) {
            if (reservation.phase() == phase) found.add(reservation);
        }
        return found;
    }

    boolean has(Phase phase) {
        return !in(phase).isEmpty();
    }

    /** Those that no release was ordered of and that no read in flight is to make: HELD, then ABANDONED. */
    List<Reservation> unreleased() {
        List<Reservation> found = in(Phase.HELD);
        found.addAll(in(Phase.ABANDONED));
        return found;
    }

    /** The engines that may hold a state now. */
    List<Long> holders() {
        return unreleased().stream().map(reservation -> reservation.engine).toList();
    }

    /** When the limit on what is held began to run: at the last proof that an attempt had arrived and ended, or a release. */
    double limitFromMs() {
        return limitFromMs;
    }

    /** The limit runs anew, as an engine has answered. */
    void restartLimit(double nowMs) {
        limitFromMs = nowMs;
        overdue = false;
    }

    /** A release was sent though an attempt in flight may have taken the state: the next is due as long after it. */
    void onReleasedInUse(double nowMs) {
        limitFromMs = nowMs;
    }

    /** Notes that the limit has come; true the first time since it began to run. */
    boolean noteOverdue() {
        boolean first = !overdue;
        overdue = true;
        return first;
    }

    /** True if the state was released at its limit and no read has ended since: a write would find nothing. */
    boolean isExpired() {
        return expired;
    }

    void setExpired(boolean nowExpired) {
        expired = nowExpired;
    }
}
