package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.azureshed.sidecar.SidecarSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a node that starts with wrongly decoded or incomplete settings. */
class SettingsDecoderTest {
    static final String VALID =
            """
            {"node":"n1","zone":"a","service":"s","appAddress":"10.0.0.1:8301","ip":"10.0.0.1",
             "listen":{"inbound":"10.0.0.1:8300","outbound":"10.0.0.1:8304",
                       "ready":"10.0.0.1:8302","control":"10.0.0.1:8306"},
             "internalPorts":[7620,7635],"platform":{"address":"10.9.0.1:80"},
             "heartbeatIntervalMs":1500,"bootstrap":true,"unknown":[1],
             "bounds":["graceS=6","budgetRatio=0.2","budgetSlack=60","budgetWindowS=10"]}
            """;

    @TempDir private Path directory;

    private SidecarSettings read(String text) throws Exception {
        return read(text, Map.of());
    }

    private SidecarSettings read(String text, Map<String, String> environment) throws Exception {
        Path file = Files.writeString(directory.resolve("settings.json"), text);
        return SettingsDecoder.read(file, environment);
    }

    @Test
    void settingsAreReadFromTheirJsonFields() throws Exception {
        SidecarSettings settings = read(VALID);
        assertEquals("10.0.0.1:8304", settings.callerListen().toString());
        assertEquals("10.0.0.1:8300", settings.hostListen().toString());
        assertEquals("10.0.0.1:7620", settings.peerListen().toString());
        assertEquals(6_000, settings.graceMillis());
        assertEquals(0.2, settings.retryRatio());
        assertEquals("10.0.0.1", settings.advertisedIp());
        assertTrue(settings.firstStart());
    }

    /** Guards against bodies that take more memory than the process has. */
    @ParameterizedTest(name = "{0}: {1} bytes")
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\0',
            value = {
                "\"unknown\"|33554432",
                "\"limits\":null,\"unknown\"|33554432",
                "\"limits\":{\"memoryMb\":430},\"unknown\"|43000000",
                "\"limits\":{\"memoryMb\":64.5},\"unknown\"|6450000"
            })
    void memoryForBodiesFollowsTheMemoryLimit(String field, long expected) throws Exception {
        assertEquals(expected, read(VALID.replace("\"unknown\"", field)).bodyMemoryBytes());
    }

    /** Guards against a bound of which nobody knows that it is wrong until bodies are refused. */
    @ParameterizedTest
    @ValueSource(strings = {"0", "0.5", "-430", "\"430\"", "true"})
    void unusableMemoryLimitIsRefused(String memoryMb) {
        String text =
                VALID.replace("\"unknown\"", "\"limits\":{\"memoryMb\":" + memoryMb + "},\"x\"");
        IllegalArgumentException error =
                assertThrows(IllegalArgumentException.class, () -> read(text));
        assertTrue(error.getMessage().contains("memory"), error.getMessage());
    }

    /** Guards against a node behind NAT that advertises an address other nodes cannot reach. */
    @Test
    void advertisedAddressComesFromTheEnvironment() throws Exception {
        SidecarSettings settings = read(VALID, Map.of("AZURESHED_ADVERTISED_IP", "10.7.0.1"));
        assertEquals("10.7.0.1", settings.advertisedIp());
        assertEquals("10.0.0.1:8300", settings.hostListen().toString());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\0',
            value = {
                "\"node\":\"n1\",|/node",
                "\"outbound\":\"10.0.0.1:8304\",|/listen/outbound",
                "\"heartbeatIntervalMs\":1500,|/heartbeatIntervalMs",
                "\"graceS=6\",|graceS"
            })
    void errorNamesTheMissingField(String removedText, String expectedName) {
        IllegalArgumentException error =
                assertThrows(
                        IllegalArgumentException.class, () -> read(VALID.replace(removedText, "")));
        assertTrue(error.getMessage().contains(expectedName), error.getMessage());
    }
}
