package maplerail.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Plays an experiment on a rig: the load, and the faults at their times. */
public final class Play {
    private static final Logger LOG = LoggerFactory.getLogger(Play.class);

    /** One change at a time: a fault begins, or ends. */
    public record Step(double atMs, boolean on, Experiment.FaultSpec fault) {}

    private final Experiment experiment;
    private final Rig rig;

    /** For a rig that has been started. */
    public Play(Experiment experiment, Rig rig) {
        this.experiment = experiment;
        this.rig = rig;
    }

    /** All changes in the order of their times, ends before beginnings; a flapping fault has many. */
    public static List<Step> steps(Experiment experiment) {
        List<Step> out = new ArrayList<>();
        for (Experiment.FaultSpec fault : experiment.faults()) {
            double end = fault.forMs() > 0 ? fault.atMs() + fault.forMs() : Double.POSITIVE_INFINITY;
            double every = fault.everyMs() > 0 ? fault.everyMs() : Double.POSITIVE_INFINITY;
            boolean on = true;
            for (double at = fault.atMs(); at < end; at += every, on = !on) {
                out.add(new Step(at, on, fault));
                if (Double.isInfinite(every)) {
                    on = !on;
                    break;
                }
            }
            // A fault that flaps may just have been switched off at its end.
            if (!on && !Double.isInfinite(end)) out.add(new Step(end, false, fault));
        }
        out.sort(Comparator.comparingDouble(Step::atMs).thenComparing(Step::on));
        return out;
    }

    /** Plays it to its end; returns once each request has one. */
    public void run() throws InterruptedException {
        rig.ledger().begin();
        Thread faults = Wire.daemon("faults", () -> {
            for (Step step : steps(experiment)) {
                if (step.atMs > 1_000 * experiment.seconds()) return;
                TimeUnit.MICROSECONDS.sleep(
                        Math.max(0, Math.round(1_000 * (step.atMs - rig.ledger().nowMs()))));
                LOG.info(
                        "at {} s: {} {}",
                        Math.round(step.atMs / 100) / 10.0,
                        step.fault.kind(),
                        step.on ? "begins" : "ends");
                change(step);
            }
        });
        new Load(experiment, rig).play();
        faults.interrupt();
        faults.join();
    }

    private void change(Step step) throws IOException, InterruptedException {
        Experiment.FaultSpec f = step.fault;
        boolean on = step.on;
        switch (f.kind()) {
            case "cut" -> {
                links(f, on ? FaultNet.Fault.cut(f.oneWay()) : FaultNet.Fault.NONE);
                if (f.engine().isEmpty() && f.zone() >= 0) rig.fabric().partition(gateways(f.zone()), on);
            }
            case "delay" -> links(f, on ? FaultNet.Fault.delay((long) f.amount(), 0) : FaultNet.Fault.NONE);
            case "reset" -> links(f, on ? FaultNet.Fault.resets() : FaultNet.Fault.NONE);
            case "drop" -> links(f, on ? FaultNet.Fault.drops(f.amount()) : FaultNet.Fault.NONE);
            case "slow_link" -> links(f, on ? FaultNet.Fault.slow((long) f.amount()) : FaultNet.Fault.NONE);
            case "slow" -> engines(f).forEach(e -> e.slow(on ? Math.max(1, f.amount()) : 1));
            case "fail" -> engines(f).forEach(e -> e.failing(on));
            case "flush" -> engines(f).forEach(LabEngine::flush);
            case "drain" -> engines(f).forEach(e -> rig.tell(e.name(), on ? "terminating" : "in_service"));
            case "peers_cut" -> rig.fabric().partition(f.gateway() >= 0 ? Set.of(f.gateway()) : gateways(f.zone()), on);
            case "peers_drop" -> rig.fabric().drop(on ? f.amount() : 0);
            case "discovery_cut" ->
                chosen(f).forEach(g -> rig.discovery(g, on ? FaultNet.Fault.cut(false) : FaultNet.Fault.NONE));
            case "stop" -> signal(f, on ? "STOP" : "CONT");
            case "kill", "term" -> {
                if (on) signal(f, f.kind().toUpperCase(java.util.Locale.ROOT));
                else for (int g : chosen(f)) rig.launch(g);
            }
            default -> throw new IllegalStateException(f.kind());
        }
    }

    private void signal(Experiment.FaultSpec f, String name) throws IOException, InterruptedException {
        for (int g : chosen(f)) rig.signal(g, name);
    }

    private List<Integer> chosen(Experiment.FaultSpec f) {
        return chosen(experiment, f);
    }

    /** The gateways that a fault names: one, or a zone's (all for none), or the first of those where it tells a share. */
    static List<Integer> chosen(Experiment experiment, Experiment.FaultSpec f) {
        if (f.gateway() >= 0) return List.of(f.gateway());
        List<Integer> all = IntStream.range(0, experiment.gateways().size())
                .boxed()
                .filter(g -> f.zone() < 0 || experiment.gateways().get(g) == f.zone())
                .toList();
        return f.amount() > 0 && f.amount() < 1 ? all.subList(0, (int) Math.round(f.amount() * all.size())) : all;
    }

    /** A zone's gateways; all for no zone. */
    private Set<Integer> gateways(int zone) {
        return IntStream.range(0, experiment.gateways().size())
                .boxed()
                .filter(g -> zone < 0 || experiment.gateways().get(g) == zone)
                .collect(Collectors.toSet());
    }

    private List<LabEngine> engines(Experiment.FaultSpec f) {
        return rig.engines().stream()
                .filter(e -> f.engine().isEmpty()
                        ? f.zone() < 0 || e.zone().equals(experiment.zones().get(f.zone()))
                        : e.name().equals(f.engine()))
                .toList();
    }

    /** A zone's links are those over its border, both ways; an engine's or a gateway's are its own. */
    private void links(Experiment.FaultSpec f, FaultNet.Fault fault) {
        if (!f.engine().isEmpty() || f.gateway() >= 0 || f.zone() < 0) {
            rig.links(-1, f.gateway(), -1, f.engine(), fault);
            return;
        }
        for (int other = 0; other < experiment.zones().size(); other++) {
            if (other == f.zone()) continue;
            rig.links(other, -1, f.zone(), "", fault);
            rig.links(f.zone(), -1, other, "", fault);
        }
    }
}
