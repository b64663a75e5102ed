package maplerail.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import maplerail.algorithms.TokenBucket;
import maplerail.fleet.MembershipMessage.Kind;
import maplerail.fleet.MembershipMessage.Update;

/**
 * Which gateways of the tier are alive: a failure detector with gossip after SWIM (Das, Gupta, Motivala: "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002), with two changes of Lifeguard (Dadgar,
 * Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018): a gateway that is late
 * itself probes more slowly (local health), and whoever is suspected is told first (buddy system).
 *
 * <p>Each period one gateway, chosen round robin from a shuffled list, is sent a ping; one that was heard within the period
 * needs none. Without an ack in time, a few others are asked to ping it; without any by the period's end it is suspect, and
 * dead once the suspicion has lasted unrefuted. A gateway that learns that it is suspected or dead takes a higher incarnation
 * and tells so. Changes ride on pings and acks; while there are any, a few more gateways a period are pinged. The cost of a
 * period is the same for each gateway whatever the size of the tier.
 */
public final class Membership {
    /** What is believed of a gateway; the order is part of the datagrams. */
    public enum State {
        /** It runs. */
        ALIVE,
        /** It did not answer. */
        SUSPECT,
        /** It did not refute a suspicion in time. */
        DEAD
    }

    /** A datagram to send to one gateway of the tier. */
    public record OutgoingDatagram(int recipient, byte[] bytes) {}

    /** How often this gateway declared another dead, refuted what was said of itself, and began a suspicion. */
    public record Totals(long deaths, long refutations, long suspicions) {}

    /** The time between two probes of a gateway that is healthy itself. */
    public static final double PERIOD_MS = 500;

    /** The version byte of its datagrams. */
    public static final int VERSION = MembershipMessage.FORMAT.version();

    private static final double DIRECT_ACK_SHARE = 0.4; // of a period; the rest is for indirect acks
    private static final int INDIRECT_PROBES = 3; // SWIM's k
    private static final double SUSPICION_PERIODS = 12; // times log10 of the tier, at least 1
    private static final int MAX_LOCAL_HEALTH = 8;
    private static final int NEWS_FANOUT = 2; // gateways pinged in a period for the sake of news alone
    private static final int DEAD_PROBE_PERIODS = 4; // between two pings to a dead gateway: a partition may have healed
    private static final int SUSPECTS_PINGED = 3; // in a period, beside the probe
    private static final int MAX_RELAYS = 2_048; // indirect probes that are not answered yet
    private static final double MAX_DATAGRAMS_PER_MS = 0.04; // of one sender
    private static final double DATAGRAM_BURST = 40;
    private static final double STALL_PERIODS = 3; // a tick that is later means that this process was stopped
    private static final double ALIVE_PERIODS = 2; // after a datagram, for which its sender is not declared dead
    private static final int NOBODY = -1;

    private static final class Member {
        final int rank;
        final TokenBucket datagrams = new TokenBucket(DATAGRAM_BURST, 0);
        State state = State.ALIVE;
        /** 0 if nothing was heard of it. */
        long incarnation;

        double lastHeardMs = Double.NEGATIVE_INFINITY;
        double suspectedMs;

        Member(int rank) {
            this.rank = rank;
        }
    }

    /** An indirect probe that was asked for. */
    private record Relay(int origin, int sequence, int subject) {}

    private final int rank;
    private final Member[] members;
    private final SplittableRandom random;
    private final MembershipNews news;
    private final List<Integer> probeOrder = new ArrayList<>();
    private final Map<Integer, Relay> relaysBySequence = new LinkedHashMap<>();
    private final List<Integer> newsOnProbe = new ArrayList<>();
    private final DropCounts dropped = new DropCounts();
    private long incarnation;
    private int sequence;
    /** Lifeguard's local health multiplier: 0 if this gateway is healthy. */
    private int localHealth;

    private int periods;
    private double periodStartMs;
    private double nextTickMs;
    private int probeTarget = NOBODY;
    private int probeSequence;
    private boolean probeAcked;
    private boolean indirectProbesSent;
    private double lastHeardMs;
    private long deaths;
    private long refutations;
    private long suspicions;
    private Traffic sent = Traffic.NONE;

    /**
     * Creates the view of one gateway. All others are believed to be alive until something says otherwise.
     *
     * @param rank the gateway's place in the tier
     * @param tierSize the number of gateways of the tier
     * @param startedMs the start of the process in Unix time, its first incarnation; a restart has a higher one
     * @param seed the source of all random draws
     */
    public Membership(int rank, int tierSize, double startedMs, long seed) {
        if (tierSize < 1 || rank < 0 || rank >= tierSize) {
            throw new IllegalArgumentException("rank " + rank + " of " + tierSize);
        }
        this.rank = rank;
        random = new SplittableRandom(seed);
        incarnation = Math.max(1, SerialNumbers.incarnationOf(startedMs));
        members = new Member[tierSize];
        Arrays.setAll(members, Member::new);
        news = new MembershipNews(tierSize);
        news.add(rank); // for those that believe the process before this one to be dead
        nextTickMs = startedMs + PERIOD_MS * random.nextDouble();
        periodStartMs = nextTickMs;
    }

    /** When {@link #tick} is due next. */
    public double nextTickMs() {
        return nextTickMs;
    }

    /** What is believed of a gateway; this one is always alive. */
    public State state(int ofRank) {
        return members[ofRank].state;
    }

    /** The number of gateways in a state. */
    public int count(State state) {
        return (int) in(state).count();
    }

    /** The number of gateways that are alive, this one included; a suspect is not. */
    public int aliveCount() {
        return count(State.ALIVE);
    }

    /**
     * The number of gateways that share the load, as limits are to be divided by: those alive, but half of the tier at least.
     * Otherwise each part of a tier that is partitioned would take the whole for itself.
     */
    public int loadSharingGateways() {
        return Math.max(aliveCount(), (members.length + 1) / 2);
    }

    /** What has happened so far. */
    public Totals totals() {
        return new Totals(deaths, refutations, suspicions);
    }

    /** The datagrams that were sent. */
    public Traffic sent() {
        return sent;
    }

    /** The datagrams that were dropped, by reason. */
    public Map<DropReason, Long> dropped() {
        return dropped.byReason();
    }

    private Stream<Member> in(State state) {
        return Arrays.stream(members).filter(member -> member.state == state);
    }

    // ---- Failure detector ----

    /** Does what is due at a time that is not before {@link #nextTickMs}; returns the datagrams to send. */
    public List<OutgoingDatagram> tick(double nowMs) {
        if (nowMs > nextTickMs + STALL_PERIODS * periodMs()) recoverFromStall(nowMs);
        if (!indirectProbesSent && probeTarget != NOBODY) return probeIndirectly();
        if (probeTarget != NOBODY) judgeProbe(nowMs);
        expireSuspicions(nowMs);
        return beginPeriod(nowMs);
    }

    private double periodMs() {
        return PERIOD_MS * (1 + localHealth);
    }

    /** What was not heard while this process was stopped says nothing of the others. */
    private void recoverFromStall(double nowMs) {
        double lostMs = nowMs - nextTickMs;
        in(State.SUSPECT).forEach(member -> member.suspectedMs += lostMs);
        probeTarget = NOBODY;
        worsenLocalHealth();
    }

    private void worsenLocalHealth() {
        localHealth = Math.min(MAX_LOCAL_HEALTH, localHealth + 1);
    }

    private List<OutgoingDatagram> probeIndirectly() {
        List<OutgoingDatagram> outgoing = new ArrayList<>();
        indirectProbesSent = true;
        if (!isProbeAnswered()) {
            for (int helper : pickAlive(INDIRECT_PROBES, probeTarget)) {
                outgoing.add(message(helper, Kind.PING_REQ, probeSequence, probeTarget));
            }
        }
        nextTickMs = periodStartMs + periodMs();
        return outgoing;
    }

    private boolean isProbeAnswered() {
        return probeAcked || members[probeTarget].lastHeardMs >= periodStartMs;
    }

    private void judgeProbe(double nowMs) {
        Member member = members[probeTarget];
        if (isProbeAnswered()) {
            localHealth = Math.max(0, localHealth - 1);
            return;
        }
        // Only who hears nobody at all is late itself: else a tier of which half died would slow down its search.
        if (lastHeardMs < periodStartMs) worsenLocalHealth();
        if (member.state == State.ALIVE) {
            suspicions++;
            change(member, State.SUSPECT, member.incarnation, nowMs);
        }
    }

    private void expireSuspicions(double nowMs) {
        double limitMs = SUSPICION_PERIODS * Math.max(1, Math.log10(members.length)) * PERIOD_MS;
        for (Member member : members) {
            if (member.state != State.SUSPECT || nowMs < member.suspectedMs + limitMs) continue;
            deaths++;
            change(member, State.DEAD, member.incarnation, nowMs);
        }
    }

    private List<OutgoingDatagram> beginPeriod(double nowMs) {
        List<OutgoingDatagram> outgoing = new ArrayList<>();
        periodStartMs = nowMs;
        indirectProbesSent = false;
        probeAcked = false;
        probeTarget = nextProbeTarget(nowMs);
        probeSequence = nextSequence();
        if (probeTarget != NOBODY) outgoing.add(message(probeTarget, Kind.PING, probeSequence, probeTarget));
        if (!news.isEmpty()) pickAlive(NEWS_FANOUT, probeTarget).forEach(other -> outgoing.add(ping(other)));
        in(State.SUSPECT)
                .filter(member -> member.rank != probeTarget)
                .limit(SUSPECTS_PINGED)
                .forEach(member -> outgoing.add(ping(member.rank)));
        periods++;
        if (periods % DEAD_PROBE_PERIODS == 0) probeDead(outgoing);
        nextTickMs = nowMs + (probeTarget == NOBODY ? periodMs() : DIRECT_ACK_SHARE * periodMs());
        return outgoing;
    }

    private void probeDead(List<OutgoingDatagram> outgoing) {
        List<Member> dead = in(State.DEAD).toList();
        if (dead.isEmpty()) return;
        int recipient = dead.get(random.nextInt(dead.size())).rank;
        outgoing.add(message(recipient, Kind.PING, nextSequence(), NOBODY));
    }

    private int nextSequence() {
        sequence = SerialNumbers.nextSequence(sequence);
        return sequence;
    }

    /** The next gateway to probe, round robin over a list that is shuffled each time round; nobody if none needs it. */
    private int nextProbeTarget(double nowMs) {
        for (int i = 0; i < members.length; i++) {
            if (probeOrder.isEmpty()) shuffleProbeOrder();
            if (probeOrder.isEmpty()) return NOBODY;
            Member member = members[probeOrder.remove(probeOrder.size() - 1)];
            if (member.state != State.DEAD && member.lastHeardMs < nowMs - periodMs()) return member.rank;
        }
        return NOBODY;
    }

    private void shuffleProbeOrder() {
        for (Member member : members) {
            if (member.rank != rank) probeOrder.add(member.rank);
        }
        Collections.shuffle(probeOrder, new Random(random.nextLong()));
    }

    private List<Integer> pickAlive(int limit, int except) {
        List<Integer> ranks = new ArrayList<>();
        in(State.ALIVE).map(member -> member.rank).forEach(ranks::add);
        ranks.removeIf(other -> other == rank || other == except);
        Collections.shuffle(ranks, new Random(random.nextLong()));
        return ranks.subList(0, Math.min(limit, ranks.size()));
    }

    // ---- Dissemination ----

    private void change(Member member, State state, long knownIncarnation, double nowMs) {
        if (state == State.SUSPECT && member.state != State.SUSPECT) member.suspectedMs = nowMs;
        // That a gateway which was believed to be alive unheard is alive indeed is not passed on: a tier that starts
        // would tell nothing else.
        boolean isNews = member.state != state || member.incarnation != 0;
        member.state = state;
        member.incarnation = knownIncarnation;
        if (isNews) news.add(member.rank);
    }

    private OutgoingDatagram ping(int recipient) {
        return message(recipient, Kind.PING, nextSequence(), recipient);
    }

    private OutgoingDatagram message(int recipient, Kind kind, int number, int subject) {
        // What a probe carries counts as sent once it is answered, as its target may be dead.
        boolean isProbe = kind == Kind.PING && number == probeSequence && subject == probeTarget;
        List<Update> updates = updatesFor(recipient);
        if (isProbe) newsOnProbe.clear();
        for (Update update : updates) {
            boolean aboutRecipient = update.rank() == recipient && members[recipient].state != State.ALIVE;
            if (aboutRecipient) continue;
            if (isProbe) newsOnProbe.add(update.rank());
            else news.recordSent(update.rank());
        }
        int encodedSubject = subject & 0xffff;
        byte[] bytes = new MembershipMessage(rank, incarnation, kind, number, encodedSubject, updates).encode();
        sent = sent.plus(bytes);
        return new OutgoingDatagram(recipient, bytes);
    }

    /** First of all what is believed of the recipient, where that is not good; then the news that were sent least often. */
    private List<Update> updatesFor(int recipient) {
        List<Update> updates = new ArrayList<>();
        boolean warned = members[recipient].state != State.ALIVE;
        if (warned) updates.add(updateOf(members[recipient]));
        for (int subject : news.leastSentFirst()) {
            if (updates.size() == MembershipMessage.FORMAT.maxEntries()) break;
            if (subject != recipient || !warned) updates.add(updateOf(members[subject]));
        }
        return updates;
    }

    private Update updateOf(Member member) {
        return new Update(member.rank, member.state, member.rank == rank ? incarnation : member.incarnation);
    }

    // ---- Datagrams that arrive ----

    /** Notes that a datagram of another kind came from a gateway: it runs, under that incarnation. */
    public void recordDatagramFrom(int sender, long senderIncarnation, double nowMs) {
        if (sender < 0 || sender >= members.length || sender == rank) return;
        Member member = members[sender];
        member.lastHeardMs = nowMs;
        lastHeardMs = nowMs;
        if (isNewer(senderIncarnation, member.incarnation)) change(member, State.ALIVE, senderIncarnation, nowMs);
    }

    /**
     * Takes in a datagram.
     *
     * @param sender the rank of the gateway from whose address it came; -1 for an address that is of none
     * @return the datagrams to send in answer
     */
    public List<OutgoingDatagram> receive(int sender, byte[] bytes, int length, double nowMs) {
        if (sender < 0 || sender >= members.length) return drop(DropReason.UNKNOWN_SENDER);
        MembershipMessage message;
        try {
            message = MembershipMessage.decode(bytes, length);
        } catch (MalformedDatagramException e) {
            return drop(e.reason());
        }
        if (message.rank() != sender) return drop(DropReason.SPOOFED);
        if (sender == rank) return drop(DropReason.OWN);
        TokenBucket datagrams = members[sender].datagrams;
        datagrams.refill(nowMs, MAX_DATAGRAMS_PER_MS, DATAGRAM_BURST);
        if (!datagrams.consumeOrDrain()) return drop(DropReason.FLOOD);
        recordDatagramFrom(sender, message.incarnation(), nowMs);
        return handle(message, nowMs);
    }

    private List<OutgoingDatagram> drop(DropReason reason) {
        dropped.add(reason);
        return List.of();
    }

    private List<OutgoingDatagram> handle(MembershipMessage message, double nowMs) {
        List<OutgoingDatagram> outgoing = new ArrayList<>();
        long refutationsBefore = refutations;
        for (Update update : message.updates()) learn(update, nowMs);
        if (refutations > refutationsBefore) {
            pickAlive(INDIRECT_PROBES, message.rank()).forEach(other -> outgoing.add(ping(other)));
        }
        switch (message.kind()) {
            case PING -> outgoing.add(message(message.rank(), Kind.ACK, message.sequence(), rank));
            case ACK -> handleAck(message, outgoing);
            case PING_REQ -> relayPing(message, outgoing);
        }
        return outgoing;
    }

    private void relayPing(MembershipMessage message, List<OutgoingDatagram> outgoing) {
        int subject = message.subject();
        if (subject >= members.length || subject == rank) return;
        int number = nextSequence();
        relaysBySequence.put(number, new Relay(message.rank(), message.sequence(), subject));
        if (relaysBySequence.size() > MAX_RELAYS) removeEldestRelay();
        outgoing.add(message(subject, Kind.PING, number, subject));
    }

    private void removeEldestRelay() {
        Iterator<Integer> eldest = relaysBySequence.keySet().iterator();
        eldest.next();
        eldest.remove();
    }

    private void handleAck(MembershipMessage message, List<OutgoingDatagram> outgoing) {
        boolean direct = message.subject() == message.rank();
        Relay relay = direct ? relaysBySequence.get(message.sequence()) : null;
        if (relay != null && relay.subject() == message.rank()) {
            relaysBySequence.remove(message.sequence());
            outgoing.add(message(relay.origin(), Kind.ACK, relay.sequence(), relay.subject()));
        }
        if (message.sequence() != probeSequence || message.subject() != probeTarget || probeAcked) return;
        probeAcked = true;
        if (message.rank() == probeTarget) newsOnProbe.forEach(news::recordSent);
    }

    /** SWIM's order of what overrides what; what is bad of this gateway itself is refuted. */
    private void learn(Update update, double nowMs) {
        if (update.rank() >= members.length) return;
        if (update.rank() == rank) {
            learnOfItself(update, nowMs);
            return;
        }
        Member member = members[update.rank()];
        boolean newer = isNewer(update.incarnation(), member.incarnation);
        boolean same = update.incarnation() == member.incarnation;
        switch (update.state()) {
            case ALIVE -> {
                if (newer) change(member, State.ALIVE, update.incarnation(), nowMs);
            }
            case SUSPECT -> {
                boolean suspected = newer || same && member.state == State.ALIVE;
                if (suspected) change(member, State.SUSPECT, update.incarnation(), nowMs);
            }
            case DEAD -> {
                if ((newer || same) && member.state != State.DEAD) learnOfDeath(member, update, nowMs);
            }
        }
    }

    private void learnOfItself(Update update, double nowMs) {
        boolean bad = update.state() != State.ALIVE && !isNewer(incarnation, update.incarnation());
        if (!bad && !isNewer(update.incarnation(), incarnation)) return;
        incarnation = Math.max(1, SerialNumbers.nextIncarnation(update.incarnation()));
        if (bad) {
            refutations++;
            worsenLocalHealth();
        }
        change(members[rank], State.ALIVE, incarnation, nowMs);
    }

    /** A gateway that was heard just now is only suspected: whoever says that it is dead may be cut off, or lie. */
    private void learnOfDeath(Member member, Update update, double nowMs) {
        boolean justHeard = nowMs - member.lastHeardMs < ALIVE_PERIODS * periodMs();
        if (justHeard && member.state == State.SUSPECT) return;
        change(member, justHeard ? State.SUSPECT : State.DEAD, update.incarnation(), nowMs);
        if (!justHeard) deaths++;
    }

    private static boolean isNewer(long incarnation, long than) {
        return incarnation != 0
                && (than == 0 || SerialNumbers.isAfter(incarnation, than, SerialNumbers.INCARNATION_BITS));
    }
}
