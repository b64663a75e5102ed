/** The front for tool calls: JSON-RPC 2.0 over WebSocket, and over HTTP with streams of events. */
package maplerail.front.jsonrpc;
