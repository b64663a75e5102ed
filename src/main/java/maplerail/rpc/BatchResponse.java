package maplerail.rpc;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Collects the responses to a JSON-RPC batch and sends them as one array, in the order in which they were added. */
public final class BatchResponse {
    private final Consumer<String> onComplete;
    private final List<String> responses = new ArrayList<>();
    private int expected;
    private boolean sealed;

    /** Creates the response to a batch; its array is passed to {@code onComplete}, once. */
    public BatchResponse(Consumer<String> onComplete) {
        this.onComplete = onComplete;
    }

    /** Raises the number of expected responses; some of them may have been added already. */
    public void expectResponses(int count) {
        if (sealed) throw new IllegalStateException("sealed");
        expected += count;
    }

    /** Adds one of the expected responses. */
    public void addResponse(String response) {
        responses.add(response);
        sendIfComplete();
    }

    /** Called after the last message of the batch; returns the number of responses that the batch has, 0 or 1. */
    public int seal() {
        sealed = true;
        sendIfComplete();
        return expected > 0 ? 1 : 0;
    }

    private void sendIfComplete() {
        if (sealed && expected > 0 && responses.size() == expected)
            onComplete.accept("[" + String.join(",", responses) + "]");
    }
}
