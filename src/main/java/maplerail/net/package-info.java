/**
 * HTTP calls to engines, tool servers and discovery on pooled connections, and datagrams between gateways. Runs on the
 * event loop. Only releases are repeated here, no other calls.
 */
package maplerail.net;
