package org.azureshed.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.azureshed.golden.GoldenFile;
import org.azureshed.model.TargetState;
import org.azureshed.standin.PlatformStandIn;
import org.junit.jupiter.api.Test;

/** Guards against unintended changes of the HTTP messages that callers and targets receive. */
class HttpSessionTest {
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)");
    private static final List<String> SHOWN_REQUEST_HEADERS =
            List.of("azureshed-", "idempotency-key", "x-organisation", "content-length");
    private static final String KEY = "Idempotency-Key: order-17";

    private final StringBuilder text = new StringBuilder();

    @Test
    void callersOfATwoNodeFleet() throws Exception {
        try (FleetInProcess fleet = new FleetInProcess();
                ScriptedTarget reading = target("page");
                ScriptedTarget posting = target("stored")) {
            NodeSettings entry = fleet.startNode("entry");
            NodeSettings host = fleet.startNode("host");
            fleet.announce(host, "reading-0", "reading", reading.port(), 4);
            fleet.announce(host, "posting-0", "posting", posting.port(), 4);
            pages(entry, reading);
            submissions(entry, posting);
            draining(fleet, entry, host, reading);
        }
        withoutPreset();
        GoldenFile.check("http-session.txt", text.toString());
    }

    private void pages(NodeSettings entry, ScriptedTarget reading) throws IOException {
        int port = entry.entryPort();
        exchange("served page", port, get("X-Organisation: festival"), reading);
        exchange("unknown route", port, "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", reading);
        exchange(
                "length and chunked coding",
                port,
                get("Content-Length: 3", "Transfer-Encoding: chunked"),
                reading);
        exchange("internal header of a caller", port, get("Azureshed-Target: other"), reading);
        reading.behave(
                (head, socket) -> {
                    ScriptedTarget.write(
                            socket, "HTTP/1.1 500 Broken\r\nContent-Length: 6\r\n\r\nbroken");
                    return true;
                });
        exchange("target answers with an error", port, get(), reading);
        reading.behave(
                (head, socket) -> {
                    ScriptedTarget.write(
                            socket, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
                    return false;
                });
        exchange("target cuts its answer", port, get(), reading);
        reading.behave((head, socket) -> ScriptedTarget.ok(socket, "page"));
    }

    private void submissions(NodeSettings entry, ScriptedTarget posting) throws IOException {
        int port = entry.entryPort();
        exchange("submission without a key", port, post(), posting);
        exchange("submission with a malformed key", port, post(KEY), posting);
        posting.behave(
                (head, socket) -> {
                    ScriptedTarget.write(
                            socket,
                            "HTTP/1.1 503 Busy\r\nAzureshed-Shed: true\r\n"
                                    + "Content-Length: 0\r\n\r\n");
                    return true;
                });
        exchange("target sheds a submission", port, post(), posting);
        posting.behave((head, socket) -> false);
        exchange("target closes after a submission", port, post(), posting);
    }

    private void draining(
            FleetInProcess fleet, NodeSettings entry, NodeSettings host, ScriptedTarget reading)
            throws Exception {
        try (ScriptedTarget leaving = target("page of the leaving target")) {
            int port = leaving.port();
            fleet.announce(host, "reading-1", "reading", port, 4, TargetState.DRAINING);
            exchange(
                    "host side asked for a draining target",
                    host.hostPort(),
                    get(
                            "Azureshed-Exchange: test-1",
                            "Azureshed-Target: reading-1",
                            "Azureshed-Service: reading",
                            "Azureshed-Class: page",
                            "Azureshed-Deadline-Ms: 5000"),
                    leaving);
            exchange("another target serves", entry.entryPort(), get(), reading);
        }
        fleet.announce(host, "reading-0", "reading", reading.port(), 4, TargetState.DRAINING);
        exchange("all targets drain", entry.entryPort(), get(), reading);
    }

    private void withoutPreset() throws Exception {
        try (PlatformStandIn platform = new PlatformStandIn(0)) {
            platform.start();
            NodeSettings settings = FleetInProcess.settings("new", platform.uri());
            try (NodeApplication node = new NodeApplication(settings);
                    ScriptedTarget unused = target("")) {
                node.run();
                exchange("node without a preset", settings.entryPort(), get(), unused);
            }
        }
    }

    private static ScriptedTarget target(String body) throws IOException {
        return new ScriptedTarget((head, socket) -> ScriptedTarget.ok(socket, body));
    }

    private static String get(String... headers) {
        return head("GET /chapters/1", headers);
    }

    private static String post(String... headers) {
        return head("POST /stories", headers).replace("\r\n\r\n", "\r\nContent-Length: 5\r\n\r\n")
                + "story";
    }

    private static String head(String start, String... headers) {
        StringBuilder head = new StringBuilder(start + " HTTP/1.1\r\nHost: archive.example\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        return head.append("\r\n").toString();
    }

    private void exchange(String title, int port, String request, ScriptedTarget target)
            throws IOException {
        target.heads().clear();
        text.append("== ").append(title).append('\n');
        append("> ", request);
        append("< ", answer(port, request));
        text.append("requests at the target: ").append(target.heads().size()).append('\n');
        for (String head : target.heads()) {
            append("    ", shownRequestHead(head));
        }
        text.append('\n');
    }

    private void append(String prefix, String lines) {
        lines.lines().forEach(line -> text.append((prefix + line).stripTrailing()).append('\n'));
    }

    private static String answer(int port, String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            ScriptedTarget.write(socket, request);
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            int next;
            while (!complete(received.toString(StandardCharsets.UTF_8))) {
                next = socket.getInputStream().read();
                if (next < 0) {
                    return "(connection closed before the end of the answer)";
                }
                received.write(next);
            }
            return withoutVaryingHeaders(received.toString(StandardCharsets.UTF_8));
        } catch (java.net.SocketTimeoutException e) {
            throw e;
        } catch (IOException reset) {
            return "(connection closed before the end of the answer)";
        }
    }

    private static boolean complete(String answer) {
        int end = answer.indexOf("\r\n\r\n");
        if (end < 0) {
            return false;
        }
        Matcher length = LENGTH.matcher(answer.substring(0, end));
        if (length.find()) {
            return answer.length() - end - 4 >= Integer.parseInt(length.group(1));
        }
        return answer.endsWith("\r\n0\r\n\r\n");
    }

    private static String withoutVaryingHeaders(String answer) {
        return answer.replaceAll("(?m)^Date: .*\r\n", "")
                .replaceAll("(?m)^Azureshed-Load: .*$", "Azureshed-Load: {load}");
    }

    private static String shownRequestHead(String head) {
        StringBuilder shown = new StringBuilder();
        head.lines()
                .filter(line -> line.endsWith("HTTP/1.1") || isShown(line))
                .map(line -> line.replaceAll("(?i)(azureshed-exchange: ).*", "$1{exchange}"))
                .map(line -> line.replaceAll("(?i)(azureshed-deadline-ms: ).*", "$1{ms}"))
                .forEach(line -> shown.append(line).append('\n'));
        return shown.toString();
    }

    private static boolean isShown(String line) {
        String lower = line.toLowerCase(Locale.ROOT);
        return SHOWN_REQUEST_HEADERS.stream().anyMatch(lower::startsWith);
    }
}
