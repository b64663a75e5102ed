package maplerail.core;

/** The handle of an attempt that is not yet passed to the transport. */
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
