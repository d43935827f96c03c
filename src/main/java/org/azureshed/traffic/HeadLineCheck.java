package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.azureshed.http.HeadLines;

/**
 * Checks the lines of each message head on a connection as they arrived. Netty's decoder skips
 * control characters before the first line and converts the words of that line, so that a decoded
 * head no longer tells what was received.
 */
final class HeadLineCheck {
    /** Where the next undecoded byte stands. */
    private enum Position {
        FIRST_LINE,
        HEADERS,
        BODY
    }

    private final boolean ofResponses;

    /** Beginning of the header line with a request's identifier, in lower case; may be empty. */
    private final String idPrefix;

    private String id = "";
    private Position position = Position.FIRST_LINE;
    private boolean failed;

    private HeadLineCheck(boolean ofResponses, String idPrefix) {
        this.ofResponses = ofResponses;
        this.idPrefix = idPrefix;
    }

    /**
     * Creates a check of requests.
     *
     * @param idHeader name of the header with a request's identifier, which is also read from a
     *     malformed head; empty if there is none
     */
    static HeadLineCheck ofRequests(String idHeader) {
        return new HeadLineCheck(
                false, idHeader.isEmpty() ? "" : idHeader.toLowerCase(Locale.ROOT) + ':');
    }

    static HeadLineCheck ofResponses() {
        return new HeadLineCheck(true, "");
    }

    /** Identifier of the last request whose head was read, also in part; empty if it has none. */
    String id() {
        return id;
    }

    /**
     * Checks the complete lines that the decoder is about to decode. The bytes of a malformed head,
     * and all that follow, are dropped.
     *
     * @param buffer received bytes that are not decoded yet
     * @param createInvalid creates the message that reports a malformed head
     * @param out receives that message
     * @return whether the decoder may go on
     */
    boolean accept(ByteBuf buffer, Supplier<HttpMessage> createInvalid, List<Object> out) {
        Optional<String> fault = failed ? Optional.empty() : fault(buffer);
        if (fault.isPresent()) {
            failed = true;
            noteIds(buffer);
            HttpMessage invalid = createInvalid.get();
            invalid.setDecoderResult(
                    DecoderResult.failure(new IllegalArgumentException(fault.get())));
            out.add(invalid);
        }
        if (failed) {
            buffer.skipBytes(buffer.readableBytes());
        }
        return !failed;
    }

    private Optional<String> fault(ByteBuf buffer) {
        int start = buffer.readerIndex();
        while (position != Position.BODY) {
            if (position == Position.FIRST_LINE) {
                start = skipEmptyLines(buffer, start);
                if (start < buffer.writerIndex() && !mayBegin(buffer.getByte(start))) {
                    // The decoder would skip this byte before the line is complete.
                    return Optional.of("malformed first byte");
                }
            }
            int lineFeed = buffer.indexOf(start, buffer.writerIndex(), (byte) '\n');
            if (lineFeed < 0) {
                return Optional.empty();
            }
            String line = line(buffer, start, lineFeed);
            Optional<String> fault = next(line);
            if (fault.isPresent()) {
                return fault;
            }
            start = lineFeed + 1;
        }
        return Optional.empty();
    }

    /** Looks for the identifier in the lines that the fault left unchecked. */
    private void noteIds(ByteBuf buffer) {
        if (!idPrefix.isEmpty()) {
            buffer.toString(StandardCharsets.ISO_8859_1).lines().forEach(this::noteId);
        }
    }

    private void noteId(String line) {
        if (!idPrefix.isEmpty() && line.regionMatches(true, 0, idPrefix, 0, idPrefix.length())) {
            id = line.substring(idPrefix.length()).trim();
        }
    }

    /** A server ignores empty lines before a request; before a response there are none. */
    private int skipEmptyLines(ByteBuf buffer, int from) {
        int start = from;
        while (!ofResponses
                && start < buffer.writerIndex()
                && (buffer.getByte(start) == '\r' || buffer.getByte(start) == '\n')) {
            start++;
        }
        return start;
    }

    private boolean mayBegin(byte first) {
        return ofResponses ? first == 'H' : HeadLines.isTokenCharacter((char) (first & 0xff));
    }

    private static String line(ByteBuf buffer, int start, int lineFeed) {
        boolean carriageReturn = lineFeed > start && buffer.getByte(lineFeed - 1) == '\r';
        int length = lineFeed - start - (carriageReturn ? 1 : 0);
        return buffer.toString(start, length, StandardCharsets.ISO_8859_1);
    }

    private Optional<String> next(String line) {
        if (position == Position.FIRST_LINE) {
            position = Position.HEADERS;
            id = "";
            boolean sound =
                    ofResponses ? HeadLines.isStatusLine(line) : HeadLines.isRequestLine(line);
            return sound
                    ? Optional.empty()
                    : Optional.of(ofResponses ? "no status line" : "no request line");
        }
        if (line.isEmpty()) {
            position = Position.BODY;
            return Optional.empty();
        }
        noteId(line);
        return HeadLines.isHeader(line, ofResponses)
                ? Optional.empty()
                : Optional.of("malformed header line");
    }

    /** Notes what the decoder has decoded: the next message begins behind the end of this one. */
    void decoded(List<Object> out) {
        if (out.isEmpty() || !(out.get(out.size() - 1) instanceof HttpObject last)) {
            return;
        }
        failed = last.decoderResult().isFailure();
        if (last instanceof LastHttpContent) {
            position = Position.FIRST_LINE;
        }
    }
}
