package maplerail.rpc;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Gathers the answers to a batch, which go out together as one array, in whatever order they came. */
public final class BatchResponse {
    private final Consumer<String> whole;
    private final List<String> answers = new ArrayList<>();
    private int owed;
    private boolean sealed;

    /** A batch whose array goes to {@code whole}, once. */
    public BatchResponse(Consumer<String> whole) {
        this.whole = whole;
    }

    /** Some more answers will come, or have come already. */
    public void expectResponses(int more) {
        if (sealed) throw new IllegalStateException("sealed");
        owed += more;
    }

    /** One of them has come. */
    public void addResponse(String text) {
        answers.add(text);
        tell();
    }

    /** All messages have been heard; how many answers the batch itself brings: none, or one. */
    public int seal() {
        sealed = true;
        tell();
        return owed > 0 ? 1 : 0;
    }

    private void tell() {
        if (sealed && owed > 0 && answers.size() == owed) whole.accept("[" + String.join(",", answers) + "]");
    }
}
