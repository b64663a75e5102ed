/**
 * HTTP calls to engines, tool servers and discovery on pooled connections, and datagrams between gateways. Runs on the
 * event loop; nothing here repeats a call by itself.
 */
package maplerail.net;
