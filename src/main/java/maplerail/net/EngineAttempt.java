package maplerail.net;

import java.util.function.BooleanSupplier;
import maplerail.core.AttemptHandle;

/** A {@link Call} as an attempt handle; {@code promptRead} is true once the head of a reader's response has arrived. */
record EngineAttempt(Call call, BooleanSupplier promptRead) implements AttemptHandle {
    @Override
    public boolean isPromptRead() {
        return promptRead.getAsBoolean();
    }

    @Override
    public boolean isUnsent() {
        return call.isUnsent();
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
        return call.connectionLastResponseMs();
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
        return call.isBetweenEvents();
    }

    @Override
    public Object suspend() {
        return call.suspend();
    }

    @Override
    public void release() {
        call.release();
    }
}
