package maplerail.conform;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import maplerail.config.ConfigException;
import maplerail.config.Json;
import maplerail.config.Tree;

/**
 * What a server of JSON-RPC tool calls has to do, as numbered requirements that name their clause. Each is tried on a
 * session of its own. Clauses: 'J' is JSON-RPC 2.0's specification, 'M' the Model Context Protocol's of 2025-06-18 (its
 * batches are of 2025-03-26).
 */
public final class Suite {
    private static final String PING = "{\"jsonrpc\":\"2.0\",\"id\":\"after\",\"method\":\"ping\"}";
    private static final String INITIALIZED = "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/initialized\"}";
    private static final String DEEP = "[".repeat(5_000) + "]".repeat(5_000);

    /** How one requirement was met over one transport; {@code fault} is null where it was. */
    public record Outcome(int number, String clause, String transport, String text, String fault) {}

    private interface Check {
        /** Null if the requirement is met, else what was seen. */
        String fault(Peer peer) throws IOException, InterruptedException;
    }

    private enum Over {
        BOTH,
        HTTP
    }

    private record Requirement(int number, Over over, String clause, String text, Check check) {}

    private final Target target;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<Requirement> requirements = new ArrayList<>();

    /** A suite that tries one server. */
    public Suite(Target target) {
        this.target = target;
        both(1, "M lifecycle", "initialize is answered with a version, capabilities and the server's name", peer -> {
            Tree result = ask(peer, initialize("2025-06-18")).at("result");
            return result.at("protocolVersion").text("").equals("2025-06-18")
                            && result.at("capabilities").isObject()
                            && !result.at("serverInfo").at("name").text("").isEmpty()
                    ? null
                    : "got " + result.raw();
        });
        both(2, "M lifecycle", "a version that is not spoken is answered with one that is", peer -> {
            String version = ask(peer, initialize("1999-01-01"))
                    .at("result")
                    .at("protocolVersion")
                    .text("");
            return version.matches("20[0-9]{2}-[0-9]{2}-[0-9]{2}") ? null : "got '" + version + "'";
        });
        both(3, "M lifecycle", "a request between initialize and initialized is an error", peer -> {
            ask(peer, initialize("2025-06-18"));
            return code(peer, "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/list\"}", -32600, "1");
        });
        both(
                4,
                "M lifecycle",
                "initialize without a version is an error in its parameters",
                peer -> code(
                        peer, "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"initialize\",\"params\":{}}", -32602, "1"));
        ready(
                5,
                "M lifecycle",
                "a second initialize is an error",
                peer -> code(peer, initialize("2025-06-18"), -32600, "0"));
        ready(6, "M ping", "ping is answered with an empty result", peer -> alive(peer));
        ready(7, "J 4.1", "a notification is not answered, known or not", peer -> {
            peer.send("{\"jsonrpc\":\"2.0\",\"method\":\"no/such\",\"params\":{}}");
            peer.send("{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":77}}");
            return alive(peer);
        });
        ready(8, "J 5", "a reply to no call is not answered", peer -> {
            peer.send("{\"jsonrpc\":\"2.0\",\"id\":77,\"result\":{}}");
            peer.send("{\"jsonrpc\":\"2.0\",\"id\":77,\"error\":{\"code\":1,\"message\":\"x\"}}");
            return alive(peer);
        });
        bad(9, "J 5.1", "what is no JSON is a parse error", "{\"jsonrpc\":\"2.0\",\"id\":1", -32700, "null");
        bad(10, "J 5.1", "text after the end is a parse error", PING + " 7", -32700, "null");
        bad(11, "J 4", "a message that is no object is not valid", "7", -32600, "null");
        bad(12, "J 4", "a message without jsonrpc is not valid", "{\"id\":1,\"method\":\"ping\"}", -32600, "1");
        bad(
                13,
                "J 4",
                "a message of another version is not valid",
                "{\"jsonrpc\":\"1.0\",\"id\":1,\"method\":\"ping\"}",
                -32600,
                "1");
        bad(
                14,
                "J 4",
                "a method that is no text is not valid",
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":7}",
                -32600,
                "1");
        bad(
                15,
                "J 4",
                "an id that is an object is not valid",
                "{\"jsonrpc\":\"2.0\",\"id\":{},\"method\":\"ping\"}",
                -32600,
                "null");
        bad(
                16,
                "M requests",
                "an id that is null is not valid",
                "{\"jsonrpc\":\"2.0\",\"id\":null,\"method\":\"ping\"}",
                -32600,
                "null");
        bad(
                17,
                "J 4.2",
                "parameters that are no structure are not valid",
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\",\"params\":3}",
                -32600,
                "1");
        bad(
                18,
                "J 4",
                "two values under one name are not valid",
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"id\":2,\"method\":\"ping\"}",
                -32600,
                "null");
        bad(
                19,
                "J 5.1",
                "a method that there is not is said to be none",
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"no/such\"}",
                -32601,
                "1");
        ready(20, "J 5.1", "absurdly deep nesting is an error and no more", peer -> {
            peer.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\",\"params\":{\"a\":" + DEEP + "}}");
            String fault = isError(peer.take());
            return fault != null ? fault : alive(peer);
        });
        for (String id : List.of("\"a \\u00e9\\\"b\"", "-7", "1.5", "12345678901234567890", "0")) {
            ready(21, "J 5", "an answer has its request's id, here " + id, peer -> {
                peer.send("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"ping\"}");
                String got = peer.take();
                return got != null && id.equals(Json.fields(got).get("id")) ? null : "got " + got;
            });
        }
        ready(22, "M tools", "the list of tools names the tool that was told", peer -> {
            Tree tools = ask(peer, "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/list\"}")
                    .at("result")
                    .at("tools");
            boolean named = tools.isList()
                    && tools.list().stream().anyMatch(t -> t.at("name").text("").equals(target.tool()));
            return named ? null : "got " + tools.raw();
        });
        ready(33, "M pagination", "the pages of the list of tools come to an end and name each tool once", peer -> {
            List<String> names = new ArrayList<>();
            String cursor = "";
            for (int page = 0; cursor != null; page++) {
                if (page > 1_000) return "no end after " + page + " pages";
                Tree result = ask(
                                peer,
                                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/list\",\"params\":{"
                                        + (page == 0 ? "" : "\"cursor\":" + Json.quote(cursor)) + "}}")
                        .at("result");
                result.at("tools")
                        .list()
                        .forEach(tool -> names.add(tool.at("name").text()));
                cursor = result.at("nextCursor").text(null);
            }
            return names.size() == names.stream().distinct().count() && names.contains(target.tool())
                    ? null
                    : "got " + names;
        });
        bad(
                34,
                "M pagination",
                "a cursor that was never given is an error in the parameters",
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/list\",\"params\":{\"cursor\":\"%%\"}}",
                -32602,
                "1");
        ready(35, "M tools", "each tool of the list has a schema that is an object", peer -> {
            Tree tools = ask(peer, "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/list\"}")
                    .at("result")
                    .at("tools");
            boolean all = !tools.list().isEmpty()
                    && tools.list().stream()
                            .allMatch(tool ->
                                    tool.at("inputSchema").at("type").text("").equals("object"));
            return all ? null : "got " + tools.raw();
        });
        bad(
                23,
                "M tools",
                "a tool that there is not is an error in the parameters",
                call("1", "no.such.tool"),
                -32602,
                "1");
        bad(
                24,
                "M tools",
                "arguments that are no object are an error in the parameters",
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":"
                        + Json.quote(target.tool()) + ",\"arguments\":5}}",
                -32602,
                "1");
        ready(25, "M tools", "a call is answered once, and its id may be used again", peer -> {
            for (int i = 0; i < 2; i++) {
                Tree answer = ask(peer, call("1", target.tool()));
                if (!answer.at("result").present() || answer.at("error").present()) return "got " + answer.raw();
            }
            return alive(peer);
        });
        ready(26, "J 4", "an id that is in flight is not taken again, and the first call is answered", peer -> {
            Tree answers = ask(peer, "[" + call("5", target.tool()) + "," + call("5", target.tool()) + "]");
            long results = answers.list().stream()
                    .filter(a -> a.at("result").present())
                    .count();
            long errors = answers.list().stream()
                    .filter(a -> a.at("error").at("code").number(0) == -32600
                            && !a.at("id").present())
                    .count();
            return results == 1 && errors == 1 ? null : "got " + answers.raw();
        });
        ready(27, "J 6", "a batch is answered with an array: one answer each request, none a notification", peer -> {
            Tree answers = ask(peer, "[" + INITIALIZED + "," + call("1", target.tool()) + ",7," + PING + "]");
            List<String> ids = answers.list().stream()
                    .map(a -> String.valueOf(a.at("id").raw()))
                    .sorted()
                    .toList();
            return ids.equals(List.of("1", "after", "null")) ? null : "got " + answers.raw();
        });
        bad(28, "J 6", "an empty batch is not valid", "[]", -32600, "null");
        bad(29, "J 6", "a batch that is no JSON is one parse error", "[" + PING + ",", -32700, "null");
        ready(30, "J 6", "a batch of notifications is not answered", peer -> {
            peer.send("[" + INITIALIZED + "," + INITIALIZED + "]");
            return alive(peer);
        });
        bad(
                31,
                "J 6",
                "a batch past any sense is refused whole",
                "[" + String.join(",", Collections.nCopies(2_000, PING)) + "]",
                -32600,
                "null");
        ready(32, "M cancellation", "a cancellation of what has been answered changes nothing", peer -> {
            ask(peer, call("1", target.tool()));
            peer.send("{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":1}}");
            return alive(peer);
        });
        http(
                40,
                "M transports",
                "initialize brings a session's id, in visible ASCII",
                (peer, id) -> id != null && id.matches("[!-~]{16,}") ? null : "got " + id);
        http(41, "M transports", "a notification is answered with 202 and no body", (peer, id) -> {
            HttpResponse<String> answer = peer.call("POST", id, INITIALIZED);
            return answer.statusCode() == 202 && answer.body().isEmpty() ? null : "got " + answer.statusCode();
        });
        http(
                42,
                "M transports",
                "a session that there is not is answered with 404",
                (peer, id) -> status(peer.call("POST", "no-such-session-id", PING), 404));
        http(43, "M transports", "a session that was ended is answered with 404", (peer, id) -> {
            int ended = peer.call("DELETE", id, null).statusCode();
            return ended / 100 != 2 ? "got " + ended + " for DELETE" : status(peer.call("POST", id, PING), 404);
        });
        http(44, "M transports", "a GET without a place to go on from is 405, or a stream of events", (peer, id) -> {
            HttpResponse<String> answer = peer.call("GET", id, null);
            return answer.statusCode() == 405 ? null : status(answer, 200);
        });
        http(
                45,
                "M transports",
                "an event's id that was never given is no place to go on from",
                (peer, id) ->
                        peer.call("GET", id, null, "Last-Event-ID", "999-999").statusCode() / 100 == 4
                                ? null
                                : "taken");
        http(
                46,
                "M transports",
                "another version than was agreed on is answered with 400",
                (peer, id) -> status(peer.call("POST", id, PING, "MCP-Protocol-Version", "1999-01-01"), 400));
        http(
                47,
                "M transports",
                "a method that is none of the transport's is answered with 405",
                (peer, id) -> status(peer.call("PUT", id, PING), 405));
    }

    /** Tries everything over both transports, in order. */
    public List<Outcome> run() throws InterruptedException {
        List<Outcome> out = new ArrayList<>();
        for (Requirement one : requirements) {
            if (one.over() == Over.BOTH) out.add(run(one, "websocket"));
            out.add(run(one, "http"));
        }
        return out;
    }

    private Outcome run(Requirement one, String transport) throws InterruptedException {
        String fault;
        try (Peer peer = transport.equals("http") ? new HttpPeer(client, target) : new SocketPeer(client, target)) {
            fault = one.check().fault(peer);
        } catch (IOException | ConfigException e) {
            fault = String.valueOf(e.getMessage());
        }
        return new Outcome(one.number(), one.clause(), transport, one.text(), fault);
    }

    private void both(int number, String clause, String text, Check check) {
        requirements.add(new Requirement(number, Over.BOTH, clause, text, check));
    }

    /** A requirement on a session that is ready for use. */
    private void ready(int number, String clause, String text, Check check) {
        both(number, clause, text, peer -> {
            ask(peer, initialize("2025-06-18"));
            peer.send(INITIALIZED);
            return check.fault(peer);
        });
    }

    /** A message that is answered with one error, after which the session goes on. */
    private void bad(int number, String clause, String text, String message, int code, String id) {
        ready(number, clause, text, peer -> {
            String fault = code(peer, message, code, id);
            return fault != null ? fault : alive(peer);
        });
    }

    private interface HttpCheck {
        String fault(HttpPeer peer, String session) throws IOException, InterruptedException;
    }

    private void http(int number, String clause, String text, HttpCheck check) {
        requirements.add(new Requirement(number, Over.HTTP, clause, text, peer -> {
            ask(peer, initialize("2025-06-18"));
            peer.send(INITIALIZED);
            return check.fault((HttpPeer) peer, ((HttpPeer) peer).session());
        }));
    }

    private static String initialize(String version) {
        return "{\"jsonrpc\":\"2.0\",\"id\":0,\"method\":\"initialize\",\"params\":{\"protocolVersion\":\"" + version
                + "\",\"capabilities\":{},\"clientInfo\":{\"name\":\"conform\",\"version\":\"1\"}}}";
    }

    private static String call(String id, String tool) {
        return "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"tools/call\",\"params\":{\"name\":"
                + Json.quote(tool) + ",\"arguments\":{}}}";
    }

    private static Tree ask(Peer peer, String message) throws IOException, InterruptedException {
        peer.send(message);
        String got = peer.take();
        if (got == null) throw new IOException("no answer to " + message);
        return Tree.any("answer", got);
    }

    /** Null if the next answer is a ping's: nothing else was said before it, and the session goes on. */
    private static String alive(Peer peer) throws IOException, InterruptedException {
        peer.send(PING);
        String got = peer.take();
        Tree answer = got == null ? null : Tree.any("answer", got);
        boolean right = answer != null
                && answer.at("id").text("").equals("after")
                && answer.at("result").isObject();
        return right ? null : "in place of the answer to a ping: " + got;
    }

    private static String code(Peer peer, String message, int code, String id)
            throws IOException, InterruptedException {
        peer.send(message);
        String got = peer.take();
        Tree answer = got == null ? null : Tree.any("answer", got);
        boolean right = answer != null
                && answer.at("error").at("code").number(0) == code
                && id.equals(Json.fields(got).get("id"))
                && !answer.at("result").present();
        return right ? null : "not " + code + " with id " + id + ": " + got;
    }

    private static String isError(String got) {
        return got != null && Tree.any("answer", got).at("error").isObject() ? null : "no error: " + got;
    }

    private static String status(HttpResponse<String> answer, int status) {
        return answer.statusCode() == status ? null : "got " + answer.statusCode();
    }
}
