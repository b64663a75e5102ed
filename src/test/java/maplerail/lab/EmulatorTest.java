package maplerail.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import maplerail.config.ConfigException;
import maplerail.lab.Ledger.End;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A tier of 20 gateways over 16 engines in three zones, in virtual time. */
class EmulatorTest {
    private static Experiment experiment(String faults) {
        return Experiment.read("small", """
                {"seed": 5, "seconds": 20, "zones": ["a", "b", "c"],
                 "gateways": [{"zone": "a", "count": 8}, {"zone": "b", "count": 6}, {"zone": "c", "count": 6}],
                 "engines": [{"role": "reader", "zone": "a", "tokens_per_ms": 12, "slots": 3, "count": 3},
                  {"role": "reader", "zone": "b", "tokens_per_ms": 12, "slots": 3, "count": 2},
                  {"role": "reader", "zone": "c", "tokens_per_ms": 12, "slots": 3, "count": 2},
                  {"role": "writer", "zone": "a", "ms_per_token": 20, "count": 3},
                  {"role": "writer", "zone": "b", "ms_per_token": 20, "count": 3},
                  {"role": "writer", "zone": "c", "ms_per_token": 20, "count": 3}],
                 "load": {"per_second": 30, "answer_tokens": 60, "turns": 2}, "faults": [%s]}""".formatted(faults));
    }

    @Test
    void theSameFileGivesTheSameResult() {
        String faults = "{\"kind\": \"cut\", \"zone\": \"c\", \"at\": 5, \"for\": 5}";
        Emulator one = new Emulator(experiment(faults));
        Emulator other = new Emulator(experiment(faults));
        Ledger a = one.run();
        Ledger b = other.run();
        assertThat(one.events()).isEqualTo(other.events()).isPositive();
        assertThat(a.pages().stream().map(p -> p.end() + " " + p.firstMs + " " + p.endMs))
                .containsExactlyElementsOf(b.pages().stream()
                        .map(p -> p.end() + " " + p.firstMs + " " + p.endMs)
                        .toList());
    }

    /** What each fault must show, beside the rules, which hold on all: one end for each request, no order twice. */
    static Stream<Arguments> faults() {
        BiConsumer<Emulator, Ledger> calm = (e, l) -> {
            assertThat(l.served(0, 20_000)).isEqualTo(1);
            assertThat(new Report(experiment(""), l, e.faults()).nearShare())
                    .as("near")
                    .isGreaterThan(0.85);
        };
        BiConsumer<Emulator, Ledger> cut = (e, l) -> {
            assertThat(e.faults().get("silent")).isPositive();
            assertThat(l.served(0, 20_000)).isGreaterThan(0.95);
        };
        BiConsumer<Emulator, Ledger> herd = (e, l) -> {
            assertThat(l.ended(End.UNREACHABLE) + l.ended(End.CLOSED) + l.count("end closed", 0, 60))
                    .isPositive();
            assertThat(l.served(14_000, 20_000)).as("after they came back").isGreaterThan(0.98);
            assertThat(IntStream.range(0, 20).map(e::alive))
                    .as("who is there, at the end")
                    .containsOnly(20);
        };
        BiConsumer<Emulator, Ledger> gone =
                (e, l) -> assertThat(IntStream.range(14, 20).map(e::alive)).containsOnly(6);
        BiConsumer<Emulator, Ledger> fails = (e, l) -> {
            assertThat(l.served(0, 20_000)).isGreaterThan(0.9);
            assertThat(l.count("engine w-a-7", 12, 20))
                    .as("left alone")
                    .isLessThan(l.count("engine w-a-8", 12, 20) / 3);
        };
        BiConsumer<Emulator, Ledger> drained =
                (e, l) -> assertThat(l.count("engine r-a-0", 7, 14)).isZero();
        return Stream.of(
                Arguments.of("", calm),
                Arguments.of("{\"kind\": \"cut\", \"zone\": \"c\", \"at\": 5, \"for\": 5}", cut),
                Arguments.of("{\"kind\": \"kill\", \"at\": 5, \"for\": 3, \"amount\": 0.7}", herd),
                Arguments.of("{\"kind\": \"kill\", \"at\": 5, \"amount\": 0.7}", gone),
                Arguments.of("{\"kind\": \"fail\", \"engine\": \"w-a-7\", \"at\": 5, \"for\": 15}", fails),
                Arguments.of(
                        "{\"kind\": \"peers_drop\", \"amount\": 0.3, \"at\": 0}, {\"kind\": \"slow\", \"zone\": \"b\", \"amount\": 3, \"at\": 5, \"for\": 5}",
                        cut(0.95)),
                Arguments.of("{\"kind\": \"drain\", \"engine\": \"r-a-0\", \"at\": 5, \"for\": 10}", drained));
    }

    private static BiConsumer<Emulator, Ledger> cut(double least) {
        return (e, l) -> assertThat(l.served(0, 20_000)).isGreaterThan(least);
    }

    @ParameterizedTest(name = "faults: {0}")
    @MethodSource("faults")
    void theRulesHoldAndTheTierDoesAsItShould(String faults, BiConsumer<Emulator, Ledger> shows) {
        Emulator emulator = new Emulator(experiment(faults));
        Ledger ledger = emulator.run();
        assertThat(ledger.broken()).isEmpty();
        assertThat(ledger.pages())
                .hasSizeGreaterThan(400)
                .allSatisfy(page -> assertThat(page.end()).isNotNull());
        shows.accept(emulator, ledger);
    }

    @Test
    void whatIsNotModelledIsRefused() {
        assertThatThrownBy(() -> new Emulator(experiment("{\"kind\": \"stop\", \"gateway\": 0, \"at\": 1}")))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("'stop' is not emulated");
    }
}
