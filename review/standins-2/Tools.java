/** The operator's file for tool calls, as deploy/tools.json has it, with listed servers. */
final class Tools {
    int lookupDeadlineMs = 3_000, orderDeadlineMs = 8_000;
    int lookupReplyBytes = 65_536, orderReplyBytes = 16_384;
    int callsPerSecond = 20, callsInFlight = 8;
    String orderRepeat = "side_effect";
    String extra = "";

    String json(int recordsPort, int... orderPorts) {
        StringBuilder orders = new StringBuilder();
        for (int port : orderPorts) orders.append(orders.length() > 0 ? "," : "").append("\"127.0.0.1:").append(port).append('"');
        String budget = "{\"calls_per_s\":" + callsPerSecond + ",\"calls_in_flight\":" + callsInFlight + "}";
        return "{\"listen\":\"127.0.0.1:0\",\"path\":\"/rpc\",\"handshake\":\"required\"," + extra
                + "\"services\":{\"column-records\":{\"path\":\"/tools\",\"servers\":[\"127.0.0.1:" + recordsPort + "\"]},"
                + "\"repair-orders\":{\"path\":\"/tools\",\"servers\":[" + orders + "]}},"
                + "\"contracts\":{\"lookup\":{\"repeat\":\"pure\",\"deadline_ms\":" + lookupDeadlineMs
                + ",\"most_deadline_ms\":9000,\"most_argument_bytes\":16384,\"most_reply_bytes\":" + lookupReplyBytes + "},"
                + "\"repair-order\":{\"repeat\":\"" + orderRepeat + "\",\"deadline_ms\":" + orderDeadlineMs
                + ",\"most_argument_bytes\":16384,\"most_reply_bytes\":" + orderReplyBytes + "}},"
                + "\"tools\":{\"columns.find\":{\"service\":\"column-records\",\"contract\":\"lookup\"},"
                + "\"orders.raise\":{\"service\":\"repair-orders\",\"contract\":\"repair-order\"}},"
                + "\"teams\":{\"cyngor-glannau\":" + budget + ",\"cyngor-bryniau\":" + budget + ",\"goleuni-contractors\":" + budget
                + ",\"cyngor-dyffryn\":" + budget + "}}";
    }
}
