package maplerail.routing.d2lpm;

import static maplerail.routing.d2lpm.PolicyHarness.reader;
import static maplerail.routing.d2lpm.PolicyHarness.writer;
import static org.assertj.core.api.Assertions.assertThat;

import maplerail.routing.AttemptOutcome;
import maplerail.routing.RoutingAction.ReservePlace;
import maplerail.routing.RoutingEvent;
import org.junit.jupiter.api.Test;

/** Writers that are asked about reads, and the places that they hold for them. */
class PlacesAheadTest {
    private static final int REQUESTS = 20;
    private static final long HOLDER = 14;

    private static PolicyHarness gateway(boolean placesAhead) {
        PolicyHarness gateway = new PolicyHarness();
        gateway.placesAhead = placesAhead;
        return gateway.start(reader(1), writer(11), writer(12), writer(13), writer(HOLDER));
    }

    /** Guards against a write that finds no state, as that has moved to the writer with the place. */
    @Test
    void theWriteGoesWhereAPlaceIsHeld() {
        PolicyHarness gateway = gateway(true);
        for (long id = 1; id <= REQUESTS; id++) {
            gateway.arrive(id);
            gateway.on(new RoutingEvent.ReadOverdue(id, 0));
            assertThat(gateway.lastActions).singleElement().isInstanceOf(ReservePlace.class);
            gateway.on(new RoutingEvent.PlaceReserved(id, HOLDER));
            gateway.end(id, 0, AttemptOutcome.PROMPT_READ);
            assertThat(gateway.sent().engine()).isEqualTo(HOLDER);
            gateway.first(id, 1);
            gateway.end(id, 1, AttemptOutcome.COMPLETED);
        }
    }

    /** Guards against a call that the settings make a fault. */
    @Test
    void nobodyIsAskedWhereTheSettingsDoNotPermitIt() {
        PolicyHarness gateway = gateway(false);
        gateway.arrive(1);
        gateway.on(new RoutingEvent.ReadOverdue(1, 0));
        assertThat(gateway.lastActions).isEmpty();
    }

    /** Guards against a question about a read that has ended. */
    @Test
    void nobodyIsAskedAboutAReadThatHasEnded() {
        PolicyHarness gateway = gateway(true);
        gateway.arrive(1);
        gateway.end(1, 0, AttemptOutcome.PROMPT_READ);
        gateway.on(new RoutingEvent.ReadOverdue(1, 0));
        assertThat(gateway.lastActions).isEmpty();
    }
}
