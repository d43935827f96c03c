package org.azureshed.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultClassicHttpResponseFactory;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.http.message.LazyLaxLineParser;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the response heads of one connection, rejects those put together from two, and tells
 * whether received bytes are left.
 */
final class ResponseParsers implements HttpMessageParserFactory<ClassicHttpResponse> {
    private static final HttpMessageParserFactory<ClassicHttpResponse> STRICT =
            new DefaultHttpResponseParserFactory(
                    new StrictLineParser(), DefaultClassicHttpResponseFactory.INSTANCE);

    private volatile SessionInputBuffer buffer;

    /** Rejects a first line that the library would read as some other status line. */
    private static final class StrictLineParser extends LazyLaxLineParser {
        @Override
        public StatusLine parseStatusLine(CharArrayBuffer line) throws ParseException {
            if (!HeadLines.isStatusLine(line.toString())) {
                throw new ParseException("no status line");
            }
            return super.parseStatusLine(line);
        }
    }

    /** Whether received bytes are not parsed yet. */
    boolean bytesLeft() {
        SessionInputBuffer parsed = buffer;
        return parsed != null && parsed.length() > 0;
    }

    @Override
    public HttpMessageParser<ClassicHttpResponse> create(Http1Config config) {
        HttpMessageParser<ClassicHttpResponse> parser = STRICT.create(config);
        return (SessionInputBuffer input, InputStream stream) -> {
            buffer = input;
            return checked(parser, input, stream);
        };
    }

    private static ClassicHttpResponse checked(
            HttpMessageParser<ClassicHttpResponse> parser,
            SessionInputBuffer input,
            InputStream stream)
            throws IOException, HttpException {
        ClassicHttpResponse response = parser.parse(input, stream);
        if (response == null) {
            return null;
        }
        if (response.getReasonPhrase() != null && StatusLines.in(response.getReasonPhrase())) {
            throw new ProtocolException("status line in the reason phrase");
        }
        for (Header header : response.getHeaders()) {
            if (StatusLines.in(header.getName())
                    || header.getValue() != null && StatusLines.in(header.getValue())) {
                throw new ProtocolException("status line in header " + header.getName());
            }
        }
        if (response.containsHeader(HttpHeaders.CONTENT_LENGTH)
                && response.containsHeader(HttpHeaders.TRANSFER_ENCODING)) {
            throw new ProtocolException("both Transfer-Encoding and Content-Length");
        }
        return response;
    }
}
