package maplerail.core;

/** An attempt that was not handed to the transport yet. */
final class UnsentAttempt implements AttemptHandle {
    @Override
    public boolean isUnsent() {
        return true;
    }

    @Override
    public void abort() {}

    @Override
    public void pause() {}

    @Override
    public void resume() {}
}
