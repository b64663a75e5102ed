/** The admin HTTP endpoint for operators: readiness, metrics and lame duck, on its own thread. */
package maplerail.front.admin;
