package maplerail.front;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import maplerail.support.StandIn;

/**
 * The part of Consul's HTTP API that the gateway uses, after its public documentation: blocking queries and their
 * index.
 */
final class ConsulStandIn implements AutoCloseable {
    private final StandIn server;
    private final StandIn[] tools;
    private final List<String> states = new ArrayList<>();
    private long index = 100;
    private int healthQueries;
    private List<String> staleStates; // those of a follower that knows no leader, while one answers

    ConsulStandIn(StandIn... tools) throws IOException {
        this.tools = tools;
        for (int i = 0; i < tools.length; i++) states.add("passing");
        server = new StandIn(x -> {
            boolean health = x.target.startsWith("/v1/health/service/records");
            long known = x.target.contains("index=")
                    ? Long.parseLong(x.target.split("index=")[1].split("&")[0])
                    : 0;
            String body = health ? healthAfter(known) : servicesAfter(known);
            x.reply(200, body, "X-Consul-Index: " + now(), "X-Consul-KnownLeader: " + knowsLeader());
        });
    }

    private synchronized long now() {
        return knowsLeader() ? index : index - 1;
    }

    private synchronized boolean knowsLeader() {
        return staleStates == null;
    }

    private synchronized String servicesAfter(long known) throws InterruptedException {
        while (known == now()) wait();
        return "{\"consul\":[],\"records\":[\"v1\"]}";
    }

    private synchronized String healthAfter(long known) throws InterruptedException {
        healthQueries++;
        while (known == now()) wait();
        List<String> told = staleStates == null ? states : staleStates;
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < tools.length; i++) {
            entries.add(
                    "{\"Node\":{\"Node\":\"n" + i + "\",\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\"records-" + i
                            + "\",\"Service\":\"records\",\"Address\":\"\",\"Port\":"
                            + tools[i].socketAddress().getPort()
                            + "},\"Checks\":[{\"Status\":\"passing\"},{\"Status\":\"" + told.get(i) + "\"}]}");
        }
        return "[" + String.join(",", entries) + "]";
    }

    /** Answers come from a follower that has not heard of the last change and knows no leader. */
    synchronized void fallBehind(List<String> statesBefore) {
        staleStates = statesBefore;
        notifyAll();
    }

    /** Answers come from the leader again. */
    synchronized void catchUp() {
        staleStates = null;
        notifyAll();
    }

    synchronized void status(int tool, String status) {
        states.set(tool, status);
        index++;
        notifyAll();
    }

    /** Simulates a server restored from a backup, whose index is lower than before. */
    synchronized void restart() {
        index = 3;
        notifyAll();
    }

    synchronized int healthQueries() {
        return healthQueries;
    }

    String address() {
        return server.address();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
