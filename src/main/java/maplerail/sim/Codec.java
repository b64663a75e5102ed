package maplerail.sim;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.LoadReport;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;

/** Frames of the simulator's wire: batches of event records in, replies of action records out. */
final class Codec {
    static final int HEADER = 16;
    static final int EVENT = 64;
    static final int ACTION = 24;
    static final int MEMBER = 23;

    static final int SWITCH_TO = 1110;
    static final int LAUNCH = 1000;
    static final int SHUTDOWN = 1090;

    private Codec() {}

    /** A batch as it came: its clock and its records and tail. */
    static final class Batch {
        final double clockMs;
        final int records;
        private final ByteBuffer body;
        private final int tail;

        Batch(double clockMs, int records, ByteBuffer body) {
            this.clockMs = clockMs;
            this.records = records;
            this.body = body;
            this.tail = records * EVENT;
        }

        int code(int record) {
            return Short.toUnsignedInt(body.getShort(record * EVENT));
        }

        int instance(int record) {
            return u16(record, 2);
        }

        int u8(int record, int at) {
            return Byte.toUnsignedInt(body.get(record * EVENT + at));
        }

        int u16(int record, int at) {
            return Short.toUnsignedInt(body.getShort(record * EVENT + at));
        }

        long u32(int record, int at) {
            return Integer.toUnsignedLong(body.getInt(record * EVENT + at));
        }

        long u64(int record, int at) {
            return body.getLong(record * EVENT + at);
        }

        float f32(int record, int at) {
            return body.getFloat(record * EVENT + at);
        }

        double f64(int record, int at) {
            return body.getDouble(record * EVENT + at);
        }

        long engine(int record, int at) {
            return engineAt(record * EVENT + at);
        }

        private long engineAt(int at) {
            return Integer.toUnsignedLong(body.getInt(at)) << 16 | Short.toUnsignedLong(body.getShort(at + 4));
        }

        /** Where in the body a tail reference starts, checked against the frame. */
        private int tailAt(int record, int at, int unit) {
            long offset = u32(record, at);
            long bytes = u32(record, at + 4) * unit;
            if (tail + offset + bytes > body.limit()) {
                throw new WireException("record " + record + ": tail reference " + offset + "+" + bytes
                        + " is outside a tail of " + (body.limit() - tail) + " bytes");
            }
            return (int) (tail + offset);
        }

        /** The bytes of a tail reference. */
        byte[] bytes(int record, int at) {
            int from = tailAt(record, at, 1);
            return java.util.Arrays.copyOfRange(body.array(), from, from + (int) u32(record, at + 4));
        }

        String text(int record, int at) {
            int from = tailAt(record, at, 1);
            return new String(body.array(), from, (int) u32(record, at + 4), StandardCharsets.UTF_8);
        }

        private List<Endpoint> members(int record, int at) {
            int from = tailAt(record, at, MEMBER);
            int count = (int) u32(record, at + 4);
            List<Endpoint> out = new ArrayList<>(count);
            for (int i = 0; i < count; i++, from += MEMBER) {
                int health = Byte.toUnsignedInt(body.get(from));
                EndpointState state = switch (health) {
                    case 0 -> EndpointState.REMOVED;
                    case 1 -> EndpointState.READY;
                    case 2 -> EndpointState.DRAINING;
                    default -> throw new WireException("record " + record + ": entry " + i + ": health " + health);
                };
                out.add(new Endpoint(
                        engineAt(from + 9),
                        state,
                        body.getDouble(from + 1),
                        Byte.toUnsignedInt(body.get(from + 15)),
                        Short.toUnsignedInt(body.getShort(from + 16)),
                        body.getFloat(from + 18),
                        Byte.toUnsignedInt(body.get(from + 22))));
            }
            return out;
        }

        /** The event of a record, or null for one that the decisions have no use for. */
        RoutingEvent event(int record, int memoryColumn) {
            int code = code(record);
            return switch (code) {
                case 1010 -> new RoutingEvent.EndpointUpdate(listKind(record), u64(record, 3), members(record, 11));
                case 1020 ->
                    new RoutingEvent.RequestArrived(
                            u64(record, 2),
                            u8(record, 19),
                            (int) Math.min(Integer.MAX_VALUE, u32(record, 44)),
                            u64(record, 11),
                            f32(record, 20),
                            u64(record, 24),
                            f32(record, 40),
                            f64(record, 32),
                            f32(record, 48),
                            (u8(record, 10) & 1) != 0 ? f64(record, 52) : 0,
                            (u8(record, 10) & 16) != 0);
                case 1030 ->
                    new RoutingEvent.FirstToken(u64(record, 2), u8(record, 10), engine(record, 19), f64(record, 11));
                case 1040 ->
                    new RoutingEvent.AttemptEnded(
                            u64(record, 2),
                            u8(record, 23),
                            engine(record, 25),
                            outcome(record),
                            f64(record, 15),
                            u32(record, 10),
                            u8(record, 24) != 0,
                            load(record, 31, memoryColumn));
                case 1050 -> new RoutingEvent.RequestAbandoned(u64(record, 2));
                case 1060 -> new RoutingEvent.TimerFired(u64(record, 2));
                // Probe answers, peers' mail and notes on places: nothing that this library asks for.
                case 1070, 1080, 1100 -> null;
                default -> throw new WireException("record " + record + ": unknown code " + code);
            };
        }

        private EndpointUpdateKind listKind(int record) {
            int scope = u8(record, 2);
            return switch (scope) {
                case 0 -> EndpointUpdateKind.SNAPSHOT;
                case 1 -> EndpointUpdateKind.REMEMBERED;
                case 2 -> EndpointUpdateKind.DELTA;
                case 3 -> EndpointUpdateKind.FAILED;
                default -> throw new WireException("record " + record + ": list scope " + scope);
            };
        }

        private AttemptOutcome outcome(int record) {
            int result = u8(record, 14);
            return switch (result) {
                case 0 -> AttemptOutcome.COMPLETED;
                case 5 -> AttemptOutcome.ERROR;
                case 11 -> u32(record, 10) == 1 ? AttemptOutcome.STATE_LOST : AttemptOutcome.OVERLOADED;
                case 110 -> AttemptOutcome.TIMEOUT;
                case 111 -> AttemptOutcome.UNREACHABLE;
                case 104 -> AttemptOutcome.RESET;
                case 125 -> AttemptOutcome.CANCELLED;
                case 114 -> AttemptOutcome.NOT_SENT;
                case 210 -> AttemptOutcome.PROMPT_READ;
                default -> throw new WireException("record " + record + ": unknown result " + result);
            };
        }

        private LoadReport load(int record, int at, int memoryColumn) {
            boolean told = memoryColumn >= 0 && memoryColumn < u8(record, at);
            return new LoadReport(told ? f32(record, at + 1 + 4 * memoryColumn) : Double.NaN);
        }
    }

    /** Reads one batch; null at the end of input. */
    static Batch read(InputStream in) throws IOException {
        byte[] head = in.readNBytes(HEADER);
        if (head.length == 0) {
            return null;
        }
        if (head.length < HEADER) {
            throw new WireException("header: input ends after " + head.length + " of " + HEADER + " bytes");
        }
        ByteBuffer header = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN);
        long records = Integer.toUnsignedLong(header.getInt());
        long length = Integer.toUnsignedLong(header.getInt());
        if (records * EVENT > length || length > Integer.MAX_VALUE - HEADER) {
            throw new WireException("header: " + records + " records do not fit " + length + " bytes");
        }
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new WireException("body: input ends after " + body.length + " of " + length + " bytes");
        }
        return new Batch(
                header.getDouble(), (int) records, ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN));
    }

    /** A reply as it grows. */
    static final class Reply {
        private final ByteBuffer record = ByteBuffer.allocate(ACTION).order(ByteOrder.LITTLE_ENDIAN);
        private final ByteArrayOutputStream records = new ByteArrayOutputStream();
        private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
        private int count;

        private ByteBuffer start(int code) {
            java.util.Arrays.fill(record.array(), (byte) 0);
            return record.clear().putShort((short) code);
        }

        private void end() {
            records.write(record.array(), 0, ACTION);
            count++;
        }

        void instance(int number) {
            start(1140).putShort((short) number);
            end();
        }

        /** A datagram for every other instance of the tier. */
        void notifyAll(byte[] bytes) {
            start(1000).putInt(-1).putInt(tail.size()).putInt(bytes.length);
            tail.writeBytes(bytes);
            end();
        }

        void broken(String line) {
            text(1010, line);
        }

        private void text(int code, String line) {
            byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
            start(code).putInt(tail.size()).putInt(bytes.length);
            tail.writeBytes(bytes);
            end();
        }

        private static void engine(ByteBuffer to, long engine) {
            to.putInt((int) (engine >>> 16)).putShort((short) engine);
        }

        void action(RoutingAction action) {
            if (action instanceof RoutingAction.LogMessage log) {
                text(1110, log.text());
                return;
            }
            if (action instanceof RoutingAction.StartAttempt send) {
                ByteBuffer to = start(1060).putLong(send.requestId());
                engine(to, send.engine());
                to.putDouble(send.deadlineMs());
            } else if (action instanceof RoutingAction.CancelAttempt cancel) {
                start(1090).putLong(cancel.requestId()).put((byte) cancel.attempt());
            } else if (action instanceof RoutingAction.ReleaseState release) {
                start(1100).putLong(release.requestId());
            } else if (action instanceof RoutingAction.RejectRequest refuse) {
                start(1050).putLong(refuse.requestId()).putDouble(refuse.retryAfterMs());
            } else if (action instanceof RoutingAction.FailRequest fail) {
                start(1130).putLong(fail.requestId());
            } else if (action instanceof RoutingAction.SetTimer timer) {
                start(1070).putLong(timer.token()).putDouble(timer.atMs());
            } else if (action instanceof RoutingAction.SubscribeEndpoints) {
                start(1120).put((byte) 1);
            } else if (action instanceof RoutingAction.FetchEndpoints) {
                start(1150);
            }
            end();
        }

        byte[] bytes() {
            byte[] body = records.toByteArray();
            return ByteBuffer.allocate(8 + body.length + tail.size())
                    .order(ByteOrder.LITTLE_ENDIAN)
                    .putInt(body.length + tail.size())
                    .putInt(count)
                    .put(body)
                    .put(tail.toByteArray())
                    .array();
        }
    }
}
