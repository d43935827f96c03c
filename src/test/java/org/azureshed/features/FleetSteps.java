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

/** Steps of the feature files, over a fleet in this process. */
public final class FleetSteps {
    private static final int SLOTS = 4;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private FleetInProcess fleet;
    private NodeSettings first;
    private NodeSettings second;
    private Map<String, ScriptedTarget> targets = Map.of();
    private HttpResponse<String> answer;
    private long numberSeen;
    private PresetError error;

    /** Closes what a scenario opened. */
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

    @Given("a fleet of two nodes with the preset \"ordinary\" in force")
    public void startFleet() throws Exception {
        fleet = new FleetInProcess();
        first = fleet.startNode("first");
        second = fleet.startNode("second");
    }

    @Given("a target of {string} and a target of {string} on the second node")
    public void startTargets(String reading, String posting) throws Exception {
        targets = Map.of(reading, target("page"), posting, target("stored"));
        for (String service : List.of(reading, posting)) {
            announce(service, TargetState.READY);
        }
    }

    @Given("the target of {string} sheds every request")
    public void shed(String service) {
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

    @Given("the target of {string} closes the connection after it got the request")
    public void closeConnections(String service) {
        targets.get(service).behave((head, socket) -> false);
    }

    @Given("the target of {string} announces that it is draining")
    public void drain(String service) throws Exception {
        announce(service, TargetState.DRAINING);
    }

    @When("a caller reads {string} through the first node")
    public void read(String path) throws Exception {
        answer = send(HttpRequest.newBuilder(uri(path)));
    }

    @When("a caller submits a story through the first node")
    public void submit() throws Exception {
        HttpRequest.BodyPublisher story = HttpRequest.BodyPublishers.ofString("story");
        answer = send(HttpRequest.newBuilder(uri("/stories")).POST(story));
    }

    @Then("the caller gets status {int} and the body {string}")
    public void checkBody(int status, String body) {
        assertEquals(status, answer.statusCode());
        assertEquals(body, answer.body());
    }

    @Then("the caller gets status {int} and the outcome {string}")
    public void checkOutcome(int status, String outcome) {
        assertEquals(status, answer.statusCode());
        assertEquals(outcome, answer.headers().firstValue("Azureshed-Outcome").orElse(""));
    }

    @Then("the caller is told when to send again")
    public void checkRetryAfter() {
        assertTrue(answer.headers().firstValueAsLong("Retry-After").isPresent());
    }

    @Then("the target of {string} got {int} request(s)")
    public void checkRequests(String service, int count) {
        assertEquals(count, targets.get(service).heads().size());
    }

    @When("the operator puts the preset {string} in force")
    public void use(String preset) throws Exception {
        use("operator", preset, "planned work");
    }

    @Then("both nodes have the preset {string} in force within {int} seconds")
    public void checkPreset(String preset, int seconds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (NodeSettings node : List.of(first, second)) {
            FleetInProcess.await(() -> fleet.activePreset(node).equals(preset), preset);
        }
        assertTrue(System.nanoTime() - end < 0, "the change took longer than promised");
    }

    @Given("the operator {string} read the presets")
    public void readPresets(String operator) {
        numberSeen = operations().list().get().activationNumber();
    }

    @Given("the operator {string} put {string} in force because {string}")
    public void use(String operator, String preset, String reason) throws Exception {
        put(preset);
        operations().use(preset, ChangeRequest.of(operator, reason)).get();
    }

    @When("the operator {string} puts {string} in force")
    public void useWhatWasRead(String operator, String preset) throws Exception {
        put(preset);
        ChangeRequest request =
                new ChangeRequest(operator, "festival", 0, OptionalLong.of(numberSeen));
        error = operations().use(preset, request).getLeft();
    }

    @Then("{string} is told of {string} and {string}")
    public void checkLoser(String loser, String winner, String reason) {
        assertTrue(error.message().contains(winner), error.message());
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
        fleet.announce(second, service + "-0", service, port, SLOTS, state);
    }

    private URI uri(String path) {
        return FleetInProcess.entry(first).resolve(path);
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return client.send(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
    }

    private static ScriptedTarget target(String body) throws Exception {
        return new ScriptedTarget((head, socket) -> ScriptedTarget.ok(socket, body));
    }
}
