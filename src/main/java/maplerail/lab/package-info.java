/**
 * Experiments with several gateways, stand-in engines and faults, and an emulator in virtual time; no part of a gateway.
 */
package maplerail.lab;
