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
 * Tracks which gateways of the tier are alive: a failure detector with gossip after SWIM (Das, Gupta, Motivala: "SWIM:
 * Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002), with two extensions from
 * Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018):
 * a gateway that is slow itself probes less often (local health), and a suspected gateway is notified first (buddy
 * system).
 *
 * <p>Each period one gateway, chosen round robin from a shuffled list, is sent a ping; a gateway from which a datagram
 * was received within the period is skipped. Without an ack in time, a few other gateways are requested to ping it
 * (ping-req); without any ack by the end of the period it becomes suspect, and dead if it does not refute the suspicion
 * in time. A gateway that receives an update that it is suspect or dead switches to a higher incarnation and announces
 * it. Updates are piggybacked on pings and acks; while there are any, a few more gateways are pinged per period. The
 * cost of a period for each gateway does not depend on the size of the tier.
 */
public final class Membership {
    /** The state of a gateway as seen from this one; the ordinals are part of the datagrams. */
    public enum State {
        /** Running. */
        ALIVE,
        /** Did not answer a probe. */
        SUSPECT,
        /** Did not refute a suspicion in time. */
        DEAD
    }

    /** A datagram to send to one gateway of the tier. */
    public record OutgoingDatagram(int recipient, byte[] bytes) {}

    /** How often this gateway marked another dead, refuted an update about itself, and started a suspicion. */
    public record Totals(long deaths, long refutations, long suspicions) {}

    /** The time between two probes while this gateway's local health is good. */
    public static final double PERIOD_MS = 500;

    /** The version byte of this protocol's datagrams. */
    public static final int VERSION = MembershipMessage.FORMAT.version();

    private static final double DIRECT_ACK_SHARE = 0.4; // of a period; the rest is for indirect acks
    private static final int INDIRECT_PROBES = 3; // k in SWIM
    private static final double SUSPICION_PERIODS = 12; // times log10 of the tier size, but at least 1
    private static final int MAX_LOCAL_HEALTH = 8;
    private static final int UPDATE_FANOUT = 2; // gateways pinged per period only to send updates
    private static final int DEAD_PROBE_PERIODS = 4; // interval of pings to dead gateways: a partition may have healed
    private static final int MAX_SUSPECTS_PINGED = 3; // per period, in addition to the probe
    private static final int MAX_RELAYS = 2_048; // requested pings that are not answered yet
    private static final double MAX_DATAGRAMS_PER_MS = 0.04; // rate limit per sender
    private static final double DATAGRAM_BURST = 40;
    private static final double STALL_PERIODS = 3; // a tick later than this means that the process was paused
    private static final double RECENT_DATAGRAM_PERIODS = 2; // after a datagram, in which its sender is not marked dead
    private static final int NO_RANK = -1;

    private static final class Member {
        final int rank;
        final TokenBucket rateLimit = new TokenBucket(DATAGRAM_BURST, 0);
        State state = State.ALIVE;
        /** 0 if unknown: nothing was received from or about the gateway. */
        long incarnation;

        double lastReceivedMs = Double.NEGATIVE_INFINITY;
        double suspectedMs;

        Member(int rank) {
            this.rank = rank;
        }
    }

    /** A ping that another gateway requested (ping-req). */
    private record Relay(int origin, int sequence, int subject) {}

    private final int rank;
    private final Member[] members;
    private final SplittableRandom random;
    private final PendingUpdates pendingUpdates;
    private final List<Integer> probeOrder = new ArrayList<>();
    private final Map<Integer, Relay> relaysBySequence = new LinkedHashMap<>();
    private final List<Integer> ranksUpdatedByProbe = new ArrayList<>();
    private final DropCounts dropped = new DropCounts();
    private long incarnation;
    private int sequence;
    /** Lifeguard's local health multiplier: 0 if this gateway is healthy. */
    private int localHealth;

    private int periods;
    private double periodStartMs;
    private double nextTickMs;
    private int probeTarget = NO_RANK;
    private int probeSequence;
    private boolean probeAcked;
    private boolean indirectProbesSent;
    private double lastReceivedFromAnyMs;
    private long deaths;
    private long refutations;
    private long suspicions;
    private Traffic sent = Traffic.NONE;

    /**
     * Creates the view of one gateway. All others are initially considered alive.
     *
     * @param rank the gateway's rank in the tier
     * @param tierSize the number of gateways of the tier
     * @param startedMs the start of the process in Unix time, its first incarnation; a restart has a higher one
     * @param seed the seed of all random draws
     */
    public Membership(int rank, int tierSize, double startedMs, long seed) {
        if (tierSize < 1 || rank < 0 || rank >= tierSize) {
            throw new IllegalArgumentException("rank " + rank + " is out of range for tier size " + tierSize);
        }
        this.rank = rank;
        random = new SplittableRandom(seed);
        incarnation = Math.max(1, SerialNumbers.incarnationForStart(startedMs));
        members = new Member[tierSize];
        Arrays.setAll(members, Member::new);
        pendingUpdates = new PendingUpdates(tierSize);
        pendingUpdates.add(rank); // other gateways may consider the previous process dead
        nextTickMs = startedMs + PERIOD_MS * random.nextDouble();
        periodStartMs = nextTickMs;
    }

    /** Returns when {@link #tick} is due next. */
    public double nextTickMs() {
        return nextTickMs;
    }

    /** Returns the state of a gateway; this one is always alive. */
    public State state(int ofRank) {
        return members[ofRank].state;
    }

    /** Returns the number of gateways in a state. */
    public int count(State state) {
        return (int) membersIn(state).count();
    }

    /** Returns the number of alive gateways, including this one and excluding suspects. */
    public int aliveCount() {
        return count(State.ALIVE);
    }

    /**
     * Returns the number of gateways that share the load, by which limits are divided: the alive ones, but at least
     * half of the tier. Without that minimum, each part of a partitioned tier would use the whole limit.
     */
    public int loadSharingGateways() {
        return Math.max(aliveCount(), (members.length + 1) / 2);
    }

    /** Returns the event counts since the start. */
    public Totals totals() {
        return new Totals(deaths, refutations, suspicions);
    }

    /** Returns the number and size of the datagrams sent. */
    public Traffic sent() {
        return sent;
    }

    /** Returns the number of dropped datagrams by reason. */
    public Map<DropReason, Long> dropped() {
        return dropped.byReason();
    }

    private Stream<Member> membersIn(State state) {
        return Arrays.stream(members).filter(member -> member.state == state);
    }

    // ---- Failure detector ----

    /**
     * Runs the next step of the failure detector, not before {@link #nextTickMs}, and returns the datagrams to send.
     */
    public List<OutgoingDatagram> tick(double nowMs) {
        if (nowMs > nextTickMs + STALL_PERIODS * periodMs()) recoverFromStall(nowMs);
        if (!indirectProbesSent && probeTarget != NO_RANK) return probeIndirectly();
        if (probeTarget != NO_RANK) evaluateProbe(nowMs);
        expireSuspicions(nowMs);
        return beginPeriod(nowMs);
    }

    private double periodMs() {
        return PERIOD_MS * (1 + localHealth);
    }

    /**
     * Discards the current probe and extends suspicions by the time that this process was paused: that no datagrams
     * were received during the pause says nothing about the other gateways.
     */
    private void recoverFromStall(double nowMs) {
        double stalledMs = nowMs - nextTickMs;
        membersIn(State.SUSPECT).forEach(member -> member.suspectedMs += stalledMs);
        probeTarget = NO_RANK;
        worsenLocalHealth();
    }

    private void worsenLocalHealth() {
        localHealth = Math.min(MAX_LOCAL_HEALTH, localHealth + 1);
    }

    private List<OutgoingDatagram> probeIndirectly() {
        List<OutgoingDatagram> outgoing = new ArrayList<>();
        indirectProbesSent = true;
        if (!isProbeAnswered()) {
            for (int intermediary : pickAlive(INDIRECT_PROBES, probeTarget)) {
                outgoing.add(message(intermediary, Kind.PING_REQ, probeSequence, probeTarget));
            }
        }
        nextTickMs = periodStartMs + periodMs();
        return outgoing;
    }

    private boolean isProbeAnswered() {
        return probeAcked || members[probeTarget].lastReceivedMs >= periodStartMs;
    }

    private void evaluateProbe(double nowMs) {
        Member member = members[probeTarget];
        if (isProbeAnswered()) {
            localHealth = Math.max(0, localHealth - 1);
            return;
        }
        // Only a gateway that received no datagram at all counts as slow itself; otherwise the failure detectors would
        // slow down when half of a tier dies.
        if (lastReceivedFromAnyMs < periodStartMs) worsenLocalHealth();
        if (member.state == State.ALIVE) {
            suspicions++;
            setState(member, State.SUSPECT, member.incarnation, nowMs);
        }
    }

    private void expireSuspicions(double nowMs) {
        double limitMs = SUSPICION_PERIODS * Math.max(1, Math.log10(members.length)) * PERIOD_MS;
        for (Member member : members) {
            if (member.state != State.SUSPECT || nowMs < member.suspectedMs + limitMs) continue;
            deaths++;
            setState(member, State.DEAD, member.incarnation, nowMs);
        }
    }

    private List<OutgoingDatagram> beginPeriod(double nowMs) {
        List<OutgoingDatagram> outgoing = new ArrayList<>();
        periodStartMs = nowMs;
        indirectProbesSent = false;
        probeAcked = false;
        probeTarget = nextProbeTarget(nowMs);
        probeSequence = nextSequence();
        if (probeTarget != NO_RANK) outgoing.add(message(probeTarget, Kind.PING, probeSequence, probeTarget));
        if (!pendingUpdates.isEmpty())
            pickAlive(UPDATE_FANOUT, probeTarget).forEach(other -> outgoing.add(ping(other)));
        membersIn(State.SUSPECT)
                .filter(member -> member.rank != probeTarget)
                .limit(MAX_SUSPECTS_PINGED)
                .forEach(member -> outgoing.add(ping(member.rank)));
        periods++;
        if (periods % DEAD_PROBE_PERIODS == 0) probeDead(outgoing);
        nextTickMs = nowMs + (probeTarget == NO_RANK ? periodMs() : DIRECT_ACK_SHARE * periodMs());
        return outgoing;
    }

    private void probeDead(List<OutgoingDatagram> outgoing) {
        List<Member> dead = membersIn(State.DEAD).toList();
        if (dead.isEmpty()) return;
        int recipient = dead.get(random.nextInt(dead.size())).rank;
        outgoing.add(message(recipient, Kind.PING, nextSequence(), NO_RANK));
    }

    private int nextSequence() {
        sequence = SerialNumbers.nextSequence(sequence);
        return sequence;
    }

    /**
     * Returns the next gateway to probe, round robin over a list that is shuffled for each round, or NO_RANK if none
     * needs a probe.
     */
    private int nextProbeTarget(double nowMs) {
        for (int i = 0; i < members.length; i++) {
            if (probeOrder.isEmpty()) shuffleProbeOrder();
            if (probeOrder.isEmpty()) return NO_RANK;
            Member member = members[probeOrder.remove(probeOrder.size() - 1)];
            if (member.state != State.DEAD && member.lastReceivedMs < nowMs - periodMs()) return member.rank;
        }
        return NO_RANK;
    }

    private void shuffleProbeOrder() {
        for (Member member : members) {
            if (member.rank != rank) probeOrder.add(member.rank);
        }
        Collections.shuffle(probeOrder, new Random(random.nextLong()));
    }

    private List<Integer> pickAlive(int limit, int except) {
        List<Integer> ranks = new ArrayList<>();
        membersIn(State.ALIVE).map(member -> member.rank).forEach(ranks::add);
        ranks.removeIf(other -> other == rank || other == except);
        Collections.shuffle(ranks, new Random(random.nextLong()));
        return ranks.subList(0, Math.min(limit, ranks.size()));
    }

    // ---- Dissemination ----

    private void setState(Member member, State state, long newIncarnation, double nowMs) {
        if (state == State.SUSPECT && member.state != State.SUSPECT) member.suspectedMs = nowMs;
        // The first incarnation received from a gateway that was already considered alive is not disseminated;
        // otherwise a starting tier would send nothing but such updates.
        boolean disseminate = member.state != state || member.incarnation != 0;
        member.state = state;
        member.incarnation = newIncarnation;
        if (disseminate) pendingUpdates.add(member.rank);
    }

    private OutgoingDatagram ping(int recipient) {
        return message(recipient, Kind.PING, nextSequence(), recipient);
    }

    private OutgoingDatagram message(int recipient, Kind kind, int messageSequence, int subject) {
        // Updates on a probe count as sent only when the probe is acked, as its target may be dead.
        boolean isProbe = kind == Kind.PING && messageSequence == probeSequence && subject == probeTarget;
        List<Update> updates = updatesFor(recipient);
        if (isProbe) ranksUpdatedByProbe.clear();
        for (Update update : updates) {
            boolean aboutRecipientNotAlive = update.rank() == recipient && members[recipient].state != State.ALIVE;
            if (aboutRecipientNotAlive) continue;
            if (isProbe) ranksUpdatedByProbe.add(update.rank());
            else pendingUpdates.recordSent(update.rank());
        }
        int encodedSubject = subject & 0xffff;
        byte[] bytes =
                new MembershipMessage(rank, incarnation, kind, messageSequence, encodedSubject, updates).encode();
        sent = sent.plus(bytes);
        return new OutgoingDatagram(recipient, bytes);
    }

    /**
     * Returns the recipient's own state first if it is not alive, so that it can refute it, then the least-sent
     * updates.
     */
    private List<Update> updatesFor(int recipient) {
        List<Update> updates = new ArrayList<>();
        boolean recipientNotAlive = members[recipient].state != State.ALIVE;
        if (recipientNotAlive) updates.add(updateOf(members[recipient]));
        for (int subject : pendingUpdates.leastSentFirst()) {
            if (updates.size() == MembershipMessage.FORMAT.maxEntries()) break;
            if (subject != recipient || !recipientNotAlive) updates.add(updateOf(members[subject]));
        }
        return updates;
    }

    private Update updateOf(Member member) {
        return new Update(member.rank, member.state, member.rank == rank ? incarnation : member.incarnation);
    }

    // ---- Received datagrams ----

    /**
     * Records that a datagram of another kind was received from a gateway, which is therefore alive in that
     * incarnation.
     */
    public void recordDatagramFrom(int sender, long senderIncarnation, double nowMs) {
        if (sender < 0 || sender >= members.length || sender == rank) return;
        Member member = members[sender];
        member.lastReceivedMs = nowMs;
        lastReceivedFromAnyMs = nowMs;
        if (isNewer(senderIncarnation, member.incarnation)) setState(member, State.ALIVE, senderIncarnation, nowMs);
    }

    /**
     * Processes a received datagram.
     *
     * @param sender the rank of the gateway that has the source address; -1 if none has it
     * @return the datagrams to send in response
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
        if (sender == rank) return drop(DropReason.SENT_BY_SELF);
        TokenBucket rateLimit = members[sender].rateLimit;
        rateLimit.refill(nowMs, MAX_DATAGRAMS_PER_MS, DATAGRAM_BURST);
        if (!rateLimit.consumeOrDrain()) return drop(DropReason.FLOOD);
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
        for (Update update : message.updates()) applyUpdate(update, nowMs);
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
        int relaySequence = nextSequence();
        relaysBySequence.put(relaySequence, new Relay(message.rank(), message.sequence(), subject));
        if (relaysBySequence.size() > MAX_RELAYS) removeOldestRelay();
        outgoing.add(message(subject, Kind.PING, relaySequence, subject));
    }

    private void removeOldestRelay() {
        Iterator<Integer> oldest = relaysBySequence.keySet().iterator();
        oldest.next();
        oldest.remove();
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
        if (message.rank() == probeTarget) ranksUpdatedByProbe.forEach(pendingUpdates::recordSent);
    }

    /**
     * Applies an update by SWIM's precedence rules; a suspicion or death report about this gateway itself is refuted.
     */
    private void applyUpdate(Update update, double nowMs) {
        if (update.rank() >= members.length) return;
        if (update.rank() == rank) {
            applyUpdateAboutSelf(update, nowMs);
            return;
        }
        Member member = members[update.rank()];
        boolean newerIncarnation = isNewer(update.incarnation(), member.incarnation);
        boolean sameIncarnation = update.incarnation() == member.incarnation;
        switch (update.state()) {
            case ALIVE -> {
                if (newerIncarnation) setState(member, State.ALIVE, update.incarnation(), nowMs);
            }
            case SUSPECT -> {
                boolean becomesSuspect = newerIncarnation || sameIncarnation && member.state == State.ALIVE;
                if (becomesSuspect) setState(member, State.SUSPECT, update.incarnation(), nowMs);
            }
            case DEAD -> {
                if ((newerIncarnation || sameIncarnation) && member.state != State.DEAD)
                    applyDeathReport(member, update, nowMs);
            }
        }
    }

    private void applyUpdateAboutSelf(Update update, double nowMs) {
        boolean mustRefute = update.state() != State.ALIVE && !isNewer(incarnation, update.incarnation());
        if (!mustRefute && !isNewer(update.incarnation(), incarnation)) return;
        incarnation = Math.max(1, SerialNumbers.nextIncarnation(update.incarnation()));
        if (mustRefute) {
            refutations++;
            worsenLocalHealth();
        }
        setState(members[rank], State.ALIVE, incarnation, nowMs);
    }

    /**
     * Marks a gateway dead, or only suspect if a datagram was received from it recently: the gateway that reports its
     * death may be partitioned from it or send false reports.
     */
    private void applyDeathReport(Member member, Update update, double nowMs) {
        boolean receivedRecently = nowMs - member.lastReceivedMs < RECENT_DATAGRAM_PERIODS * periodMs();
        if (receivedRecently && member.state == State.SUSPECT) return;
        setState(member, receivedRecently ? State.SUSPECT : State.DEAD, update.incarnation(), nowMs);
        if (!receivedRecently) deaths++;
    }

    private static boolean isNewer(long incarnation, long reference) {
        return incarnation != 0
                && (reference == 0 || SerialNumbers.isAfter(incarnation, reference, SerialNumbers.INCARNATION_BITS));
    }
}
