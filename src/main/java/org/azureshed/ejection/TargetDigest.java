package org.azureshed.ejection;

import com.google.common.base.Splitter;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Measurements of one target by its host, which do not include the network. The text form is part
 * of the {@code Azureshed-Load} header.
 *
 * @param windowEndMillis end of the window on the host's monotonic clock, in milliseconds
 * @param classes one entry for each class that has samples
 */
public record TargetDigest(long windowEndMillis, List<ClassDigest> classes) {
    /** Largest number of classes in one digest; bounds the size of the header. */
    public static final int MAX_CLASSES = 16;

    private static final int MAX_TEXT_LENGTH = 4096;
    private static final int FIELDS = 10;

    /** Nodes of earlier versions send no totals. */
    private static final int FIELDS_WITHOUT_TOTALS = 8;

    /** Copies the list. */
    public TargetDigest {
        classes = List.copyOf(classes);
    }

    /**
     * Whether the target gets so few requests that each of its digests should be evaluated.
     *
     * @return true if its window has fewer requests than a usual comparison needs
     */
    public boolean sparse() {
        // Called for each answer; a loop costs less than a stream.
        int samples = 0;
        for (ClassDigest digest : classes) {
            samples += digest.samples();
        }
        return samples < OutlierDetector.MIN_SAMPLES;
    }

    /**
     * Encodes the digest.
     *
     * @return text of visible ASCII characters without spaces, for example {@code
     *     52000;page,40,1,39,51000,72000,98000,1000,5200,31}
     */
    public String encode() {
        StringBuilder text = new StringBuilder().append(windowEndMillis);
        for (ClassDigest digest : classes) {
            text.append(';')
                    .append(URLEncoder.encode(digest.requestClass(), StandardCharsets.UTF_8))
                    .append(',')
                    .append(digest.samples())
                    .append(',')
                    .append(digest.errors())
                    .append(',')
                    .append(digest.timed())
                    .append(',')
                    .append(digest.medianMicros())
                    .append(',')
                    .append(digest.p75Micros())
                    .append(',')
                    .append(digest.p90Micros())
                    .append(',')
                    .append(digest.spanMillis())
                    .append(',')
                    .append(digest.totalSamples())
                    .append(',')
                    .append(digest.totalErrors());
        }
        return text.toString();
    }

    /**
     * Decodes a digest.
     *
     * @param text the encoded form
     * @return the digest, or empty if the text is malformed or too long
     */
    public static Optional<TargetDigest> parse(String text) {
        if (text.length() > MAX_TEXT_LENGTH) {
            return Optional.empty();
        }
        List<String> parts = Splitter.on(';').splitToList(text);
        if (parts.size() > MAX_CLASSES + 1) {
            return Optional.empty();
        }
        try {
            List<ClassDigest> classes = new ArrayList<>();
            for (String part : parts.subList(1, parts.size())) {
                classes.add(parseClass(Splitter.on(',').splitToList(part)));
            }
            return Optional.of(new TargetDigest(Long.parseLong(parts.get(0)), classes));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static ClassDigest parseClass(List<String> fields) {
        boolean totals = fields.size() == FIELDS;
        if (!totals && fields.size() != FIELDS_WITHOUT_TOTALS) {
            throw new IllegalArgumentException("a class digest has " + FIELDS + " fields");
        }
        return new ClassDigest(
                URLDecoder.decode(fields.get(0), StandardCharsets.UTF_8),
                Integer.parseInt(fields.get(1)),
                Integer.parseInt(fields.get(2)),
                Integer.parseInt(fields.get(3)),
                Long.parseLong(fields.get(4)),
                Long.parseLong(fields.get(5)),
                Long.parseLong(fields.get(6)),
                Long.parseLong(fields.get(7)),
                totals ? Long.parseLong(fields.get(8)) : 0,
                totals ? Long.parseLong(fields.get(9)) : 0);
    }
}
