package maplerail.fleet;

import java.util.ArrayList;
import java.util.List;
import maplerail.fleet.Membership.State;

/**
 * A message of the membership protocol.
 *
 * <pre>
 * offset size  field
 *   0     8    common header ({@link DatagramFormat}), version 2; the incarnation is never 0
 *   8     1    kind: 1 ping, 2 ack, 3 ping-req
 *   9     2    sequence number; an ack repeats that of the ping or ping-req it answers
 *  11     2    subject's rank: the gateway to ping (ping-req), the gateway that acked (ack), the recipient (ping)
 *  13     7*n  updates: rank (2), state (1: 0 alive, 1 suspect, 2 dead), incarnation (4)
 * </pre>
 */
record MembershipMessage(int rank, long incarnation, Kind kind, int sequence, int subject, List<Update> updates) {
    static final DatagramFormat FORMAT = new DatagramFormat(2, 13, 7);

    /** The kinds of messages, in the order of their codes on the wire. */
    enum Kind {
        PING,
        ACK,
        PING_REQ;

        private static final Kind[] BY_CODE = values();

        private int code() {
            return ordinal() + 1;
        }

        private static Kind ofCode(int code) throws MalformedDatagramException {
            if (code < 1 || code > BY_CODE.length) throw new MalformedDatagramException(DropReason.INVALID_VALUE);
            return BY_CODE[code - 1];
        }
    }

    /** The state of a gateway in one of its incarnations. */
    record Update(int rank, State state, long incarnation) {}

    /** Encodes the message; updates that do not fit are omitted. */
    byte[] encode() {
        int entries = Math.min(updates.size(), FORMAT.maxEntries());
        DatagramFormat.FieldWriter writer = FORMAT.write(rank, incarnation, entries)
                .u8(kind.code())
                .u16(sequence)
                .u16(subject);
        for (Update update : updates.subList(0, entries)) {
            writer.u16(update.rank()).u8(update.state().ordinal()).u32(update.incarnation());
        }
        return writer.bytes();
    }

    static MembershipMessage decode(byte[] bytes, int length) throws MalformedDatagramException {
        DatagramFormat.FieldReader reader = FORMAT.read(bytes, length, 0);
        int rank = reader.u16();
        long incarnation = reader.u32();
        Kind kind = Kind.ofCode(reader.u8());
        if (incarnation == 0) throw new MalformedDatagramException(DropReason.INVALID_VALUE);
        int sequence = reader.u16();
        int subject = reader.u16();
        List<Update> updates = new ArrayList<>();
        while (reader.hasMore()) updates.add(new Update(reader.u16(), stateOf(reader.u8()), reader.u32()));
        return new MembershipMessage(rank, incarnation, kind, sequence, subject, updates);
    }

    private static State stateOf(int code) throws MalformedDatagramException {
        State[] states = State.values();
        if (code >= states.length) throw new MalformedDatagramException(DropReason.INVALID_VALUE);
        return states[code];
    }
}
