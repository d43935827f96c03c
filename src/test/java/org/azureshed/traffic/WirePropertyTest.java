package org.azureshed.traffic;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.azureshed.model.Endpoint;

/** Properties of what other processes send: headers between nodes, addresses and requests. */
class WirePropertyTest {
    @Property
    void offerHeaderIsReadOrIllegal(@ForAll String text) {
        try {
            OfferHeader.decode(text);
        } catch (IllegalArgumentException malformed) {
            // The offer is rejected.
        }
    }

    @Provide
    Arbitrary<String> offers() {
        return Arbitraries.of("t=i", "m=QUEUE", "o=FIRST", "p=1", "r=1", "a=x", "d=1", "u=-5")
                .list()
                .ofMaxSize(12)
                .map(parts -> String.join(";", parts) + ";l=99999999999999999999;b=1");
    }

    @Property
    void offerHeaderWithOddPartsIsReadOrIllegal(@ForAll("offers") String text) {
        offerHeaderIsReadOrIllegal(text);
    }

    @Property
    void endpointIsReadOrIllegal(@ForAll String host, @ForAll long port) {
        for (String text : List.of(host, host + ':' + port, "127.0.0.1:" + port)) {
            try {
                Endpoint endpoint = Endpoint.parseIp(text);
                assertTrue(endpoint.port() > 0 && endpoint.port() < 65_536);
                SocketOptions.address(endpoint);
            } catch (IllegalArgumentException malformed) {
                // The entry or the settings are rejected.
            }
        }
    }

    @Provide
    Arbitrary<List<String>> requests() {
        return Arbitraries.of(
                        "GET /a HTTP/1.1\r\n",
                        "POST /b HTTP/1.1\r\n",
                        "Host: x\r\n",
                        "Content-Length: 5\r\n",
                        "Content-Length: -1\r\n",
                        "Content-Length: 99999999999999999999\r\n",
                        "Transfer-Encoding: chunked\r\n",
                        "Connection: close\r\n",
                        "\r\n",
                        "5\r\nhello\r\n",
                        "0\r\n\r\n",
                        "ffffffffffffffff\r\n",
                        "hello",
                        "\u0000\u0001",
                        "x".repeat(40_000))
                .list()
                .ofMaxSize(12);
    }

    /** Each request gets at most one reply, and no exception leaves the handler. */
    @Property
    void controlRequestIsAnsweredOrEnded(@ForAll("requests") List<String> parts) {
        RecordingEvents failures = new RecordingEvents();
        List<String> handled = new ArrayList<>();
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        new HttpRequestDecoder(16 << 10, 32 << 10, 64 << 10),
                        new HttpResponseEncoder(),
                        new ControlHandler(
                                (method, path, body, reply) -> {
                                    handled.add(path);
                                    reply.accept(ControlEndpoint.Reply.of(200));
                                },
                                failures));
        for (String part : parts) {
            if (channel.isOpen()) {
                channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
            }
        }
        channel.finish();
        StringBuilder out = new StringBuilder();
        for (ByteBuf next = channel.readOutbound(); next != null; next = channel.readOutbound()) {
            out.append(next.toString(StandardCharsets.ISO_8859_1));
            next.release();
        }
        int replies = out.toString().split("HTTP/1.1 ", -1).length - 1;
        assertTrue(replies <= handled.size(), out::toString);
        assertTrue(failures.errors().isEmpty(), failures.errors()::toString);
    }
}
