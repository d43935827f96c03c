package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.azureshed.platform.standin.TargetStandIn.Request;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks whole nodes with requests that were put together from two. */
class SplicedRequestTest {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 (\\d{3}) ");
    private static final String FIRST =
            "POST /write/first HTTP/1.1\r\nHost: shop.example\r\nAccept: text/plain\r\n"
                    + "X-Azureshed-Request-Id: first\r\nContent-Length: 3\r\n\r\nabc";
    private static final String SECOND =
            "POST /write/second HTTP/1.1\r\nHost: shop.example\r\nAccept: text/plain\r\n"
                    + "X-Azureshed-Request-Id: second\r\nContent-Length: 3\r\n\r\nabc";
    private static final String OFFER =
            "Azureshed-Offer: t=i-0;m=QUEUE;o=FIRST;p=1;r=1;a=0;d=0;u=900;l=900;b=1\r\n";

    /**
     * A caller stops at any byte of a request and sends another one on the same connection. No
     * target gets a request that is neither of the two, and the caller gets one refusal.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void requestOfTwoDoesNotRun(boolean behindAWholeOne) throws Exception {
        List<String> faults = new ArrayList<>();
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            for (int cut = 1; cut < FIRST.length() - 3; cut++) {
                fleet.heartbeat(0, "shop", "ready", 1);
                String whole = behindAWholeOne ? SECOND.replace("second", "whole-" + cut) : "";
                fleet.targets.getFirst().executions().clear();
                String sent = whole + FIRST.substring(0, cut) + SECOND;
                List<String> statuses = send(fleet, SidecarFleet.ENTRY_PORT, sent);
                List<String> expected = behindAWholeOne ? List.of("200", "400") : List.of("400");
                List<String> ran =
                        fleet.targets.getFirst().executions().stream()
                                .map(Request::line)
                                .filter(line -> !line.contains("whole-"))
                                .toList();
                if (!statuses.equals(expected) || !ran.isEmpty()) {
                    faults.add(cut + ": " + statuses + ' ' + ran);
                }
            }
            assertEquals(List.of(), faults, () -> faults.size() + " faults\n" + fleet.log());
        }
    }

    static Stream<String> ambiguousHeads() {
        return Stream.of(
                "Host: shop.example\r\nHost: shop.example\r\n",
                "Host: shop.example\r\nX-Azureshed-Request-Id: a\r\nX-Azureshed-Request-Id: b\r\n",
                "Host: shop.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                "Host: shop.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n",
                "Host: shop.example\r\nAccept: teGET /read/b HTTP/1.1\r\n",
                "Host: shop.example\r\nAccept: teGET http://shop.example/read/b HTTP/1.1\r\n");
    }

    /** Guards against a head of two requests that is forwarded as one. */
    @ParameterizedTest
    @MethodSource("ambiguousHeads")
    void ambiguousRequestIsRefused(String headers) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            String sent = "POST /write/a HTTP/1.1\r\n" + headers + "\r\n0\r\n\r\n";
            assertEquals(List.of("400"), send(fleet, SidecarFleet.ENTRY_PORT, sent));
            assertEquals(0, fleet.targets.getFirst().executions().size());
        }
    }

    static Stream<String> ambiguousOffers() {
        return Stream.concat(
                ambiguousHeads().map(headers -> headers + OFFER),
                Stream.of("Host: shop.example\r\n" + OFFER + OFFER));
    }

    /** Guards against an offer of two that is admitted as one. */
    @ParameterizedTest
    @MethodSource("ambiguousOffers")
    void ambiguousOfferIsNotAdmitted(String headers) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            String sent = "POST /write/a HTTP/1.1\r\n" + headers + "\r\n0\r\n\r\n";
            assertEquals(List.of(), send(fleet, SidecarFleet.HOST_PORT, sent));
            assertEquals(0, fleet.targets.getFirst().executions().size());
        }
    }

    /** Guards against a check that refuses sound requests. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Via: HTTP/1.1 gw",
                "Via: 1.1 gw, HTTP/1.0 other",
                "X-Note: speaks HTTP/1.1",
                "X-Note: GET /a HTTP/1.1 was sent before",
                "Upgrade-Insecure-Requests: 1",
            })
    void soundRequestIsServed(String header) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            for (String method : List.of("POST", "PATCH", "PROPPATCH", "REPORT")) {
                String request =
                        SECOND.replace("POST", method).replace("Accept: text/plain", header);
                assertEquals(
                        List.of("200"), send(fleet, SidecarFleet.ENTRY_PORT, request), fleet::log);
            }
            assertTrue(
                    fleet.targets.getFirst().executions().stream()
                            .allMatch(
                                    request ->
                                            header.startsWith("Upgrade")
                                                    || request.headers()
                                                            .containsValue(
                                                                    header.substring(
                                                                            header.indexOf(' ')
                                                                                    + 1))));
        }
    }

    /** Sends bytes and returns the statuses that come until the end. */
    private static List<String> send(SidecarFleet fleet, int port, String text) throws Exception {
        try (Socket socket = new Socket(fleet.ip(0), port)) {
            socket.setSoTimeout(300);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            StringBuilder received = new StringBuilder();
            try {
                for (int next = socket.getInputStream().read();
                        next >= 0;
                        next = socket.getInputStream().read()) {
                    received.append((char) next);
                }
            } catch (IOException ended) {
                // Reset, or the connection stays open.
            }
            return STATUS_LINE.matcher(received).results().map(line -> line.group(1)).toList();
        }
    }
}
