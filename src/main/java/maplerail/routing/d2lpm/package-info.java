/** The routing policy D2LPM, longest prefix match with deficits: all decisions of a gateway, nothing else. */
package maplerail.routing.d2lpm;
