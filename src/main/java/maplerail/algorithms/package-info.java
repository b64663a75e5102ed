/**
 * General data structures and algorithms that decide nothing: averages that fade, token buckets, rendezvous hashing and
 * bounded tables. Each takes the time as an argument, in milliseconds of any one clock, and is used by one thread only.
 */
package maplerail.algorithms;
