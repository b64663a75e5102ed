package maplerail.net;

import maplerail.core.Engines;

/** A {@link Call} as the core sees it. */
record Sent(Call call) implements Engines.Sending {
    @Override
    public boolean unsent() {
        return call.unsent();
    }

    @Override
    public void abort() {
        call.abort();
    }

    @Override
    public void poll() {
        call.poll();
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
    public boolean between() {
        return call.between();
    }

    @Override
    public Object handOn() {
        return call.handOn();
    }
}
