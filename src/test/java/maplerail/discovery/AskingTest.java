package maplerail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import maplerail.discovery.Asking.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class AskingTest {
    private static final double TOLD_MS = 6_000; // after which what a silent watch missed counts as told

    private static Asking asking(boolean agent) {
        return new Asking(agent, 7, new SplittableRandom(1));
    }

    /** Whenever a watch falls silent, there is time for several looks before what it misses counts as told. */
    @Test
    void aSilentWatchLeavesTimeToAskAnew() {
        Asking asking = asking(true);
        for (int i = 0; i < 1_000; i++) {
            asking.heard(8 + i, false, 7 + i, 0);
            Asking.Query watch = asking.next();
            assertThat(watch.waitMs()).isGreaterThan(1);
            double givenUpMs = watch.withinMs() + asking.failedMs();
            assertThat(givenUpMs).isLessThan(TOLD_MS / 2 + 1_000);
            assertThat(givenUpMs).isLessThan(watch.waitMs() + 2_000);
            assertThat(asking.next().waitMs()).as("asks for what is there").isLessThanOrEqualTo(1);
        }
    }

    /** An agent that was silent and comes back answers what is asked then: there is a call at any moment until it does. */
    @Test
    void anAgentIsLookedAtUntilItAnswers() {
        Asking asking = asking(true);
        assertThat(asking.firstMs()).isZero();
        for (int i = 0; i < 50; i++) {
            assertThat(asking.pressMs()).isLessThanOrEqualTo(100);
            assertThat(asking.failedMs()).isLessThanOrEqualTo(100);
        }
        asking.heard(8, false, 7, 0);
        assertThat(asking.pressMs()).isInfinite();
        assertThat(asking.failedMs()).as("a watch that was reset").isZero();
    }

    @Test
    void aServiceForAllIsLeftAloneEverLonger() {
        Asking asking = asking(false);
        asking.heard(8, false, 7, 0);
        assertThat(asking.next().waitMs()).isGreaterThanOrEqualTo(15_000);
        assertThat(asking.pressMs()).isInfinite();
        double last = 0;
        for (int i = 0; i < 8; i++) last = asking.failedMs();
        assertThat(last).isGreaterThanOrEqualTo(2_000);
        assertThat(asking.refusedMs(9_000)).isGreaterThanOrEqualTo(4_000);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anAnswerThatIsNoListLeadsToTheWholeOne(boolean agent) {
        Asking asking = asking(agent);
        asking.unreadMs();
        assertThat(asking.next().target()).isEqualTo("/api/targets");
    }

    @ParameterizedTest
    @CsvSource({
        // version, whole, after ms since the first older one: what it is
        "8, false, 0, NEWS", "8, true, 0, NEWS", "7, false, 0, NOTHING", "7, true, 0, NOTHING",
        "6, true, 0, OLDER", "6, true, 1999, OLDER", "6, true, 2000, NEWS", "6, false, 60000, OLDER"})
    void aListOlderThanOursIsNotBelievedAtOnce(long version, boolean whole, double afterMs, Kind kind) {
        Asking asking = asking(true);
        if (kind == Kind.OLDER || version < 7) asking.heard(5, true, 7, 1_000);
        assertThat(asking.heard(version, whole, 7, 1_000 + afterMs)).isEqualTo(kind);
        if (kind == Kind.OLDER) assertThat(asking.next().target()).isEqualTo("/api/targets");
    }
}
