package maplerail.front.jsonrpc;

import maplerail.net.EventSplitter;

/** Tells an answer's events as notifications, each as it comes, and its end as the request's result. */
final class AnswerCaller extends RpcCaller {
    AnswerCaller(Session.Pending pending) {
        super(pending);
    }

    @Override
    public boolean onEvent(byte[] events) {
        boolean ready = true;
        for (String data : EventSplitter.extractData(events)) ready = pending.notify(data);
        return ready;
    }

    @Override
    public void onCompleted() {
        pending.finish("{\"jsonrpc\":\"2.0\",\"id\":" + pending.id + ",\"result\":{\"complete\":true}}");
    }

    @Override
    public void onBroken() {
        pending.finish(RpcError.FAILED.failed(pending.id, "the answer broke off"));
    }
}
