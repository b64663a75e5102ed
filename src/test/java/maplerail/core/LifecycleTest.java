package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import maplerail.core.Lifecycle.Phase;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LifecycleTest {
    @ParameterizedTest
    @CsvSource({
        "READY,true",
        "READY READY,false",
        "DRAINING,true",
        "READY DRAINING STOPPED,true",
        "READY STOPPED,false",
        "DRAINING READY,false",
        "STOPPED,true",
        "STOPPED STARTING,false",
        "DRAINING STOPPED DRAINING,false",
        "READY LAME_DUCK READY LAME_DUCK DRAINING STOPPED,true",
        "LAME_DUCK STARTING READY,true",
        "LAME_DUCK STOPPED,false",
        "DRAINING LAME_DUCK,false"
    })
    void onlyLegalTransitionsAreAllowed(String phases, boolean legal) {
        Lifecycle lifecycle = new Lifecycle();
        Runnable transitions = () -> {
            for (String to : phases.split(" ")) lifecycle.moveTo(Phase.valueOf(to));
        };
        if (legal) {
            transitions.run();
            assertThat(lifecycle.phase().name()).isEqualTo(phases.substring(phases.lastIndexOf(' ') + 1));
        } else {
            assertThatThrownBy(transitions::run).isInstanceOf(IllegalStateException.class);
        }
    }
}
