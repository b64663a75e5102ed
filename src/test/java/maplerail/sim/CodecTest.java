package maplerail.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import maplerail.config.SettingsReader;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.EngineRole;
import maplerail.routing.LoadReport;
import maplerail.routing.RoutingAction;
import maplerail.routing.RoutingEvent;
import maplerail.routing.RoutingPolicy;
import maplerail.routing.RoutingSettings;
import org.junit.jupiter.api.Test;

class CodecTest {
    private static final String SETTINGS = """
            {"balancers": 1, "zone": 0, "tickMs": 2.0, "discovery": "push", "somethingNew": [1],
             "familyInfo": {"kindRole": ["read", "write"], "kindMemoryTokens": [1000, 2000], "pinLimitMs": 300.0},
             "lanes": [{"goalTimeMs": 1000.0, "deadlineMs": 4000.0, "repeat": "pure", "worth": 2.0}],
             "limits": {"sendCap": 5, "cancel": true},
             "rules": {"startCapacity": 0.3, "tipMultiple": 2.5, "overloadForMs": 3000.0, "warmAfterMs": 9000.0}}
            """;

    /** A batch made by hand. */
    private static final class Frame {
        final List<byte[]> records = new ArrayList<>();
        final ByteArrayOutputStream tail = new ByteArrayOutputStream();

        Frame add(int code, Consumer<ByteBuffer> fill) {
            ByteBuffer record =
                    ByteBuffer.allocate(64).order(ByteOrder.LITTLE_ENDIAN).putShort((short) code);
            fill.accept(record);
            records.add(record.array());
            return this;
        }

        Frame launch(String settings) {
            byte[] text = settings.getBytes(StandardCharsets.UTF_8);
            int at = tail.size();
            tail.writeBytes(text);
            return add(1110, r -> r.putShort((short) 3))
                    .add(1000, r -> r.putLong(1).putInt(at).putInt(text.length));
        }

        Frame list() {
            int at = tail.size();
            for (int i = 0; i < 2; i++) {
                tail.writeBytes(ByteBuffer.allocate(23)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .put((byte) 1)
                        .putDouble(0)
                        .putInt(0x0a000001 + i)
                        .putShort((short) 7000)
                        .put((byte) 0)
                        .putShort((short) 0)
                        .putFloat(1)
                        .put((byte) i)
                        .array());
            }
            return add(1010, r -> r.put((byte) 1).putLong(1).putInt(at).putInt(2));
        }

        Frame request(long id) {
            return add(
                    1020,
                    r -> r.putLong(id)
                            .put((byte) 1)
                            .putLong(11)
                            .put((byte) 0)
                            .putFloat(1802)
                            .putLong(5)
                            .putDouble(3000)
                            .putFloat(900)
                            .putInt(0)
                            .putFloat(256)
                            .putDouble(600));
        }

        byte[] bytes() {
            int length = records.size() * 64 + tail.size();
            ByteBuffer out = ByteBuffer.allocate(16 + length).order(ByteOrder.LITTLE_ENDIAN);
            out.putInt(records.size()).putInt(length).putDouble(500);
            records.forEach(out::put);
            return out.put(tail.toByteArray()).array();
        }
    }

    private record Run(int status, byte[] out, String errors) {}

    private static Run drill(byte[] input) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        int status = Adapter.run(
                new ByteArrayInputStream(input), out, new PrintStream(errors, true, StandardCharsets.UTF_8));
        return new Run(status, out.toByteArray(), errors.toString(StandardCharsets.UTF_8));
    }

    private static void refused(byte[] input, String... words) {
        Run run = drill(input);
        assertEquals(1, run.status());
        assertEquals(1, run.errors().lines().count(), run.errors());
        for (String word : words) {
            assertTrue(run.errors().contains(word), run.errors());
        }
    }

    @Test
    void endOfInputIsTheEnd() {
        assertEquals(0, drill(new byte[0]).status());
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() {
        Run run = drill(HexFormat.of().parseHex("00000000" + "00000000" + "00000000206ec040"));
        assertEquals("00".repeat(8), HexFormat.of().formatHex(run.out()));
    }

    @Test
    void aRequestIsSentToTheListedReader() {
        Run run = drill(new Frame().launch(SETTINGS).list().request(77).bytes());
        assertEquals("", run.errors());
        ByteBuffer reply = ByteBuffer.wrap(run.out()).order(ByteOrder.LITTLE_ENDIAN);
        int length = reply.getInt();
        int count = reply.getInt();
        assertEquals(run.out().length - 8, length);
        assertEquals(length, count * 24);
        assertEquals(1140, reply.getShort(8));
        assertEquals(3, reply.getShort(10));
        boolean sent = false;
        for (int at = 32; at < run.out().length; at += 24) {
            if (reply.getShort(at) == 1060) {
                assertEquals(77, reply.getLong(at + 2));
                assertEquals(0x0a000001, reply.getInt(at + 10));
                assertEquals(7000, reply.getShort(at + 14));
                assertEquals(3500.0, reply.getDouble(at + 16));
                sent = true;
            }
        }
        assertTrue(sent);
    }

    @Test
    void everyEventIsRead() throws IOException {
        byte[] frame = new Frame()
                .add(
                        1040,
                        r -> r.putLong(9)
                                .putInt(1)
                                .put((byte) 11)
                                .putDouble(18)
                                .put((byte) 2)
                                .put((byte) 1)
                                .putInt(0x01020304)
                                .putShort((short) 5)
                                .put((byte) 2)
                                .putFloat(0.5f)
                                .putFloat(0.25f))
                .add(
                        1030,
                        r -> r.putLong(9)
                                .put((byte) 2)
                                .putDouble(18)
                                .putInt(0x01020304)
                                .putShort((short) 5))
                .add(1050, r -> r.putLong(9))
                .add(1060, r -> r.putLong(-1))
                .add(1070, r -> {})
                .add(1080, r -> {})
                .add(1100, r -> {})
                .bytes();
        Codec.Batch batch = Codec.read(new ByteArrayInputStream(frame));
        long engine = 0x01020304L << 16 | 5;
        assertEquals(500, batch.clockMs);
        assertEquals(
                new RoutingEvent.AttemptEnded(
                        9, 2, engine, AttemptOutcome.STATE_LOST, 18, 1, true, new LoadReport(0.25f)),
                batch.event(0, 1));
        assertEquals(new RoutingEvent.FirstToken(9, 2, engine, 18), batch.event(1, -1));
        assertEquals(new RoutingEvent.RequestAbandoned(9), batch.event(2, -1));
        assertEquals(new RoutingEvent.TimerFired(-1), batch.event(3, -1));
        assertNull(batch.event(4, -1));
        assertNull(batch.event(5, -1));
        assertNull(batch.event(6, -1));
    }

    @Test
    void everyActionIsWritten() {
        long engine = 0x01020304L << 16 | 5;
        Codec.Reply reply = new Codec.Reply();
        reply.action(new RoutingAction.StartAttempt(1, engine, 2));
        reply.action(new RoutingAction.CancelAttempt(1, 2));
        reply.action(new RoutingAction.ReleaseState(1));
        reply.action(new RoutingAction.RejectRequest(1, 2));
        reply.action(new RoutingAction.FailRequest(1));
        reply.action(new RoutingAction.SetTimer(1, 2));
        reply.action(new RoutingAction.SubscribeEndpoints());
        reply.action(new RoutingAction.FetchEndpoints());
        reply.action(new RoutingAction.LogMessage("hi"));
        ByteBuffer bytes = ByteBuffer.wrap(reply.bytes()).order(ByteOrder.LITTLE_ENDIAN);
        int[] codes = {1060, 1090, 1100, 1050, 1130, 1070, 1120, 1150, 1110};
        assertEquals(9, bytes.getInt(4));
        for (int i = 0; i < codes.length; i++) {
            assertEquals(codes[i], bytes.getShort(8 + 24 * i));
        }
        assertEquals(0x01020304, bytes.getInt(8 + 10));
        assertEquals(9 * 24 + 2, bytes.getInt(0));
    }

    @Test
    void badFramesAreNamed() {
        byte[] good = new Frame().launch(SETTINGS).bytes();
        refused(java.util.Arrays.copyOf(good, 7), "header", "7 of 16");
        refused(java.util.Arrays.copyOf(good, good.length - 3), "body");
        refused(
                new Frame()
                        .add(1110, r -> r.putShort((short) 3))
                        .add(1050, r -> {})
                        .bytes(),
                "record 1",
                "instance 3");
        refused(new Frame().add(1050, r -> {}).bytes(), "record 0", "no instance named");
        refused(new Frame().launch(SETTINGS).add(4242, r -> {}).bytes(), "record 2", "4242");
        refused(
                new Frame()
                        .launch(SETTINGS)
                        .add(1010, r -> r.put((byte) 0).putLong(1).putInt(5).putInt(99))
                        .bytes(),
                "record 2",
                "outside a tail");
        refused(new Frame().launch(SETTINGS).add(1010, r -> r.put((byte) 9)).bytes(), "record 2", "list scope 9");
        refused(
                new Frame()
                        .launch(SETTINGS)
                        .add(1040, r -> {})
                        .add(1040, r -> r.position(14).put((byte) 77))
                        .bytes(),
                "record 3",
                "result 77");
    }

    @Test
    void badSettingsAreNamed() {
        refused(new Frame().launch("{oops").bytes(), "settings", "not JSON");
        refused(new Frame().launch("[]").bytes(), "settings", "object");
        refused(new Frame().launch(SETTINGS.replace("\"lanes\"", "\"x\"")).bytes(), "settings", "lanes", "missing");
        refused(
                new Frame()
                        .launch(SETTINGS.replace("\"sendCap\": 5", "\"sendCap\": \"5\""))
                        .bytes(),
                "sendCap");
        refused(new Frame().launch(SETTINGS.replace("\"pure\"", "\"odd\"")).bytes(), "repeat", "odd");
        refused(new Frame().launch(SETTINGS.replace("[\"read\"", "[\"typist\"")).bytes(), "kindRole", "typist");
        assertThrows(maplerail.config.ConfigException.class, () -> SettingsReader.read(1, ""));
    }

    @Test
    void settingsAreReadInTheLibrarysTerms() {
        RoutingSettings settings = SettingsReader.read(1, SETTINGS).settings();
        assertEquals(1, settings.overQuotaWeight());
        assertEquals(
                new RoutingSettings.EngineKind(EngineRole.WRITER, 2000),
                settings.engineKinds().get(1));
        assertEquals(5, settings.limits().maxAttempts());
        assertEquals(-1, SettingsReader.read(1, SETTINGS).memoryColumn());
    }

    @Test
    void aFaultOfTheModuleIsReportedOnTheWire() {
        byte[] frame = new Frame().launch(SETTINGS).list().request(77).bytes();
        RoutingPolicy broken = (now, events) -> {
            throw new IllegalStateException("oops");
        };
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            new Host(settings -> broken).serve(new ByteArrayInputStream(frame), out);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        String text = out.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains("instance 3: Arrival: java.lang.IllegalStateException: oops"), text);
    }
}
