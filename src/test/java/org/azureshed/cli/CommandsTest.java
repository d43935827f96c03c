package org.azureshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.parser.errors.ParseException;
import com.sun.net.httpserver.HttpServer;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.azureshed.preset.PresetError;
import org.azureshed.standin.PlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against wrong exit codes and wrong or multi-line messages of operator commands. */
class CommandsTest {
    private static final String PRESET =
            """
            {"name": "peak", "purpose": "festival days", "useWhen": "before the opening",
             "watch": "refusals", "organisationHeader": "X-Organisation", "services": {},
             "classes": {}, "routes": [],
             "defaultLimit": {"requestsPerSecond": 10, "concurrent": 5}}
            """;

    @TempDir private Path directory;

    private final PlatformStandIn platform = new PlatformStandIn(0);
    private final PrintStream realOut = System.out;
    private final PrintStream realError = System.err;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream error = new ByteArrayOutputStream();
    private Path file;

    @BeforeEach
    void start() throws Exception {
        platform.start();
        file = Files.writeString(directory.resolve("peak.json"), PRESET);
        System.setOut(new PrintStream(out));
        System.setErr(new PrintStream(error));
    }

    @AfterEach
    void stop() {
        System.setOut(realOut);
        System.setErr(realError);
        platform.close();
    }

    @Test
    void storesUsesAndShowsAPreset() throws Exception {
        assertEquals(0, preset("put", file.toString(), "--reason", "first", "--operator", "maria"));
        assertEquals(0, preset("use", "peak", "--reason", "opens\nat noon"));
        assertEquals(0, preset("list"));
        assertEquals(0, preset("history"));
        String lines = out.toString();
        assertTrue(lines.contains("put of preset \"peak\" revision 1 took effect"), lines);
        assertTrue(lines.contains("in force: peak, activation number 1"), lines);
        assertTrue(lines.contains("peak revision 1 by maria at "), lines);
        assertTrue(lines.contains(": opens at noon\n"), lines);
        out.reset();
        assertEquals(0, preset("show", "peak"));
        Path shown = Files.write(directory.resolve("shown.json"), out.toByteArray());
        assertEquals(0, run(List.of("check", "--preset", shown.toString())));
        assertEquals("", error.toString());
    }

    @ParameterizedTest
    @CsvSource({
        "use, night, 'there is no preset \"night\"; put it first'",
        "show, night, 'there is no preset \"night\"; put it first'",
        "put, missing.json, 'missing.json: $: the file does not exist; name a readable file'",
    })
    void refusalIsOneLine(String command, String argument, String message) {
        List<String> reason = command.equals("show") ? List.of() : List.of("--reason", "x");
        List<String> words = new ArrayList<>(List.of(command, argument));
        words.addAll(reason);
        assertEquals(1, preset(words.toArray(String[]::new)));
        assertTrue(error.toString().startsWith("azureshed: " + message), error.toString());
        assertEquals(1, error.toString().lines().count());
    }

    @Test
    void unknownOutcomeHasItsOwnExitCode() {
        PresetError unknown = new PresetError.OutcomeUnknown("op-7", "lost answer");
        assertEquals(3, CommandResult.report(Either.left(unknown), ignored -> {}));
        assertTrue(error.toString().contains("look for operation op-7"), error.toString());
    }

    @Test
    void checkListsAllProblems() throws Exception {
        Files.writeString(file, PRESET.replace("festival days", "").replace("5}", "0}"));
        assertEquals(1, run(List.of("check", "--preset", file.toString())));
        assertEquals(2, out.toString().lines().count());
        assertTrue(error.toString().contains("has 2 problems"), error.toString());
    }

    @ParameterizedTest
    @ValueSource(strings = {"use peak", "put peak.json", "use --reason x", "show", "explode"})
    void wrongUsageIsAParseError(String line) {
        assertThrows(ParseException.class, () -> preset(line.split(" ")));
    }

    @Test
    void platformUrlHasToBeHttp() {
        List<String> line = List.of("preset", "list", "--platform", "localhost:1");
        assertThrows(IllegalArgumentException.class, () -> run(line));
    }

    @ParameterizedTest
    @CsvSource({"41, 0, 42", "0, 0, 1", "-1, 1, 0"})
    void asksNodesForTheActivationNumber(long fleet, int exitCode, long expected) throws Exception {
        HttpServer node = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        byte[] body = ("{\"activationNumber\":" + fleet + "}").getBytes();
        node.createContext(
                "/v1/status",
                exchange -> {
                    exchange.sendResponseHeaders(fleet < 0 ? 503 : 200, body.length);
                    exchange.getResponseBody().write(body);
                    exchange.close();
                });
        node.start();
        try {
            String url = "http://127.0.0.1:" + node.getAddress().getPort();
            preset("put", file.toString(), "--reason", "first");
            assertEquals(exitCode, preset("use", "peak", "--reason", "x", "--node", url));
            preset("list");
            assertEquals(
                    expected > 0,
                    out.toString().contains("in force: peak, activation number " + expected));
        } finally {
            node.stop(0);
        }
    }

    private int preset(String... words) {
        List<String> line = new ArrayList<>(List.of("preset"));
        line.addAll(List.of(words));
        line.add("--platform");
        line.add(platform.uri().toString());
        return run(line);
    }

    @SuppressWarnings("rawtypes")
    private static int run(List<String> line) {
        CliBuilder<Callable> builder = Cli.builder("azureshed");
        Commands.addTo(builder);
        try {
            return (Integer) builder.build().parse(line.toArray(String[]::new)).call();
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
