package maplerail.rpc;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SessionStateTest {
    private static SessionState stateIn(String phase, boolean handshake) {
        SessionState state = new SessionState(handshake);
        if (!phase.equals("NEW")) state.initialize("2025-03-26");
        if (phase.equals("READY") || phase.equals("DRAINING")) state.onInitialized();
        if (phase.equals("DRAINING")) state.drain();
        if (phase.equals("CLOSED")) state.close();
        assertThat(state.phase()).hasToString(phase);
        return state;
    }

    @ParameterizedTest
    @CsvSource({
        "NEW,        true,  ping,       ACCEPT",
        "NEW,        true,  initialize, ACCEPT",
        "NEW,        true,  tools/call, NOT_INITIALIZED",
        "NEW,        false, tools/call, ACCEPT",
        "NEGOTIATED, true,  ping,       ACCEPT",
        "NEGOTIATED, true,  initialize, ALREADY_INITIALIZED",
        "NEGOTIATED, true,  tools/call, NOT_INITIALIZED",
        "NEGOTIATED, false, tools/call, NOT_INITIALIZED",
        "READY,      true,  tools/call, ACCEPT",
        "READY,      false, initialize, ALREADY_INITIALIZED",
        "DRAINING,   true,  ping,       ACCEPT",
        "DRAINING,   true,  tools/call, DRAINING",
        "DRAINING,   true,  initialize, DRAINING",
        "CLOSED,     true,  ping,       CLOSED",
        "CLOSED,     false, tools/call, CLOSED",
    })
    void requestsAreDecidedByPhase(String phase, boolean handshake, String method, SessionState.Decision decision) {
        assertThat(stateIn(phase, handshake).decide(method)).isEqualTo(decision);
    }

    @ParameterizedTest
    @CsvSource({"2025-06-18, 2025-06-18", "2024-11-05, 2024-11-05", "1999-01-01, 2025-06-18", "'', 2025-06-18"})
    void anUnsupportedVersionIsAnsweredWithTheNewest(String requested, String agreed) {
        assertThat(new SessionState(true).initialize(requested)).isEqualTo(agreed);
    }

    @Test
    void initializedIsAcceptedOnceAfterInitialize() {
        SessionState state = new SessionState(true);
        assertThat(state.onInitialized()).isFalse();
        assertThat(state.phase()).isEqualTo(SessionState.Phase.NEW);
        state.initialize("x");
        assertThat(state.onInitialized()).isTrue();
        assertThat(state.onInitialized()).isFalse();
        assertThatThrownBy(() -> state.initialize("x")).isInstanceOf(IllegalStateException.class);
        state.close();
        state.drain();
        assertThat(state.phase()).isEqualTo(SessionState.Phase.CLOSED);
    }
}
