package maplerail.front.jsonrpc;

import maplerail.config.Json;

/**
 * The errors of this front: those of JSON-RPC, and server codes whose data distinguish rejected from failed requests.
 */
enum RpcError {
    PARSE_ERROR(-32700, "not JSON"),
    INVALID_REQUEST(-32600, "not a valid request"),
    METHOD_NOT_FOUND(-32601, "no such method"),
    INVALID_PARAMS(-32602, "not valid parameters"),
    /** This server failed at the request; may have been executed. */
    INTERNAL_ERROR(-32603, "internal error"),
    /** Not executed; a retry is safe. */
    REFUSED(-32000, "refused"),
    /** May have been executed. */
    FAILED(-32001, "failed"),
    /** No response within the contract's deadline; may have been executed. */
    DEADLINE(-32002, "no answer in time"),
    /** Cancelled by the client; may have been executed. */
    CANCELLED(-32003, "cancelled");

    private final int code;
    private final String message;

    RpcError(int code, String message) {
        this.code = code;
        this.message = message;
    }

    String response(String id) {
        return response(id, "", "");
    }

    /** The error response to a request; {@code data} is the text of a JSON object, or empty. */
    String response(String id, String detail, String data) {
        String text = detail.isEmpty() ? message : message + ": " + detail;
        return "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"error\":{\"code\":" + code + ",\"message\":" + Json.quote(text)
                + (data.isEmpty() ? "" : ",\"data\":" + data) + "}}";
    }

    static String refusedResponse(String id, String reason, double retryAfterMs) {
        return REFUSED.response(
                id,
                reason,
                "{\"outcome\":\"refused\",\"why\":" + Json.quote(reason) + ",\"retryAfterMs\":"
                        + Math.round(Math.max(0, retryAfterMs)) + "}");
    }

    String failedResponse(String id, String reason) {
        return response(id, "", "{\"outcome\":\"failed\",\"why\":" + Json.quote(reason) + ",\"mayHaveRun\":true}");
    }
}
