package maplerail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MainTest {
    @TempDir
    Path folder;

    private String printed;

    private int run(Map<String, String> environment, String... args) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream print = new PrintStream(out, true, StandardCharsets.UTF_8);
        int status = Main.run(args, environment, print, print);
        printed = out.toString(StandardCharsets.UTF_8);
        return status;
    }

    @ParameterizedTest
    @CsvSource({
        "help,0,usage:",
        "version,0,maplerail",
        "'',2,usage:",
        "dance,2,usage:",
        "serve now,2,now",
        "serve --port 1,2,--port",
        "serve,2,RELAY_CONFIG",
        "check-config --config no/such/file,2,no/such/file",
        "check-config --config deploy/config.example.json,0,can be used",
        "lab,2,lab:",
        "lab run,2,lab:",
        "lab play x,2,lab:",
        "lab emulate no/such/file,2,no/such/file",
        "lab emulate deploy/config.example.json,2,config.example.json.zones: missing"
    })
    void usageIsSaid(String line, int status, String said) throws Exception {
        assertThat(run(Map.of(), line.isEmpty() ? new String[0] : line.split(" ")))
                .isEqualTo(status);
        assertThat(printed).contains(said);
    }

    private String config() throws Exception {
        try (StandIn engine = World.reader();
                World world = new World().engine("r", "prefill", engine)) {
            return world.config("127.0.0.1:0");
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "listen":                 | "lisp":                | config.listen
            "listen":"127.0.0.1:0"    | "listen":"127.0.0.1"   | config.listen
            "listen":"127.0.0.1:0"    | "listen":7             | config.listen
            "discovery":"127          | "discovery":"x127      | config.discovery
            "settings":{              | "setting":{            | config.settings
            "sendCap":5               | "sendCap":"5"          | config.settings.limits.sendCap
            "repeat":"pure"           | "repeat":"often"       | config.settings.lanes[0].repeat
            "kindRole":["read"        | "kindRole":["typist"   | kindRole
            "name":"lookup"           | "nom":"lookup"         | config.settings.lanes[0].name
            {"name":"n0"              | ["n0"                  | config
            """)
    void badConfigurationExitsWith2AndNamesTheKey(String right, String wrong, String key) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config());
        assertThat(run(Map.of("RELAY_CONFIG", file.toString()), "check-config"))
                .as(printed)
                .isZero();
        Files.writeString(file, config().replace(right, wrong));
        assertThat(run(Map.of(), "check-config", "--config", file.toString())).isEqualTo(2);
        assertThat(printed).contains(key);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "repeat": "pure"             | "repeat": "often"         | tools.contracts.lookup.repeat
            "deadline_ms": 3000          | "deadline_ms": 0          | tools.contracts.lookup.deadline_ms
            "calls_per_s": 20            | "calls_per_s": "many"     | tools.teams.cyngor-glannau.calls_per_s
            "contract": "lookup"         | "contract": "poem"        | tools.tools.columns.find.contract
            "service": "column-records"  | "service": "poems"        | tools.tools.columns.find.service
            "consul":                    | "console":                | tools.services.column-records.servers
            "teams":                     | "tea":                    | tools.teams
            """)
    void theExampleForToolCallsIsGoodAndWhatIsWrongWithAnotherIsNamed(String right, String wrong, String key)
            throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config());
        String example = Files.readString(Path.of("deploy/tools.json"));
        Path tools = folder.resolve("tools.json");
        Files.writeString(tools, example);
        String[] line = {"check-config", "--config", file.toString(), "--tools", tools.toString()};
        assertThat(run(Map.of(), line)).as(printed).isZero();
        assertThat(example).contains(right);
        Files.writeString(tools, example.replace(right, wrong));
        assertThat(run(Map.of(), line)).isEqualTo(2);
        assertThat(printed).contains(key);
    }

    @Test
    void theEnvironmentsAddressComesFirst() throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config());
        assertThat(run(Map.of("RELAY_LISTEN", "nowhere"), "check-config", "--config", file.toString()))
                .isEqualTo(2);
        assertThat(printed).contains("RELAY_LISTEN");
    }
}
