/** The logic of JSON-RPC sessions, independent of the transport. Nothing here does I/O. */
package maplerail.rpc;
