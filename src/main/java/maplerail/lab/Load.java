package maplerail.lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import maplerail.lab.Ledger.End;

/**
 * An open-loop load: what arrives when is drawn from the seed before the first request goes out, and waits for no answer.
 * Sessions arrive by a Poisson process, with turns whose prompts grow; some begin with a shared text. Clients come again
 * after a refusal, as they are told, ask for the rest of a stream that broke, and some give up early.
 */
final class Load {
    private static final double THINK_MS = 1_500; // between a session's turns, at the mean
    private static final double TURN_TOKENS = 400; // that a turn adds
    private static final double LATE_MS = 500; // past its time after which an answer is waited for no longer
    private static final int STALL_MS = 6_000;
    private static final int CONNECT_MS = 1_000;
    static final String[] KINDS = {"lookup", "repair-order"};
    static final double[] DEADLINE_MS = {6_000, 8_000};

    /** One request as it is to be sent. */
    record Plan(
            String id,
            double dueMs,
            int zone,
            int kind,
            String session,
            double prompt,
            int prefix,
            int tokens,
            double giveUpMs) {}

    private final Experiment experiment;
    private final Rig rig;
    private final Ledger ledger;

    Load(Experiment experiment, Rig rig) {
        this.experiment = experiment;
        this.rig = rig;
        ledger = rig.ledger();
    }

    /** All requests of an experiment, in the order of their times; the same for the same seed. */
    static List<Plan> plan(Experiment experiment) {
        Experiment.LoadSpec load = experiment.load();
        SplittableRandom random = new SplittableRandom(experiment.seed());
        List<Plan> out = new ArrayList<>();
        double end = 1_000 * experiment.seconds();
        int number = 0;
        for (double at = 0; at < end; number++) {
            boolean burst = at >= load.burstAtMs() && at < load.burstAtMs() + load.burstForMs();
            double perMs = load.perSecond() / load.turns() / 1_000 * (burst ? load.burstFactor() : 1);
            at += -Math.log(1 - random.nextDouble()) / perMs;
            int kind = random.nextDouble() < load.unsafeShare() ? 1 : 0;
            int prefix = load.prefixes() > 0 ? random.nextInt(load.prefixes() + 1) - 1 : -1;
            int zone = experiment
                    .gateways()
                    .get(random.nextInt(experiment.gateways().size()));
            double prompt = (prefix < 0 ? 0 : load.prefixTokens())
                    + load.promptTokens() * (0.3 + 0.7 * random.nextDouble()) / 2;
            double due = at;
            int turn = 0;
            do {
                int tokens = (int) Math.max(8, load.answerTokens() * (0.5 + random.nextDouble()));
                double giveUp = random.nextDouble() < load.giveUpShare() ? 200 + 800 * random.nextDouble() : 0;
                if (due < end)
                    out.add(new Plan(
                            "r" + number + "t" + turn,
                            due,
                            zone,
                            kind,
                            Integer.toHexString(number + 1),
                            prompt,
                            prefix,
                            tokens,
                            giveUp));
                prompt += TURN_TOKENS + tokens;
                due += THINK_MS * (0.5 + random.nextDouble());
                turn++;
            } while (random.nextDouble() < 1 - 1 / load.turns());
        }
        out.sort(Comparator.comparingDouble(Plan::dueMs));
        return out;
    }

    /** Sends everything at its time, and returns when each has ended. */
    void play() throws InterruptedException {
        ExecutorService clients = Executors.newCachedThreadPool(r -> {
            Thread thread = new Thread(r, "client");
            thread.setDaemon(true);
            return thread;
        });
        int next = 0;
        for (Plan plan : plan(experiment)) {
            long wait = (long) (1_000 * (plan.dueMs - ledger.nowMs()));
            if (wait > 0) TimeUnit.MICROSECONDS.sleep(wait);
            Ledger.Page page = new Ledger.Page(plan.id, KINDS[plan.kind], plan.zone, plan.kind == 1, plan.dueMs);
            ledger.open(page);
            int from = next++;
            clients.execute(() -> client(plan, page, from));
        }
        clients.shutdown();
        clients.awaitTermination(2, TimeUnit.MINUTES);
    }

    private void client(Plan plan, Ledger.Page page, int from) {
        try {
            End end = End.UNREACHABLE;
            int tokens = plan.tokens;
            boolean again = false;
            for (int n = 0; n < experiment.load().tries(); n++) {
                page.tries.incrementAndGet();
                if (n > 0) ledger.count("retries");
                Try one = new Try(plan, page, n, tokens, again);
                end = one.run(gateway(plan.zone, from + n));
                ledger.count("end " + end.name().toLowerCase(Locale.ROOT));
                if (!comesAgain(page, end)) break;
                again |= end == End.BROKEN;
                tokens = Math.max(8, tokens - one.heard * 8);
                TimeUnit.MILLISECONDS.sleep(end == End.BROKEN ? 0 : Math.max(50, one.retryAfterMs));
            }
            page.endMs = ledger.nowMs();
            page.end = end;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether a client tries once more: always where that does no harm, else only what is safe to repeat. */
    static boolean comesAgain(Ledger.Page page, End end) {
        return end == End.REFUSED
                || end == End.UNREACHABLE
                || end == End.BROKEN
                || !page.unsafe && (end == End.CLOSED || end == End.FAILED);
    }

    /** A plain front: the zone's gateways in turn, whether they are there or not. */
    private int gateway(int zone, int turn) {
        List<Integer> there = new ArrayList<>();
        for (int g = 0; g < experiment.gateways().size(); g++)
            if (experiment.gateways().get(g) == zone) there.add(g);
        return there.get(turn % there.size());
    }

    /** One request on one connection. */
    private final class Try {
        private final Plan plan;
        private final Ledger.Page page;
        private final int number;
        private final int tokens;
        private final boolean again;
        private int heard;
        private long retryAfterMs;

        Try(Plan plan, Ledger.Page page, int number, int tokens, boolean again) {
            this.plan = plan;
            this.page = page;
            this.number = number;
            this.tokens = tokens;
            this.again = again;
        }

        End run(int gateway) {
            boolean begun = false;
            boolean connected = false;
            try (Socket socket = new Socket()) {
                InetSocketAddress at = rig.clients(gateway);
                if (at.getPort() == 0) return End.UNREACHABLE;
                socket.connect(at, CONNECT_MS);
                connected = true;
                double wait = plan.giveUpMs > 0 ? plan.giveUpMs : DEADLINE_MS[plan.kind] + LATE_MS;
                socket.setSoTimeout((int) wait);
                Wire.write(socket, text());
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String first = Wire.line(in);
                if (first == null) return End.CLOSED;
                int status = Integer.parseInt(first.split(" ")[1]);
                for (String line = Wire.line(in); line != null && !line.isEmpty(); line = Wire.line(in)) {
                    if (line.toLowerCase(Locale.ROOT).startsWith("retry-after:")) {
                        retryAfterMs = Math.round(
                                1_000 * Double.parseDouble(line.substring(12).trim()));
                    }
                }
                if (status == 429 || status == 503) return End.REFUSED;
                if (status != 200) return End.FAILED;
                begun = true;
                if (Double.isNaN(page.firstMs)) page.firstMs = ledger.nowMs();
                socket.setSoTimeout(STALL_MS);
                return stream(in) ? End.SERVED : End.BROKEN;
            } catch (SocketTimeoutException e) {
                return plan.giveUpMs > 0 ? End.GAVE_UP : End.TIMED_OUT;
            } catch (IOException e) {
                return begun ? End.BROKEN : connected ? End.CLOSED : End.UNREACHABLE;
            }
        }

        private boolean stream(InputStream in) throws IOException {
            while (true) {
                String size = Wire.line(in);
                if (size == null) return false;
                int length = Integer.parseInt(size.trim(), 16);
                if (in.readNBytes(length).length < length) return false;
                if (Wire.line(in) == null) return false;
                if (length == 0) return true;
                heard++;
            }
        }

        private String text() {
            String body = "{\"stream\":true}";
            String prefix = plan.prefix < 0
                    ? ""
                    : "prefix=" + Integer.toHexString(0xa000 + plan.prefix) + ",prefix_len="
                            + Math.round(experiment.load().prefixTokens()) + ",";
            return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\nReq-Id: " + plan.id
                    + (number == 0 ? "" : "." + number) + "\r\nReq-Kind: " + KINDS[plan.kind]
                    + "\r\nReq-Owner: lab\r\nReq-Key: "
                    + plan.session + "\r\n" + (again ? "Req-Retry: again\r\n" : "")
                    + String.format(Locale.ROOT, "Req-Deadline: %.1f\r\n", DEADLINE_MS[plan.kind] / 1_000)
                    + "Lab-Tokens: "
                    + tokens + "\r\nReq-Extra: " + prefix + "prompt_len=" + Math.round(plan.prompt) + ",max_out="
                    + 2 * plan.tokens + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        }
    }
}
