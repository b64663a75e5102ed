package maplerail.core;

import java.util.List;
import maplerail.metrics.Metrics;
import maplerail.routing.Idempotency;
import maplerail.routing.RoutingSettings;

/**
 * The settings that apply to a request: those in force when it was accepted. Later changes of the settings do not
 * affect it.
 */
record RequestTerms(
        int maxAttempts, double reservationLimitMs, boolean placeReservationAllowed, List<ClassTerms> classes) {

    /**
     * The settings of one class.
     *
     * @param repeatable true if its requests may be executed any number of times
     * @param keyTtlMs how long after an attempt engines drop duplicates of it; infinite where that is irrelevant
     */
    record ClassTerms(String name, Metrics.Tally tally, boolean repeatable, double keyTtlMs) {}

    static RequestTerms of(RoutingSettings settings, List<String> classNames, Metrics metrics) {
        ClassTerms[] classes = new ClassTerms[classNames.size()];
        for (int i = 0; i < classes.length; i++) {
            String name = classNames.get(i);
            classes[i] = new ClassTerms(name, metrics.of(name), isRepeatable(settings, i), keyTtlMs(settings, i));
        }
        return new RequestTerms(
                settings.limits().maxAttempts(),
                settings.rules().reservationLimitMs(),
                settings.limits().placeReservations(),
                List.of(classes));
    }

    private static boolean isRepeatable(RoutingSettings settings, int index) {
        return index < settings.classes().size()
                && settings.classes().get(index).idempotency() == Idempotency.IDEMPOTENT;
    }

    private static double keyTtlMs(RoutingSettings settings, int index) {
        if (index >= settings.classes().size()) return Double.POSITIVE_INFINITY;
        RoutingSettings.RequestClass requestClass = settings.classes().get(index);
        boolean keyed = requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY;
        return keyed ? requestClass.keyTtlMs() : Double.POSITIVE_INFINITY;
    }

    ClassTerms of(InferenceRequest request) {
        return classes.get(request.requestClass());
    }
}
