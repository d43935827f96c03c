package org.azureshed.features;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.Preset;
import org.azureshed.model.TargetState;
import org.azureshed.node.FleetInProcess;
import org.azureshed.node.NodeSettings;
import org.azureshed.node.ScriptedTarget;
import org.azureshed.preset.ChangeRequest;
import org.azureshed.preset.PresetCodec;
import org.azureshed.preset.PresetError;
import org.azureshed.preset.PresetOperations;

/** Implements the steps of the feature files against a fleet that runs in the test process. */
public final class FleetSteps {
    private static final int SLOTS = 4;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private FleetInProcess fleet;
    private NodeSettings firstNode;
    private NodeSettings secondNode;
    private Map<String, ScriptedTarget> targets = Map.of();
    private HttpResponse<String> response;
    private long activationNumberRead;
    private PresetError error;

    /** Closes the HTTP client, the targets and the fleet of the scenario. */
    @After
    public void close() throws Exception {
        client.close();
        for (ScriptedTarget target : targets.values()) {
            target.close();
        }
        if (fleet != null) {
            fleet.close();
        }
    }

    @Given("a fleet of two nodes with the active preset \"ordinary\"")
    public void startFleet() throws Exception {
        fleet = new FleetInProcess();
        firstNode = fleet.startNode("first");
        secondNode = fleet.startNode("second");
    }

    @Given("a target of {string} and a target of {string} on the second node")
    public void startTargets(String reading, String posting) throws Exception {
        targets = Map.of(reading, startTarget("page"), posting, startTarget("stored"));
        for (String service : List.of(reading, posting)) {
            announce(service, TargetState.READY);
        }
    }

    @Given("the target of {string} sheds every request")
    public void shedRequests(String service) {
        targets.get(service)
                .behave(
                        (head, socket) -> {
                            ScriptedTarget.write(
                                    socket,
                                    "HTTP/1.1 503 Busy\r\nAzureshed-Shed: true\r\n"
                                            + "Content-Length: 0\r\n\r\n");
                            return true;
                        });
    }

    @Given("the target of {string} closes the connection after receiving the request")
    public void closeConnections(String service) {
        targets.get(service).behave((head, socket) -> false);
    }

    @Given("the target of {string} announces that it is draining")
    public void drain(String service) throws Exception {
        announce(service, TargetState.DRAINING);
    }

    @When("a caller reads {string} through the first node")
    public void read(String path) throws Exception {
        response = send(HttpRequest.newBuilder(uri(path)));
    }

    @When("a caller submits a story through the first node")
    public void submit() throws Exception {
        HttpRequest.BodyPublisher story = HttpRequest.BodyPublishers.ofString("story");
        response = send(HttpRequest.newBuilder(uri("/stories")).POST(story));
    }

    @Then("the caller gets status {int} and the body {string}")
    public void checkBody(int status, String body) {
        assertEquals(status, response.statusCode());
        assertEquals(body, response.body());
    }

    @Then("the caller gets status {int} and the outcome {string}")
    public void checkOutcome(int status, String outcome) {
        assertEquals(status, response.statusCode());
        assertEquals(outcome, response.headers().firstValue("Azureshed-Outcome").orElse(""));
    }

    @Then("the response has a Retry-After header")
    public void checkRetryAfter() {
        assertTrue(response.headers().firstValueAsLong("Retry-After").isPresent());
    }

    @Then("the target of {string} received {int} request(s)")
    public void checkRequestCount(String service, int count) {
        assertEquals(count, targets.get(service).heads().size());
    }

    @When("the operator activates the preset {string}")
    public void use(String preset) throws Exception {
        use("operator", preset, "planned work");
    }

    @Then("the preset {string} is active on both nodes within {int} seconds")
    public void checkPreset(String preset, int seconds) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (NodeSettings node : List.of(firstNode, secondNode)) {
            FleetInProcess.await(() -> fleet.activePreset(node).equals(preset), preset);
        }
        assertTrue(
                System.nanoTime() - deadlineNanos < 0,
                "the preset change did not reach both nodes in time");
    }

    @Given("the operator {string} read the presets")
    public void readPresets(String operator) {
        activationNumberRead = operations().list().get().activationNumber();
    }

    @Given("the operator {string} activated {string} with the reason {string}")
    public void use(String operator, String preset, String reason) throws Exception {
        put(preset);
        operations().use(preset, ChangeRequest.of(operator, reason)).get();
    }

    @When("the operator {string} activates {string} based on the presets read")
    public void useIfUnchanged(String operator, String preset) throws Exception {
        put(preset);
        ChangeRequest request =
                new ChangeRequest(operator, "festival", 0, OptionalLong.of(activationNumberRead));
        error = operations().use(preset, request).getLeft();
    }

    @Then("the error for {string} contains {string} and {string}")
    public void checkConflictError(String operator, String otherOperator, String reason) {
        assertTrue(error.message().contains(otherOperator), error.message());
        assertTrue(error.message().contains(reason), error.message());
    }

    private void put(String name) throws Exception {
        String file = name + ".json";
        Preset preset =
                PresetCodec.decode(file, Files.readAllBytes(Path.of("examples", file))).get();
        operations().put(preset, ChangeRequest.of("test", "set-up")).get();
    }

    private PresetOperations operations() {
        return PresetOperations.of(fleet.store());
    }

    private void announce(String service, TargetState state) throws Exception {
        int port = targets.get(service).port();
        fleet.announce(secondNode, service + "-0", service, port, SLOTS, state);
    }

    private URI uri(String path) {
        return FleetInProcess.entry(firstNode).resolve(path);
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return client.send(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
    }

    private static ScriptedTarget startTarget(String body) throws Exception {
        return new ScriptedTarget((head, socket) -> ScriptedTarget.ok(socket, body));
    }
}
