package maplerail.front.jsonrpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import maplerail.core.ClientPresence;
import maplerail.core.RequestHandle;
import org.junit.jupiter.api.Test;

class SessionTest {
    private final List<RuntimeException> failures = new ArrayList<>();
    private final List<String> responses = new ArrayList<>();

    /** Fails at the method "fail", and answers every other one. */
    private final class Methods implements Session.Dispatcher {
        @Override
        public RequestHandle start(int team, RpcMessage message, Session.PendingRequest pending) {
            if (message.method().equals("fail")) throw new IllegalStateException("a fault of the server");
            pending.finishWithResult("{}");
            return null;
        }

        @Override
        public boolean isAccepting() {
            return true;
        }

        @Override
        public void onFailure(RuntimeException failure) {
            failures.add(failure);
        }
    }

    private final class Responses implements MessageSender {
        @Override
        public void sendEvent(String message) {
            responses.add(message);
        }

        @Override
        public void sendResponse(String message) {
            responses.add(message);
        }

        @Override
        public boolean isSlow() {
            return false;
        }

        @Override
        public ClientPresence pollClient() {
            return ClientPresence.CONNECTED;
        }
    }

    private static String request(int id, String method) {
        return "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"" + method + "\"}";
    }

    /** Guards against a request without an answer, and a batch without any, as the server fails at one message. */
    @Test
    void aMessageAtWhichTheServerFailsIsAnsweredAndSoAreTheOthersOfItsBatch() {
        Session session = new Session(0, new Methods(), false);
        session.receive(request(1, "fail"), new Responses());
        session.receive(
                "[" + request(2, "ping") + "," + request(3, "fail") + "," + request(4, "ping") + "]", new Responses());
        assertThat(responses).hasSize(2);
        assertThat(responses.get(0)).contains("\"id\":1,", "-32603", "\"mayHaveRun\":true");
        assertThat(responses.get(1)).contains("\"id\":2,\"result\"", "\"id\":3,\"error\"", "\"id\":4,\"result\"");
        assertThat(session.openRequests()).isZero();
        assertThat(failures).hasSize(2);
    }
}
