package maplerail.core;

import java.util.List;
import maplerail.metrics.Metrics;
import maplerail.routing.Idempotency;
import maplerail.routing.RoutingSettings;

/**
 * The terms of a request: those of the settings in force when it was taken. It keeps them to its end, whatever the
 * settings become meanwhile.
 */
record RequestTerms(int maxAttempts, double reservationLimitMs, boolean placesAhead, List<ClassTerms> classes) {

    /**
     * The terms of one class.
     *
     * @param keyTtlMs for how long after an attempt engines drop a repeat of it; infinite where that does not matter
     */
    record ClassTerms(String name, Metrics.Tally tally, double keyTtlMs) {}

    static RequestTerms of(RoutingSettings settings, List<String> classNames, Metrics metrics) {
        ClassTerms[] classes = new ClassTerms[classNames.size()];
        for (int i = 0; i < classes.length; i++) {
            String name = classNames.get(i);
            classes[i] = new ClassTerms(name, metrics.of(name), keyTtlMs(settings, i));
        }
        return new RequestTerms(
                settings.limits().maxAttempts(),
                settings.rules().reservationLimitMs(),
                settings.limits().placeReservations(),
                List.of(classes));
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
