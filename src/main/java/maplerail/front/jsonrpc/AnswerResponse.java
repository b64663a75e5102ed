package maplerail.front.jsonrpc;

import maplerail.net.EventSplitter;

/** Sends the events of a streamed answer as notifications, and its end as the result of the request. */
final class AnswerResponse extends RpcResponse {
    AnswerResponse(Session.PendingRequest pending) {
        super(pending);
    }

    @Override
    public boolean onEvent(byte[] events) {
        boolean writable = true;
        for (String data : EventSplitter.extractData(events)) writable = pending.sendAnswerEvent(data);
        return writable;
    }

    @Override
    public void onCompleted() {
        pending.finish("{\"jsonrpc\":\"2.0\",\"id\":" + pending.id + ",\"result\":{\"complete\":true}}");
    }

    @Override
    public void onBroken() {
        pending.finish(RpcError.FAILED.failedResponse(pending.id, "the answer broke off"));
    }
}
