/** Client connections of all fronts: accepting, idle timeouts and detection of client disconnects. */
package maplerail.front;
