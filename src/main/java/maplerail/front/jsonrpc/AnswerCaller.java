package maplerail.front.jsonrpc;

import java.nio.charset.StandardCharsets;

/** Tells an answer's events as notifications, each as it comes, and its end as the request's result. */
final class AnswerCaller extends RpcCaller {
    AnswerCaller(Session.Pending pending) {
        super(pending);
    }

    @Override
    public boolean event(byte[] events) {
        boolean ready = true;
        for (String event : new String(events, StandardCharsets.UTF_8).split("\r?\n\r?\n")) {
            StringBuilder data = new StringBuilder();
            for (String line : event.split("\r?\n")) {
                if (!line.startsWith("data:")) continue;
                if (data.length() > 0) data.append('\n');
                data.append(line.startsWith("data: ") ? line.substring(6) : line.substring(5));
            }
            if (data.length() > 0) ready = pending.notify(data.toString());
        }
        return ready;
    }

    @Override
    public void end() {
        pending.finish("{\"jsonrpc\":\"2.0\",\"id\":" + pending.id + ",\"result\":{\"complete\":true}}");
    }

    @Override
    public void broken() {
        pending.finish(RpcError.FAILED.failed(pending.id, "the answer broke off"));
    }
}
