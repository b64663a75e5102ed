package maplerail.core;

import java.util.List;
import maplerail.metrics.Metrics;
import maplerail.routing.Idempotency;
import maplerail.routing.RoutingSettings;

/**
 * What a request is taken under, from the settings that were in force when it came. It keeps them to its end, whatever
 * the settings become meanwhile.
 */
record Terms(
        int maxAttempts, double pinLimitMs, List<String> classes, List<Metrics.Tally> tallies, List<Double> windowsMs) {
    static Terms of(RoutingSettings settings, List<String> classes, Metrics metrics) {
        return new Terms(
                settings.limits().maxAttempts(),
                settings.rules().reservationLimitMs(),
                List.copyOf(classes),
                classes.stream().map(metrics::of).toList(),
                settings.classes().stream()
                        .map(c -> c.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                ? c.keyTtlMs()
                                : Double.POSITIVE_INFINITY)
                        .toList());
    }

    /** For so long after an attempt a repeat of it is dropped, where only a key makes it harmless; else there is no limit. */
    double windowMs(Ask ask) {
        return ask.kind() < windowsMs.size() ? windowsMs.get(ask.kind()) : Double.POSITIVE_INFINITY;
    }

    String name(Ask ask) {
        return classes.get(ask.kind());
    }

    Metrics.Tally tally(Ask ask) {
        return tallies.get(ask.kind());
    }
}
