package org.azureshed.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks nodes while a target sends an answer, or its beginning, a second time. */
class StutteringTargetTest {
    private static final int REQUESTS = 12;

    private static FleetInProcess fleet;
    private static NodeSettings entry;
    private static ScriptedTarget posting;
    private static HttpClient client;

    @BeforeAll
    static void start() throws Exception {
        fleet = new FleetInProcess();
        entry = fleet.startNode("entry");
        NodeSettings host = fleet.startNode("host");
        posting = new ScriptedTarget((head, socket) -> ScriptedTarget.ok(socket, "stored"));
        fleet.announce(host, "posting-0", "posting", posting.port(), 4);
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    }

    @AfterAll
    static void stop() throws Exception {
        client.close();
        posting.close();
        fleet.close();
    }

    /**
     * A target answers twice, the second time perhaps only in part. No caller gets the answer to
     * another request, nor the status of one with the body of another.
     */
    @ParameterizedTest(name = "copy up to \"{0}\", {1} ms later")
    @CsvSource({
        "first, 0",
        "first, 20",
        "Content-Ty, 0",
        "Content-Ty, 20",
        "Content-Ty, -1",
        "Content-Type: te, 0",
        "Content-Type: te, 20",
        "Content-Type: te, -1",
        "HTTP/1.1 20, -1",
        "HTTP/1.1 200 Sta, -1",
    })
    void answerOfAnotherRequestIsNotDelivered(String cutAfter, long delayMillis) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        Map<Socket, String> copies = new ConcurrentHashMap<>();
        posting.behave(
                (head, socket) -> {
                    int run = runs.incrementAndGet();
                    String copy = copies.remove(socket);
                    if (copy != null) {
                        ScriptedTarget.write(socket, copy + answer(404, "own-" + run));
                        return true;
                    }
                    String answer = answer(200, "first-" + run);
                    int cut = answer.indexOf(cutAfter) + cutAfter.length();
                    String late = cutAfter.equals("first") ? answer : answer.substring(0, cut);
                    copies.put(socket, delayMillis < 0 ? late : "");
                    ScriptedTarget.write(socket, delayMillis == 0 ? answer + late : answer);
                    if (delayMillis > 0) {
                        TimeUnit.MILLISECONDS.sleep(delayMillis);
                        ScriptedTarget.write(socket, late);
                    }
                    return true;
                });
        List<String> faults = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            HttpResponse<String> answer = post();
            String received = answer.statusCode() + " " + answer.body();
            List<String> own = List.of("200 first-" + runs.get(), "404 own-" + runs.get());
            if (answer.statusCode() != 502 && !own.contains(received)) {
                faults.add(received + " instead of one of " + own);
            }
            TimeUnit.MILLISECONDS.sleep(Math.max(0, 2 * delayMillis));
        }
        assertEquals(List.of(), faults);
    }

    private static String answer(int status, String body) {
        return "HTTP/1.1 "
                + status
                + " Status\r\nContent-Type: text/plain\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static HttpResponse<String> post() throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(FleetInProcess.entry(entry).resolve("/stories"))
                        .timeout(Duration.ofSeconds(30))
                        .POST(HttpRequest.BodyPublishers.ofString("story"))
                        .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
