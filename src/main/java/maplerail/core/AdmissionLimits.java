package maplerail.core;

import java.util.List;

/**
 * The limits on the requests that a broker accepts.
 *
 * @param maxOpenRequests the maximum number of open requests
 * @param contracts the contract of each class, by its index; classes without one have no limit
 * @param teams the budget of each team, by its index; teams without one have no limit
 */
public record AdmissionLimits(int maxOpenRequests, List<Contract> contracts, List<Budget> teams) {
    /** Limits only the number of open requests. */
    public static AdmissionLimits ofOpenRequests(int maxOpenRequests) {
        return new AdmissionLimits(maxOpenRequests, List.of(), List.of());
    }

    /** The maximum payload size of requests of a class, in bytes. */
    public record Contract(int maxBytes) {}

    /** The maximum rate and the maximum concurrency of a team's calls. */
    public record Budget(double callsPerSecond, int maxInFlight) {}
}
