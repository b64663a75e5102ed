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
    void onlyLegalMovesAreMade(String moves, boolean legal) {
        Lifecycle lifecycle = new Lifecycle();
        Runnable all = () -> {
            for (String to : moves.split(" ")) lifecycle.moveTo(Phase.valueOf(to));
        };
        if (legal) {
            all.run();
            assertThat(lifecycle.phase().name()).isEqualTo(moves.substring(moves.lastIndexOf(' ') + 1));
        } else {
            assertThatThrownBy(all::run).isInstanceOf(IllegalStateException.class);
        }
    }
}
