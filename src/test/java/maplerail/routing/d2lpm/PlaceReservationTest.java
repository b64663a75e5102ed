package maplerail.routing.d2lpm;

import static maplerail.routing.d2lpm.PolicyHarness.reader;
import static maplerail.routing.d2lpm.PolicyHarness.writer;
import static org.assertj.core.api.Assertions.assertThat;

import maplerail.routing.AttemptOutcome;
import maplerail.routing.RoutingAction.ReservePlace;
import maplerail.routing.RoutingEvent;
import org.junit.jupiter.api.Test;

/** Places that writers reserve for requests whose prompts are still being read. */
class PlaceReservationTest {
    private static final int REQUESTS = 20;
    private static final long RESERVED_WRITER = 14;

    private static PolicyHarness gateway(boolean placeReservations) {
        PolicyHarness gateway = new PolicyHarness();
        gateway.placeReservations = placeReservations;
        return gateway.start(reader(1), writer(11), writer(12), writer(13), writer(RESERVED_WRITER));
    }

    /** The state moves to the writer with the reserved place; a write that is sent elsewhere would not find it. */
    @Test
    void writeIsSentToTheWriterWithTheReservedPlace() {
        PolicyHarness gateway = gateway(true);
        for (long id = 1; id <= REQUESTS; id++) {
            gateway.arrive(id);
            gateway.report(new RoutingEvent.ReadOverdue(id, 0));
            assertThat(gateway.lastActions).singleElement().isInstanceOf(ReservePlace.class);
            gateway.report(new RoutingEvent.PlaceReserved(id, RESERVED_WRITER));
            gateway.endAttempt(id, 0, AttemptOutcome.PROMPT_READ);
            assertThat(gateway.startedAttempt().engine()).isEqualTo(RESERVED_WRITER);
            gateway.reportFirstToken(id, 1);
            gateway.endAttempt(id, 1, AttemptOutcome.COMPLETED);
        }
    }

    /** One writer that takes no connection was asked again and again. */
    @Test
    void anotherWriterIsAskedIfTheLastOneHasReservedNoPlace() {
        PolicyHarness gateway = gateway(true);
        gateway.arrive(1);
        long last = -1;
        for (int probe = 0; probe < 4; probe++) {
            gateway.report(new RoutingEvent.ReadOverdue(1, 0));
            long asked = ((ReservePlace) gateway.lastActions.get(0)).engine();
            assertThat(asked).isNotEqualTo(last);
            last = asked;
        }
    }

    /** Requesting a place is a violation of the protocol if the settings don't permit it. */
    @Test
    void noPlaceIsRequestedIfTheSettingsForbidIt() {
        PolicyHarness gateway = gateway(false);
        gateway.arrive(1);
        gateway.report(new RoutingEvent.ReadOverdue(1, 0));
        assertThat(gateway.lastActions).isEmpty();
    }

    /** A late {@code ReadOverdue} event must not cause a request for a read that has ended. */
    @Test
    void noPlaceIsRequestedForAReadThatHasEnded() {
        PolicyHarness gateway = gateway(true);
        gateway.arrive(1);
        gateway.endAttempt(1, 0, AttemptOutcome.PROMPT_READ);
        gateway.report(new RoutingEvent.ReadOverdue(1, 0));
        assertThat(gateway.lastActions).isEmpty();
    }
}
