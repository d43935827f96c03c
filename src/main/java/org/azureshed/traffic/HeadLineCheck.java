package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.azureshed.dispatch.CallerAccount;
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

    /** Bytes of an unfinished line that are kept behind a fault, to find the identifier in it. */
    private static final int MAX_KEPT_BYTES = 4 << 10;

    /**
     * Bytes of empty lines that are skipped before a request. Clients send at most one such line
     * after a request; without a bound one could send them without end.
     */
    private static final int MAX_EMPTY_LINE_BYTES = 4 << 10;

    /** Length of the shortest line of a header with its end. */
    private static final int MIN_LINE_BYTES = 4;

    private final boolean ofResponses;

    /** Largest size in bytes of the first line, and of all headers together. */
    private final IntSupplier maxBytes;

    private int headerBytes;

    /** Lines and bytes of the head that is being read, and empty lines before it. */
    private int headLines;

    private int headBytes;
    private int partialLineBytes;
    private int emptyLineBytes;

    /** Bytes since the last part of a body: lengths and extensions of chunks, trailers. */
    private int framingBytes;

    /** Beginning of the header line with a request's identifier, in lower case; may be empty. */
    private final String idPrefix;

    private String id = "";
    private Position position = Position.FIRST_LINE;
    private boolean failed;

    private HeadLineCheck(boolean ofResponses, IntSupplier maxBytes, String idPrefix) {
        this.ofResponses = ofResponses;
        this.maxBytes = maxBytes;
        this.idPrefix = idPrefix;
    }

    /**
     * Creates a check of requests.
     *
     * @param maxBytes largest size in bytes of the request line, and of all headers together; may
     *     change
     * @param idHeader name of the header with a request's identifier, which is also read from a
     *     malformed head; empty if there is none
     */
    static HeadLineCheck ofRequests(IntSupplier maxBytes, String idHeader) {
        return new HeadLineCheck(
                false, maxBytes, idHeader.isEmpty() ? "" : idHeader.toLowerCase(Locale.ROOT) + ':');
    }

    /** Creates a check of responses, whose size the decoder limits. */
    static HeadLineCheck ofResponses() {
        return new HeadLineCheck(true, () -> Integer.MAX_VALUE, "");
    }

    /** Identifier of the request whose head is being read; empty if it has none so far. */
    String id() {
        return id;
    }

    /** Estimate of the heap that the head or the trailers being read use; 0 between them. */
    long unfinishedHeadBytes() {
        return CallerAccount.headBytes(
                headLines + framingBytes / MIN_LINE_BYTES,
                headBytes + framingBytes + partialLineBytes);
    }

    /**
     * Counts what the decoder read of a body without passing anything on, and what it left unread:
     * lines between chunks and trailers, to which the limit of heads applies.
     *
     * @param readBytes number of bytes that the decoder read
     * @param leftBytes number of bytes that it left because a line is not complete
     * @param out receives a message that reports a fault
     */
    void readWithoutOutput(int readBytes, int leftBytes, List<Object> out) {
        if (position != Position.BODY || failed) {
            return;
        }
        framingBytes += readBytes;
        if (framingBytes + leftBytes > maxBytes.getAsInt()) {
            failed = true;
            DefaultLastHttpContent invalid = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
            invalid.setDecoderResult(
                    DecoderResult.failure(
                            new TooLongHttpHeaderException(
                                    "trailers above the limit of " + maxBytes.getAsInt())));
            out.add(invalid);
        }
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
        Optional<RuntimeException> fault = failed ? Optional.empty() : fault(buffer);
        if (fault.isPresent()) {
            failed = true;
            HttpMessage invalid = createInvalid.get();
            invalid.setDecoderResult(DecoderResult.failure(fault.get()));
            out.add(invalid);
        }
        if (failed) {
            skip(buffer);
        }
        return !failed;
    }

    private Optional<RuntimeException> fault(ByteBuf buffer) {
        int start = buffer.readerIndex();
        while (position != Position.BODY) {
            if (position == Position.FIRST_LINE) {
                int first = skipEmptyLines(buffer, start);
                emptyLineBytes += first - start;
                start = first;
                // The decoder would skip them as well, but also control characters behind them.
                buffer.readerIndex(start);
                if (emptyLineBytes > MAX_EMPTY_LINE_BYTES) {
                    return malformed("too many empty lines before a request");
                }
                if (start < buffer.writerIndex() && !mayBegin(buffer.getByte(start))) {
                    // The decoder would skip this byte before the line is complete.
                    return malformed("malformed first byte");
                }
            }
            int lineFeed = buffer.indexOf(start, buffer.writerIndex(), (byte) '\n');
            int lineEnd = lineFeed < 0 ? buffer.writerIndex() : lineFeed + 1;
            int bytes = (position == Position.HEADERS ? headerBytes : 0) + lineEnd - start;
            if (bytes > maxBytes.getAsInt()) {
                return Optional.of(
                        new TooLongHttpHeaderException(
                                "head above the limit of " + maxBytes.getAsInt() + " bytes"));
            }
            partialLineBytes = lineFeed < 0 ? lineEnd - start : 0;
            if (lineFeed < 0) {
                return Optional.empty();
            }
            headerBytes = position == Position.HEADERS ? bytes : 0;
            headLines++;
            headBytes += lineEnd - start;
            String line = line(buffer, start, lineFeed);
            Optional<RuntimeException> fault = next(line);
            if (fault.isPresent()) {
                return fault;
            }
            start = lineEnd;
        }
        return Optional.empty();
    }

    private static Optional<RuntimeException> malformed(String message) {
        return Optional.of(new IllegalArgumentException(message));
    }

    /** Drops the bytes from a fault on; looks for the identifier in them if it is not known. */
    private void skip(ByteBuf buffer) {
        int end = buffer.writerIndex();
        if (!idPrefix.isEmpty() && id.isEmpty()) {
            int lineFeed = nextLineFeed(buffer);
            while (lineFeed >= 0 && id.isEmpty()) {
                noteId(line(buffer, buffer.readerIndex(), lineFeed));
                buffer.readerIndex(lineFeed + 1);
                lineFeed = nextLineFeed(buffer);
            }
            boolean unfinishedLine = id.isEmpty() && buffer.readableBytes() <= MAX_KEPT_BYTES;
            end = unfinishedLine ? buffer.readerIndex() : end;
        }
        buffer.readerIndex(end);
    }

    private static int nextLineFeed(ByteBuf buffer) {
        return buffer.indexOf(buffer.readerIndex(), buffer.writerIndex(), (byte) '\n');
    }

    private void noteId(String line) {
        if (!idPrefix.isEmpty() && line.regionMatches(true, 0, idPrefix, 0, idPrefix.length())) {
            String value = line.substring(idPrefix.length()).trim();
            id = HeadLines.isToken(value) ? LogText.shorten(value) : "";
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

    private Optional<RuntimeException> next(String line) {
        if (position == Position.FIRST_LINE) {
            position = Position.HEADERS;
            boolean sound =
                    ofResponses ? HeadLines.isStatusLine(line) : HeadLines.isRequestLine(line);
            return sound
                    ? Optional.empty()
                    : malformed(ofResponses ? "no status line" : "no request line");
        }
        if (line.isEmpty()) {
            position = Position.BODY;
            return Optional.empty();
        }
        noteId(line);
        return HeadLines.isHeader(line, ofResponses)
                ? Optional.empty()
                : malformed("malformed header line");
    }

    /** Notes what the decoder has decoded: the next message begins behind the end of this one. */
    void decoded(List<Object> out) {
        if (out.isEmpty() || !(out.get(out.size() - 1) instanceof HttpObject last)) {
            return;
        }
        failed = last.decoderResult().isFailure();
        if (!failed) {
            // The decoder has passed the head on.
            headLines = 0;
            headBytes = 0;
            framingBytes = 0;
        }
        if (last instanceof LastHttpContent) {
            position = Position.FIRST_LINE;
            emptyLineBytes = 0;
            id = "";
        }
    }
}
