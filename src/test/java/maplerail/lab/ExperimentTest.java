package maplerail.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import maplerail.config.ConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ExperimentTest {
    @TempDir
    Path folder;

    private static Experiment demo() throws IOException {
        return Experiment.read("demo", Lab.demo());
    }

    static Stream<Arguments> wrong() {
        return Stream.of(
                Arguments.of("\"abertawe\", \"at\"", "\"wrecsam\", \"at\"", "demo.faults[0].zone: no such zone"),
                Arguments.of("\"cut\"", "\"cuts\"", "demo.faults[0].kind: unknown value"),
                Arguments.of("\"r-caerdydd-0\"", "\"r-9\"", "demo.faults[1].engine: no such engine"),
                Arguments.of("\"per_second\": 20", "\"per_second\": 0", "demo.load.per_second: not above 0"),
                Arguments.of(
                        "\"unsafe_share\": 0.25", "\"unsafe_share\": 1.25", "demo.load.unsafe_share: not from 0 to 1"),
                Arguments.of("\"role\": \"writer\"", "\"role\": \"reader\"", "ms: missing"),
                Arguments.of("\"seconds\": 20,", "", "demo.seconds: missing"),
                Arguments.of("[\"caerdydd\", \"caerdydd\", \"abertawe\"]", "[]", "demo.gateways: not 1 to"));
    }

    @ParameterizedTest(name = "{2}")
    @MethodSource
    void wrong(String right, String wrong, String message) throws IOException {
        String text = Lab.demo();
        assertThat(text).contains(right);
        assertThatThrownBy(() -> Experiment.read("demo", text.replace(right, wrong)))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining(message);
    }

    /** The same seed gives the same load; another gives another. */
    @Test
    void theLoadComesFromTheSeed() throws IOException {
        List<Load.Plan> plan = Load.plan(demo());
        assertThat(plan).isEqualTo(Load.plan(demo()));
        assertThat(plan)
                .isNotEqualTo(Load.plan(Experiment.read("demo", Lab.demo().replace("\"seed\": 7", "\"seed\": 8"))));
        assertThat((double) plan.size()).isBetween(200.0, 600.0); // 20 s of 20 a second, less the turns past the end
        assertThat(plan.stream().map(Load.Plan::id).distinct()).hasSameSizeAs(plan);
    }

    static Stream<Arguments> steps() {
        return Stream.of(
                Arguments.of("{\"kind\":\"fail\",\"at\":1,\"for\":2}", "1000 on, 3000 off"),
                Arguments.of("{\"kind\":\"fail\",\"at\":1}", "1000 on"),
                Arguments.of(
                        "{\"kind\":\"fail\",\"at\":1,\"for\":3,\"every\":1}", "1000 on, 2000 off, 3000 on, 4000 off"),
                Arguments.of("{\"kind\":\"fail\",\"at\":1,\"for\":2,\"every\":1}", "1000 on, 2000 off"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void steps(String fault, String expected) throws IOException {
        String text = Lab.demo();
        Experiment one =
                Experiment.read("x", text.substring(0, text.indexOf("\"faults\"")) + "\"faults\":[" + fault + "]}");
        assertThat(Play.steps(one).stream()
                        .map(s -> Math.round(s.atMs()) + (s.on() ? " on" : " off"))
                        .collect(java.util.stream.Collectors.joining(", ")))
                .isEqualTo(expected);
    }

    /** What a report says of a ledger that is known: shares, routes and what was broken; and the files that it leaves. */
    @Test
    void aReportSaysWhatHappened() throws IOException {
        Ledger ledger = new Ledger();
        for (int i = 0; i < 4; i++) {
            Ledger.Page page = new Ledger.Page("r" + i, i == 0 ? "repair-order" : "lookup", i % 2, i == 0, 100 * i);
            ledger.open(page);
            page.firstMs = 100 * i + 50;
            page.end = i == 3 ? Ledger.End.REFUSED : Ledger.End.SERVED;
        }
        ledger.reached("r0", true, false, "w", 0);
        ledger.reached("r0.1", true, true, "w", 0); // the rest of a stream: no second effect
        assertThat(ledger.broken()).isEmpty();
        ledger.reached("r0.2", true, false, "w", 1);
        ledger.reached("nobody", false, false, "w", 0);
        Report report = new Report(demo(), ledger, Map.of("silent", 3L));
        assertThat(report.nearShare()).isEqualTo(2.0 / 3);
        for (Path plot : report.write(folder)) assertThat(Files.size(plot)).isPositive();
        assertThat(folder.resolve("report.json"))
                .content()
                .contains(
                        "\"served_share\" : 0.75",
                        "\"p50\" : 50",
                        "sent 2 times, unsafe: r0",
                        "requests that no client sent: 1",
                        "\"silent\" : 3");
        assertThat(Files.readAllLines(folder.resolve("seconds.csv"))).hasSize(21);
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        report.summary(new PrintStream(text, true, StandardCharsets.UTF_8));
        assertThat(text.toString(StandardCharsets.UTF_8))
                .contains("4 requests, served 0.7500", "served 3 refused 1", "BROKEN");
    }
}
