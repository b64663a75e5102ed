/** The operators' HTTP address: readiness, metrics and the lame duck, on a thread of its own. */
package maplerail.front.admin;
