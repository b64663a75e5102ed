/** The routing policy D2LPM (deficit longest prefix match), which makes all decisions of a gateway. */
package maplerail.routing.d2lpm;
