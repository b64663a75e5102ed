/** Client connections, whichever front serves them: accepting, idle connections, and clients that disconnect. */
package maplerail.front;
