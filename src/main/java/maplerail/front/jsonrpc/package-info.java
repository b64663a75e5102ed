/** The front for tool calls and streamed answers: JSON-RPC 2.0 over WebSocket, and over HTTP with event streams. */
package maplerail.front.jsonrpc;
