package maplerail.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import maplerail.lab.Ledger.End;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * What an experiment showed: served share, latency of first tokens (HdrHistogram, ms, three digits), attempts by route and
 * engine, retries, faults applied and rules broken. As JSON, as CSV by the second, and as plots.
 */
public final class Report {
    private static final long MOST_MS = 120_000;
    private static final int DIGITS = 3;
    private static final double[] LATE_MS = {1_200, 2_000}; // as the settings of the lab's gateways have it
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 500;

    private final Experiment experiment;
    private final Ledger ledger;
    private final Map<String, Long> faults;
    private final Map<String, Histogram> firsts = new TreeMap<>();

    /** Of an experiment that has been played, with the faults that took something. */
    public Report(Experiment experiment, Ledger ledger, Map<String, Long> faults) {
        this.experiment = experiment;
        this.ledger = ledger;
        this.faults = faults;
        for (Ledger.Page page : ledger.pages()) {
            if (Double.isNaN(page.firstMs)) continue;
            for (String key :
                    new String[] {"all", page.kind, "zone " + experiment.zones().get(page.zone)}) {
                firsts.computeIfAbsent(key, k -> new Histogram(MOST_MS, DIGITS))
                        .recordValue(Math.min(MOST_MS, Math.max(0, Math.round(page.firstMs - page.dueMs))));
            }
        }
    }

    /** Writes {@code report.json}, {@code seconds.csv} and the plots into a folder; the paths of the plots. */
    public List<Path> write(Path folder) throws IOException {
        Files.createDirectories(folder);
        json(folder.resolve("report.json"));
        csv(folder.resolve("seconds.csv"));
        System.setProperty("java.awt.headless", "true");
        return List.of(latencyPlot(folder), servedPlot(folder), routesPlot(folder), extraPlot(folder));
    }

    private void json(Path to) throws IOException {
        try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(to))) {
            json.useDefaultPrettyPrinter();
            json.writeStartObject();
            json.writeStringField("experiment", experiment.name());
            json.writeNumberField("seed", experiment.seed());
            json.writeNumberField("seconds", experiment.seconds());
            json.writeNumberField("gateways", experiment.gateways().size());
            json.writeNumberField("engines", experiment.engines().size());
            json.writeNumberField("requests", ledger.pages().size());
            json.writeNumberField("served_share", ledger.served(0, Double.MAX_VALUE));
            json.writeNumberField("near_share", nearShare());
            json.writeNumberField("late", late());
            json.writeObjectFieldStart("ends");
            for (End end : End.values()) json.writeNumberField(end.name().toLowerCase(Locale.ROOT), ledger.ended(end));
            json.writeEndObject();
            json.writeObjectFieldStart("first_token_ms");
            for (Map.Entry<String, Histogram> entry : firsts.entrySet()) {
                json.writeObjectFieldStart(entry.getKey());
                for (double p : new double[] {50, 90, 99, 99.9}) {
                    json.writeNumberField(
                            "p" + (p == 99.9 ? "99.9" : Math.round(p)),
                            entry.getValue().getValueAtPercentile(p));
                }
                json.writeNumberField("max", entry.getValue().getMaxValue());
                json.writeEndObject();
            }
            json.writeEndObject();
            json.writeObjectFieldStart("counts");
            for (String name : ledger.names()) json.writeNumberField(name, ledger.count(name, 0, seconds()));
            json.writeEndObject();
            json.writeObjectFieldStart("faults");
            for (Map.Entry<String, Long> fault : faults.entrySet())
                json.writeNumberField(fault.getKey(), fault.getValue());
            json.writeEndObject();
            json.writeArrayFieldStart("broken");
            for (String rule : ledger.broken()) json.writeString(rule);
            json.writeEndArray();
            json.writeEndObject();
        }
    }

    private int seconds() {
        return (int) Math.ceil(experiment.seconds()) + 20;
    }

    /** Requests whose first token came after the time that their class wants it within (without what long prompts add). */
    public long late() {
        return ledger.pages().stream()
                .filter(p -> p.firstMs - p.dueMs > (p.unsafe ? LATE_MS[1] : LATE_MS[0]))
                .count();
    }

    /** Of all attempts that reached engines, the share that stayed in its request's zone; 1 where there were none. */
    public double nearShare() {
        long near = 0;
        long all = 0;
        for (String name : ledger.names()) {
            if (!name.startsWith("zone ")) continue;
            String[] words = name.split(" ");
            long count = ledger.count(name, 0, seconds());
            all += count;
            if (words[1].equals(words[3])) near += count;
        }
        return all == 0 ? 1 : (double) near / all;
    }

    private List<Ledger.Page> second(int second) {
        return ledger.pages().stream()
                .filter(p -> p.dueMs >= 1_000.0 * second && p.dueMs < 1_000.0 * (second + 1))
                .toList();
    }

    private double percentile(int second, double p) {
        Histogram of = new Histogram(MOST_MS, DIGITS);
        for (Ledger.Page page : second(second)) {
            if (!Double.isNaN(page.firstMs))
                of.recordValue(Math.min(MOST_MS, Math.max(0, Math.round(page.firstMs - page.dueMs))));
        }
        return of.getValueAtPercentile(p);
    }

    private void csv(Path to) throws IOException {
        List<String> names = ledger.names();
        try (PrintStream out =
                new PrintStream(Files.newOutputStream(to), false, java.nio.charset.StandardCharsets.UTF_8)) {
            out.println("second,arrived,served,p50_ms,p99_ms," + String.join(",", names));
            for (int s = 0; s < experiment.seconds(); s++) {
                StringBuilder line = new StringBuilder(String.format(
                        Locale.ROOT,
                        "%d,%d,%.4f,%.0f,%.0f",
                        s,
                        second(s).size(),
                        ledger.served(1_000.0 * s, 1_000.0 * (s + 1)),
                        percentile(s, 50),
                        percentile(s, 99)));
                for (String name : names) line.append(',').append(ledger.count(name, s));
                out.println(line);
            }
        }
    }

    private interface BySecond {
        double at(int second);
    }

    private Path plot(Path folder, String name, String title, String unit, Map<String, BySecond> lines)
            throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("seconds")
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setLegendPosition(LegendPosition.OutsideE);
        int count = (int) Math.max(1, Math.ceil(experiment.seconds()));
        for (Map.Entry<String, BySecond> line : lines.entrySet()) {
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            for (int s = 0; s < count; s++) {
                x.add((double) s);
                y.add(line.getValue().at(s));
            }
            chart.addSeries(line.getKey(), x, y).setMarker(SeriesMarkers.NONE);
        }
        Path to = folder.resolve(name);
        BitmapEncoder.saveBitmap(chart, to.toString(), BitmapEncoder.BitmapFormat.PNG);
        return to;
    }

    private Path latencyPlot(Path folder) throws IOException {
        Map<String, BySecond> lines = new TreeMap<>();
        for (double p : new double[] {50, 90, 99}) lines.put("p" + Math.round(p), s -> percentile(s, p));
        return plot(folder, "latency.png", experiment.name() + ": first token by the second of arrival", "ms", lines);
    }

    private Path servedPlot(Path folder) throws IOException {
        return plot(
                folder,
                "served.png",
                experiment.name() + ": share served by the second of arrival",
                "share",
                Map.of("served", s -> ledger.served(1_000.0 * s, 1_000.0 * (s + 1))));
    }

    private Path routesPlot(Path folder) throws IOException {
        Map<String, BySecond> lines = new TreeMap<>();
        for (String name : ledger.names()) {
            if (!name.startsWith("zone ")) continue;
            String[] words = name.split(" ");
            lines.put(
                    experiment.zones().get(Integer.parseInt(words[1])) + " > "
                            + experiment.zones().get(Integer.parseInt(words[3])),
                    s -> ledger.count(name, s));
        }
        if (lines.isEmpty()) lines.put("none", s -> 0);
        return plot(
                folder,
                "zones.png",
                experiment.name() + ": attempts by zone of the request and of the engine",
                "a second",
                lines);
    }

    private Path extraPlot(Path folder) throws IOException {
        Map<String, BySecond> lines = new TreeMap<>();
        lines.put("clients' retries", s -> ledger.count("retries", s));
        lines.put("refused", s -> ledger.count("end refused", s));
        lines.put(
                "failed",
                s -> ledger.count("end failed", s) + ledger.count("end broken", s) + ledger.count("end closed", s));
        lines.put("arrived", s -> second(s).size());
        return plot(
                folder, "retries.png", experiment.name() + ": retries and refusals, all gateways", "a second", lines);
    }

    /** A few lines for whoever started it. */
    public void summary(PrintStream out) {
        Histogram all = firsts.getOrDefault("all", new Histogram(MOST_MS, DIGITS));
        out.printf(
                Locale.ROOT,
                "%s: %d requests, served %.4f, first token p50 %d ms, p99 %d ms, near %.3f%n",
                experiment.name(),
                ledger.pages().size(),
                ledger.served(0, Double.MAX_VALUE),
                all.getValueAtPercentile(50),
                all.getValueAtPercentile(99),
                nearShare());
        StringBuilder ends = new StringBuilder("ends:");
        for (End end : End.values()) {
            if (ledger.ended(end) > 0)
                ends.append(' ')
                        .append(end.name().toLowerCase(Locale.ROOT))
                        .append(' ')
                        .append(ledger.ended(end));
        }
        out.println(ends);
        out.println("faults that took something: " + (faults.isEmpty() ? "none" : faults));
        List<String> broken = ledger.broken();
        out.println(broken.isEmpty() ? "all rules were kept" : "BROKEN: " + String.join("; ", broken));
    }
}
