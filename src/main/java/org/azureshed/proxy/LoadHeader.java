package org.azureshed.proxy;

import com.google.common.base.Splitter;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.azureshed.admission.LoadReport;
import org.azureshed.ejection.TargetDigest;
import org.azureshed.model.TargetState;

/**
 * Value of the {@code Azureshed-Load} header, for example {@code
 * boot=1700000000000;clock=5123;in=2;long=1;slots=4;queued=0;state=ready;median=8000;errors=0.0;n=20;spent=9100}.
 * The digest is appended as {@code ;digest=}, with {@code |} between its fields because {@code ;}
 * separates the fields of this header.
 *
 * @param bootId incarnation of the host's process
 * @param clockMillis the host's monotonic clock in milliseconds
 * @param report load of the target
 * @param spentMicros time from the arrival of the request at the host side to the head of its
 *     answer, in microseconds
 * @param digest measurements of the target by the host side; empty before its first request has
 *     ended
 */
record LoadHeader(
        long bootId,
        long clockMillis,
        LoadReport report,
        long spentMicros,
        Optional<TargetDigest> digest) {
    long spentNanos() {
        return TimeUnit.MICROSECONDS.toNanos(spentMicros);
    }

    String encode() {
        return encodeReport()
                + digest.map(known -> ";digest=" + known.encode().replace(';', '|')).orElse("");
    }

    private String encodeReport() {
        return "boot=%d;clock=%d;in=%d;long=%d;slots=%d;queued=%d;state=%s;median=%d;errors=%s;n=%d;spent=%d"
                .formatted(
                        bootId,
                        clockMillis,
                        report.inFlight(),
                        report.longInFlight(),
                        report.slots(),
                        report.queued(),
                        report.state().name().toLowerCase(Locale.ROOT),
                        report.medianServiceMicros(),
                        report.errorShare(),
                        report.samples(),
                        spentMicros);
    }

    /**
     * Parses a header value.
     *
     * @param value the value
     * @return the decoded header, or empty if the value is malformed
     */
    static Optional<LoadHeader> parse(String value) {
        try {
            Map<String, String> fields = Splitter.on(';').withKeyValueSeparator('=').split(value);
            LoadReport report =
                    new LoadReport(
                            Integer.parseInt(fields.get("in")),
                            Integer.parseInt(fields.get("long")),
                            Integer.parseInt(fields.get("slots")),
                            Integer.parseInt(fields.get("queued")),
                            TargetState.valueOf(fields.get("state").toUpperCase(Locale.ROOT)),
                            Long.parseLong(fields.get("median")),
                            Double.parseDouble(fields.get("errors")),
                            Integer.parseInt(fields.get("n")));
            return Optional.of(
                    new LoadHeader(
                            Long.parseLong(fields.get("boot")),
                            Long.parseLong(fields.get("clock")),
                            report,
                            Long.parseLong(fields.get("spent")),
                            Optional.ofNullable(fields.get("digest"))
                                    .flatMap(text -> TargetDigest.parse(text.replace('|', ';')))));
        } catch (IllegalArgumentException | NullPointerException e) {
            return Optional.empty();
        }
    }
}
