package maplerail.front.jsonrpc;

import maplerail.core.ClientPresence;
import maplerail.core.ResponseObserver;

/** Reports a request's rejection or failure as the JSON-RPC response to its message. */
abstract class RpcResponse implements ResponseObserver {
    protected final Session.PendingRequest pending;

    RpcResponse(Session.PendingRequest pending) {
        this.pending = pending;
    }

    @Override
    public ClientPresence clientPresence() {
        return pending.clientPresence();
    }

    @Override
    public void onRejected(Reason reason, double retryAfterMs) {
        pending.finish(reason, true, retryAfterMs);
    }

    @Override
    public void onFailed(Reason reason) {
        pending.finish(reason, false, 0);
    }
}
