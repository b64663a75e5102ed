package maplerail.support;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import maplerail.lab.FaultNet;

/**
 * Readers and writers on loopback behind a {@link FaultNet}, with a {@link StateLedger} of what they hold. A release undoes
 * the reads of its request that run at the engine where it arrives, and takes away the states and places held anywhere.
 *
 * <p>A writer that is asked for a place while a read of the request runs says 200 and keeps one, or 409. Otherwise it says
 * 204 after a while and may keep a place all the same, some from the call on, some from the answer on.
 */
public final class StandInFleet implements AutoCloseable {
    private static final long SHORTEST_READ_MS = 20;
    private static final int READ_SPREAD_MS = 110;
    private static final double PLACE_ODDS = 0.7; // that a writer which is asked during a read keeps a place
    private static final String RESERVATIONS = "/internal/reservations/";
    private static final long NO_READ_MS = 300; // after which a writer that was asked for a place knows of no read

    public final StateLedger ledger = new StateLedger();
    public final EngineLog log = new EngineLog();
    public final List<Engine> readers = new ArrayList<>();
    public final List<Engine> writers = new ArrayList<>();
    public volatile boolean writersDecline;
    /** Readers say with a whole head that a read has ended, and never end the answer. */
    public volatile boolean readersNeverEndAnswers;
    /** The share of the answers 'no read is known' after which the writer keeps a place all the same. */
    public volatile double unknownPlaceOdds;
    /** How much longer some reads take, in milliseconds: one in so many, by the request's id. */
    public volatile long slowReadMs;

    public volatile int slowReadOneIn = 1;
    /** How long a stream may last, in milliseconds; each has its time by the request's id. */
    public volatile long maxStreamMs;

    /** One in so many streams has an event that is written over a time, in milliseconds; 0 for none. */
    public volatile int slowStreamOneIn;

    public volatile long slowEventMs;
    /** One in so many streams ends in good order after its first event; 0 for none. */
    public volatile int cutStreamOneIn;

    private final SplittableRandom random;
    private final FaultNet net;

    /** One read at one engine. */
    private static final class Read {
        private final String id;
        private volatile boolean undone;

        Read(String id) {
            this.id = id;
        }
    }

    public StandInFleet(long seed, int readerCount, int writerCount, World world) throws IOException {
        net = new FaultNet(seed);
        random = new SplittableRandom(seed);
        for (int i = 0; i < readerCount; i++) readers.add(new Engine("prefill", i, world));
        for (int i = 0; i < writerCount; i++) writers.add(new Engine("decode", i, world));
    }

    private boolean isReading(String id) {
        return readers.stream().flatMap(reader -> reader.runningReads.stream()).anyMatch(read -> read.id.equals(id));
    }

    private synchronized boolean draws(double odds) {
        return random.nextDouble() < odds;
    }

    /** All engines, readers first. */
    public List<Engine> engines() {
        List<Engine> all = new ArrayList<>(readers);
        all.addAll(writers);
        return all;
    }

    @Override
    public void close() throws IOException {
        for (Engine engine : engines()) engine.server.close();
        net.close();
    }

    /** One engine and the link to it. */
    public final class Engine {
        public final String name;
        public final String kind;
        public final FaultNet.Link link;
        private final StandIn server;
        private final Set<Read> runningReads = ConcurrentHashMap.newKeySet();
        private boolean hung;

        private Engine(String kind, int number, World world) throws IOException {
            name = kind + number;
            this.kind = kind;
            server = new StandIn(kind.equals("prefill") ? this::serveReader : this::serveWriter);
            link = net.link(name, server.socketAddress());
            world.engine(name, kind, link.address());
        }

        /** Does nothing more until {@link #goOn}, though its machine still takes connections and bytes. */
        public synchronized void hang() {
            hung = true;
        }

        /** Goes on with what it was doing. */
        public synchronized void goOn() {
            hung = false;
            notifyAll();
        }

        /** Hangs for a while, from now on. */
        public void freeze(long forMs) {
            hang();
            CompletableFuture.delayedExecutor(forMs, TimeUnit.MILLISECONDS).execute(this::goOn);
        }

        private synchronized void awaitRunning() throws InterruptedException {
            while (hung) wait();
        }

        private void serveReader(StandIn.Exchange exchange) throws Exception {
            double arrivedMs = KeptConnection.nowMs();
            awaitRunning();
            if (release(exchange)) return;
            String id = exchange.headers.get("req-id");
            log.onAttempt(id, arrivedMs);
            Read read = new Read(id);
            ledger.attemptBegins(id);
            runningReads.add(read);
            boolean abandoned = exchange.isEndedWithin(readMs(id));
            if (abandoned) ledger.attemptEnds(id);
            awaitRunning();
            runningReads.remove(read);
            if (!abandoned) ledger.attemptEnds(id);
            // A read may end well although its connection was closed before.
            if (!read.undone) ledger.stateLeft(id);
            if (readersNeverEndAnswers) exchange.write("HTTP/1.1 202 X\r\nContent-Length: 100\r\n\r\n{");
            else exchange.reply(202, "{\"cached_tokens\":0}");
        }

        private long readMs(String id) {
            long usualMs = SHORTEST_READ_MS + Math.floorMod(id.hashCode(), READ_SPREAD_MS);
            boolean slow = slowReadMs > 0 && Math.floorMod(id.hashCode(), slowReadOneIn) == 0;
            return slow ? usualMs + slowReadMs : usualMs;
        }

        private void serveWriter(StandIn.Exchange exchange) throws Exception {
            double arrivedMs = KeptConnection.nowMs();
            awaitRunning();
            if (release(exchange) || reservePlace(exchange)) return;
            String id = exchange.headers.get("req-id");
            if (writersDecline) {
                exchange.reply(503, "", "Srv-Declined: 1");
                return;
            }
            log.onAttempt(id, arrivedMs);
            ledger.attemptBegins(id);
            boolean held = ledger.take(id);
            ledger.attemptEnds(id);
            if (!held) {
                exchange.reply(410, "", "Srv-Declined: 1");
                return;
            }
            log.onExecution(id);
            exchange.stream();
            if (isOneOf(id, cutStreamOneIn)) {
                exchange.chunk("data: {\"a\":1}\n\n");
                exchange.last();
                return;
            }
            if (isOneOf("slow" + id, slowStreamOneIn)) writeSlowly(exchange);
            if (maxStreamMs > 0) {
                exchange.chunk("data: {\"a\":1}\n\n");
                TimeUnit.MILLISECONDS.sleep(Math.floorMod(id.hashCode(), maxStreamMs));
            }
            exchange.chunk("data: [DONE]\n\n");
            exchange.last();
        }

        private static boolean isOneOf(String id, int oneIn) {
            return oneIn > 0 && Math.floorMod(id.hashCode(), oneIn) == 0;
        }

        /** Writes an event in pieces, the last of which comes after a while. */
        private void writeSlowly(StandIn.Exchange exchange) throws Exception {
            exchange.chunk("data: {\"a\":0}\n\n");
            for (String piece : List.of("f\r\ndata", ": {\"a\":1}", "\n\n\r\n")) {
                TimeUnit.MILLISECONDS.sleep(slowEventMs / 3);
                exchange.write(piece);
            }
        }

        /** Says whether a read is in flight, and keeps a place or not. */
        private boolean reservePlace(StandIn.Exchange exchange) throws Exception {
            if (!exchange.method.equals("POST") || !exchange.target.startsWith(RESERVATIONS)) return false;
            String id = exchange.target.substring(RESERVATIONS.length());
            if (isReading(id)) {
                boolean keeps = draws(PLACE_ODDS);
                if (keeps) ledger.placeKept(id);
                exchange.reply(keeps ? 200 : 409, "");
                return true;
            }
            boolean keeps = draws(unknownPlaceOdds);
            boolean atOnce = draws(0.5);
            if (keeps && atOnce) ledger.placeKept(id);
            TimeUnit.MILLISECONDS.sleep(NO_READ_MS);
            if (keeps && !atOnce) ledger.placeKept(id);
            exchange.reply(204, "");
            return true;
        }

        private boolean release(StandIn.Exchange exchange) throws IOException {
            if (!exchange.method.equals("DELETE")) return false;
            String id = exchange.target.substring(exchange.target.lastIndexOf('/') + 1);
            runningReads.stream().filter(read -> read.id.equals(id)).forEach(read -> read.undone = true);
            ledger.release(id);
            exchange.reply(204, "");
            return true;
        }
    }
}
