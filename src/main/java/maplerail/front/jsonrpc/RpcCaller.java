package maplerail.front.jsonrpc;

import maplerail.core.ResponseObserver;

/** Words what ends a request unserved as the one final answer to its message. */
abstract class RpcCaller implements ResponseObserver {
    protected final Session.Pending pending;

    RpcCaller(Session.Pending pending) {
        this.pending = pending;
    }

    @Override
    public boolean isConnected() {
        return pending.here();
    }

    @Override
    public void onRejected(Reason why, double retryAfterMs) {
        pending.finish(why, true, retryAfterMs);
    }

    @Override
    public void onFailed(Reason why) {
        pending.finish(why, false, 0);
    }
}
