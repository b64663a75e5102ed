package maplerail.front.jsonrpc;

import java.util.Map;
import maplerail.config.Json;

/**
 * One message from a client.
 *
 * @param id the JSON text of the id; null for a notification
 * @param params the JSON text of the parameter object
 * @param isResponse true for a response, though this server sends no requests to clients
 */
record RpcMessage(String id, String method, String params, boolean isResponse) {
    /** Thrown for an invalid message, with the error response for its sender. */
    static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;
        private final String errorResponse;

        MalformedMessageException(String errorResponse) {
            super(errorResponse);
            this.errorResponse = errorResponse;
        }

        String errorResponse() {
            return errorResponse;
        }
    }

    static RpcMessage parse(String text) throws MalformedMessageException {
        if (!Json.valid(text)) throw new MalformedMessageException(RpcError.PARSE_ERROR.response("null"));
        Map<String, String> fields = Json.fields(text);
        if (fields == null)
            throw new MalformedMessageException(RpcError.INVALID_REQUEST.response("null", "not an object", ""));
        if (!fields.containsKey("method") && (fields.containsKey("result") || fields.containsKey("error"))) {
            return new RpcMessage(fields.get("id"), "", "{}", true);
        }
        String id = fields.get("id");
        boolean validId = id == null || id.length() <= 256 && (id.startsWith("\"") || id.matches("-?[0-9].*"));
        String responseId = validId && id != null ? id : "null";
        String method = fields.getOrDefault("method", "");
        String params = fields.getOrDefault("params", "{}");
        if (!validId) throw new MalformedMessageException(RpcError.INVALID_REQUEST.response("null", "id", ""));
        if (!"\"2.0\"".equals(fields.get("jsonrpc")))
            throw new MalformedMessageException(RpcError.INVALID_REQUEST.response(responseId, "jsonrpc", ""));
        if (!method.startsWith("\""))
            throw new MalformedMessageException(RpcError.INVALID_REQUEST.response(responseId, "method", ""));
        if (!params.startsWith("{")) {
            throw new MalformedMessageException(
                    params.startsWith("[")
                            ? RpcError.INVALID_PARAMS.response(responseId, "by name, please", "")
                            : RpcError.INVALID_REQUEST.response(responseId, "params", ""));
        }
        if (Json.fields(params) == null)
            throw new MalformedMessageException(RpcError.INVALID_PARAMS.response(responseId, "a name twice", ""));
        return new RpcMessage(id, maplerail.config.Tree.any("method", method).text(), params, false);
    }
}
