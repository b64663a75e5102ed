package maplerail;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.EngineRole;
import maplerail.routing.Idempotency;
import maplerail.routing.IdempotencyScope;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingAction.StartAttempt;
import maplerail.routing.RoutingEvent.EndpointUpdate;
import maplerail.routing.RoutingEvent.RequestArrived;
import maplerail.routing.RoutingPolicy;
import maplerail.routing.RoutingSettings;
import maplerail.routing.RoutingSettings.EngineKind;
import maplerail.routing.RoutingSettings.Limits;
import maplerail.routing.RoutingSettings.RequestClass;
import maplerail.routing.RoutingSettings.Rules;
import maplerail.routing.d2lpm.D2lpmPolicy;
import org.junit.jupiter.api.Test;

/** The example in the README. */
class QuickStartTest {
    @Test
    void exampleStartsAnAttemptAtTheReader() {
        RoutingSettings settings = new RoutingSettings(
                42,
                1,
                0,
                2,
                false,
                1,
                List.of(new RequestClass(
                        1_000, 0.04, 5_000, 60, 1, 0.1, Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 0)),
                List.of(),
                List.of(new EngineKind(EngineRole.READER, 200_000), new EngineKind(EngineRole.WRITER, 150_000)),
                new Limits(5, true, true, false, 0, false),
                new Rules(8, 300, 0.3, 2.5, 3_000, 10_000, 0));
        RoutingPolicy router = new D2lpmPolicy(settings);
        router.step(
                0,
                List.of(new EndpointUpdate(
                        EndpointUpdateKind.SNAPSHOT,
                        1,
                        List.of(
                                new Endpoint(101, EndpointState.READY, 0, 0, 0, 1, 0),
                                new Endpoint(201, EndpointState.READY, 0, 0, 0, 1, 1)))));
        List<RoutingAction> actions =
                router.step(10, List.of(new RequestArrived(1, 0, 0, 7, 1_800, 0, 0, 5_000, 200, 0, false)));
        assertTrue(actions.contains(new StartAttempt(1, 101, 5_010)));
    }
}
