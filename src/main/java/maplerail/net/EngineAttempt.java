package maplerail.net;

import java.util.function.BooleanSupplier;
import maplerail.core.AttemptHandle;

/** A {@link Call} as the core sees it; {@code promptRead} says whether the head of a reader's answer has come. */
record EngineAttempt(Call call, BooleanSupplier promptRead) implements AttemptHandle {
    @Override
    public boolean isPromptRead() {
        return promptRead.getAsBoolean();
    }

    @Override
    public boolean isUnsent() {
        return call.unsent();
    }

    @Override
    public void abort() {
        call.abort();
    }

    @Override
    public String describe() {
        return call.describe();
    }

    @Override
    public double connectionOpenedMs() {
        return call.connectionOpenedMs();
    }

    @Override
    public double connectionLastResponseMs() {
        return call.connectionHeardMs();
    }

    @Override
    public void pause() {
        call.pause();
    }

    @Override
    public void resume() {
        call.resume();
    }

    @Override
    public boolean isBetweenEvents() {
        return call.between();
    }

    @Override
    public Object detachConnection() {
        return call.handOn();
    }
}
