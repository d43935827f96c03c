package org.azureshed.preset;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.azureshed.model.Preset;
import org.azureshed.preset.PresetProblem.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against invalid preset files that are accepted or reported at the wrong JSON path. */
class PresetCodecTest {
    @Test
    void readsAndWritesAPreset() {
        Preset preset = PresetCodec.decode("peak.json", bytes(TestPresets.VALID)).get();
        assertEquals("festival days", preset.purpose());
        assertEquals(20, preset.organisations().get("readers").concurrent());
        byte[] written = PresetCodec.encode(preset);
        assertEquals(preset, PresetCodec.decode("again", written).get());
        assertArrayEquals(written, PresetCodec.encode(preset));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
                    "name": "peak" | "name": "a b" | MALFORMED_TEXT | $.name
                    "purpose": "festival days" | "purpose": " " | EMPTY_TEXT | $.purpose
                    "useWhen": "before the opening", | `` | MISSING_FIELD | $.useWhen
                    "watch": "refusals by reason" | "watch": 7 | WRONG_TYPE | $.watch
                    "watch": | "wach": "x", "watch": | UNKNOWN_FIELD | $.wach
                    X-Organisation | X Organisation | MALFORMED_TEXT | $.organisationHeader
                    "floorPercent": 60 | "floorPercent": 101 | OUT_OF_RANGE \
                    | $.services.reading.floorPercent
                    "longLanePercent": 50 | "longLanePercent": 0 | OUT_OF_RANGE \
                    | $.services.reading.longLanePercent
                    "retryPercent": 10 | "retryPercent": 1e1 | WRONG_TYPE \
                    | $.services.reading.retryPercent
                    "deadlineMillis": 2000 | "deadlineMillis": 99999999999999999999 | OUT_OF_RANGE \
                    | $.classes.page.deadlineMillis
                    "queueMillis": 200 | "queueMillis": -1 | OUT_OF_RANGE \
                    | $.classes.page.queueMillis
                    "idempotent": true | "idempotent": "true" | WRONG_TYPE \
                    | $.classes.page.idempotent
                    "service": "reading" | "service": "raeding" | MISSING_REFERENCE \
                    | $.routes[0].service
                    "requestClass": "page" | "requestClass": "pgae" | MISSING_REFERENCE \
                    | $.routes[0].requestClass
                    "path": "/chapters" | "path": "chapters" | MALFORMED_TEXT | $.routes[0].path
                    ["GET"] | ["get"] | MALFORMED_TEXT | $.routes[0].methods[0]
                    "readers": | "a b": {}, "readers": | MISSING_FIELD \
                    | $.organisations['a b'].requestsPerSecond
                    "concurrent": 20 | "concurrent": null | WRONG_TYPE \
                    | $.organisations.readers.concurrent
                    "purpose": | "name": "peak", "purpose": | DUPLICATE | $.name
                    "readers": {"requestsPerSecond": 50 \
                    | "readers": {"requestsPerSecond": 1, "requestsPerSecond": 50 | DUPLICATE \
                    | $.organisations.readers.requestsPerSecond
                    {"id": "pages" | {"id":"pages","host":"h","path":"/x","service":"reading",\
                    "requestClass":"page"}, {"id": "pages" | DUPLICATE | $.routes[1].id
                    {"id": "pages" | {"id":"p2","host":"*","path":"/chapters/",\
                    "methods":["GET"],"service":"reading","requestClass":"page"}, {"id": "pages" \
                    | DUPLICATE | $.routes[1]
                    "priority": 0 | "priority": 0 0 | MALFORMED_JSON | $
                    "concurrent": 5}} | "concurrent": 5}} x | MALFORMED_JSON | $
                    """)
    void reportsPathOfInvalidValue(String found, String replacement, Kind kind, String path) {
        assertTrue(TestPresets.VALID.contains(found), found);
        List<PresetProblem> problems = problems(TestPresets.VALID.replace(found, replacement));
        PresetProblem first = problems.getFirst();
        assertEquals(kind + " " + path, first.kind() + " " + first.path());
        assertTrue(first.message().startsWith("bad.json: " + path + ": "));
        assertTrue(!first.remedy().isBlank());
    }

    @ParameterizedTest
    @CsvSource({"'', MALFORMED_JSON", "[], WRONG_TYPE", "null, WRONG_TYPE", "{, MALFORMED_JSON"})
    void rejectsContentThatIsNotAnObject(String content, Kind kind) {
        assertEquals(kind, problems(content).getFirst().kind());
    }

    @Test
    void reportsAllProblemsOfAFile() {
        String bad =
                TestPresets.VALID
                        .replace("festival days", "")
                        .replace("60", "-1")
                        .replace("\"GET\"", "3")
                        .replace("\"priority\": 0", "\"priorty\": 0")
                        .replace("\"service\": \"reading\"", "\"service\": \"x\"");
        assertEquals(
                List.of(
                        "EMPTY_TEXT $.purpose",
                        "OUT_OF_RANGE $.services.reading.floorPercent",
                        "MISSING_FIELD $.classes.page.priority",
                        "UNKNOWN_FIELD $.classes.page.priorty",
                        "WRONG_TYPE $.routes[0].methods[0]",
                        "MISSING_REFERENCE $.routes[0].service"),
                problems(bad).stream().map(p -> p.kind() + " " + p.path()).toList());
        assertTrue(
                PresetCodec.decode("bad.json", bytes(bad))
                        .getLeft()
                        .message()
                        .startsWith("bad.json has 6 problems, the first is $.purpose: "));
    }

    private static List<PresetProblem> problems(String content) {
        PresetError error = PresetCodec.decode("bad.json", bytes(content)).getLeft();
        return assertInstanceOf(PresetError.Invalid.class, error).problems();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
