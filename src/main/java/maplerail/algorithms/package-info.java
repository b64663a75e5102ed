/**
 * General data structures and algorithms without policy: decaying averages, token buckets, rendezvous hashing and bounded
 * tables. All receive the time as an argument, in milliseconds of any single clock. None is thread-safe.
 */
package maplerail.algorithms;
