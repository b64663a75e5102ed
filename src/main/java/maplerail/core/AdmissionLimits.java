package maplerail.core;

import java.util.List;

/**
 * What may be asked of a broker.
 *
 * @param maxOpenRequests the most requests that are open at a time
 * @param contracts the contract of each class, by its index; classes without one have no limit
 * @param teams the budget of each team, by its index; teams without one have no limit
 */
public record AdmissionLimits(int maxOpenRequests, List<Contract> contracts, List<Budget> teams) {
    /** No limit but the number of open requests. */
    public static AdmissionLimits ofOpenRequests(int maxOpenRequests) {
        return new AdmissionLimits(maxOpenRequests, List.of(), List.of());
    }

    /** The most bytes that a request of a class may carry. */
    public record Contract(int maxBytes) {}

    /** The most calls a second, and at a time, that a team may make. */
    public record Budget(double callsPerSecond, int maxInFlight) {}
}
