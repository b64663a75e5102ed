/** The simulator's binary wire on standard input and output: events in, actions out. */
package maplerail.sim;
