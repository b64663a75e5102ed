package maplerail.front.jsonrpc;

import maplerail.core.Caller;

/** Words what ends a request unserved as the one final answer to its message. */
abstract class RpcCaller implements Caller {
    protected final Session.Pending pending;

    RpcCaller(Session.Pending pending) {
        this.pending = pending;
    }

    @Override
    public boolean here() {
        return pending.here();
    }

    @Override
    public void refuse(Why why, double retryAfterMs) {
        pending.finish(why, true, retryAfterMs);
    }

    @Override
    public void fail(Why why) {
        pending.finish(why, false, 0);
    }
}
