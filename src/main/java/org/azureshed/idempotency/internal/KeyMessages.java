package org.azureshed.idempotency.internal;

import com.google.common.io.BaseEncoding;
import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.azureshed.generated.ClaimOutcome;
import org.azureshed.generated.KeyRecord;
import org.azureshed.generated.RequestKey;
import org.azureshed.generated.StoredResponse;
import org.azureshed.idempotency.Claim;
import org.azureshed.idempotency.ClaimId;
import org.azureshed.idempotency.ClaimReply;
import org.azureshed.idempotency.ContentFingerprint;
import org.azureshed.idempotency.HandOver;
import org.azureshed.idempotency.IdempotencyKey;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.idempotency.OutcomeReport;
import org.azureshed.idempotency.StoredAnswer;
import org.azureshed.model.NodeId;
import org.azureshed.model.Outcome;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.UnknownCause;

/** Converts claims, replies, reports and records to and from control messages. */
final class KeyMessages {
    private static final String CONTENT_TYPE = "Content-Type";
    private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();
    private static final int UUID_BYTES = 16;
    private static final int CLAIM_ID_PARTS = 3;

    /**
     * Stands for the claim of a completed record, which the message does not carry. No report
     * matches it.
     */
    private static final ClaimId NO_CLAIM = new ClaimId(new NodeInstance(new NodeId("-"), 0), 0);

    private KeyMessages() {}

    static org.azureshed.generated.Claim encode(Claim claim) {
        return org.azureshed.generated.Claim.newBuilder()
                .setRange(KeyRange.of(claim.key()).number())
                .setEpochSeen(claim.epochSeen())
                .setKey(encode(claim.key()))
                .setContentFingerprint(ByteString.copyFrom(HEX.decode(claim.fingerprint().hex())))
                .setExchange(encode(claim.id()))
                .setSender(claim.id().entry().node().value())
                .setDeadlineMillis((int) claim.workMillis())
                .build();
    }

    static Claim decode(org.azureshed.generated.Claim claim) {
        return new Claim(
                claimId(claim.getExchange()),
                decode(claim.getKey()),
                new ContentFingerprint(HEX.encode(claim.getContentFingerprint().toByteArray())),
                claim.getEpochSeen(),
                Integer.toUnsignedLong(claim.getDeadlineMillis()));
    }

    static org.azureshed.generated.ClaimReply encode(ClaimReply reply) {
        org.azureshed.generated.ClaimReply.Builder out =
                org.azureshed.generated.ClaimReply.newBuilder();
        switch (reply) {
            case ClaimReply.Granted(long length, long epoch) ->
                    out.setEpoch(epoch).getGrantedBuilder().setValidMillis((int) length);
            case ClaimReply.Completed(StoredAnswer answer) ->
                    out.getCompletedBuilder().setResponse(encode(answer));
            case ClaimReply.InProgress ignored -> out.getInProgressBuilder();
            case ClaimReply.Unknown ignored -> out.getUnknownBuilder();
            case ClaimReply.Mismatch ignored -> out.getMismatchBuilder();
            case ClaimReply.NotOwner(Optional<NodeInstance> hint) ->
                    out.getNotOwnerBuilder()
                            .setHint(hint.map(holder -> holder.node().value()).orElse(""));
            case ClaimReply.KeyExpired ignored -> out.getKeyExpiredBuilder();
            case ClaimReply.KeyFromFuture ignored -> out.getKeyFromFutureBuilder();
            case ClaimReply.KeyBeforeTakeover ignored -> out.getKeyBeforeTakeoverBuilder();
            case ClaimReply.RecordFull ignored -> out.getRecordFullBuilder();
        }
        return out.build();
    }

    static ClaimReply decode(org.azureshed.generated.ClaimReply reply) {
        return switch (reply.getResultCase()) {
            case GRANTED ->
                    new ClaimReply.Granted(
                            Integer.toUnsignedLong(reply.getGranted().getValidMillis()),
                            reply.getEpoch());
            case COMPLETED -> new ClaimReply.Completed(decode(reply.getCompleted().getResponse()));
            case IN_PROGRESS -> new ClaimReply.InProgress();
            case UNKNOWN -> new ClaimReply.Unknown();
            case MISMATCH -> new ClaimReply.Mismatch();
            case KEY_EXPIRED -> new ClaimReply.KeyExpired();
            case KEY_FROM_FUTURE -> new ClaimReply.KeyFromFuture();
            case KEY_BEFORE_TAKEOVER -> new ClaimReply.KeyBeforeTakeover();
            case RECORD_FULL -> new ClaimReply.RecordFull();
            case NOT_OWNER, RESULT_NOT_SET -> new ClaimReply.NotOwner(Optional.empty());
        };
    }

    static ClaimOutcome encode(OutcomeReport report) {
        ClaimOutcome.Builder out =
                ClaimOutcome.newBuilder()
                        .setRange(KeyRange.of(report.key()).number())
                        .setKey(encode(report.key()))
                        .setExchange(encode(report.claim()));
        switch (report.outcome()) {
            case Outcome.Completed(int status) ->
                    out.setCompleted(encode(report.answer().orElse(StoredAnswer.ofStatus(status))));
            case Outcome.NotRun(RefusalReason reason) ->
                    out.getNotRunBuilder().setReason(reason.label());
            case Outcome.Unknown(UnknownCause cause) ->
                    out.getUnknownBuilder().setCause(cause.label());
        }
        return out.build();
    }

    static OutcomeReport decode(ClaimOutcome report) {
        Optional<StoredAnswer> answer =
                report.hasCompleted()
                        ? Optional.of(decode(report.getCompleted()))
                        : Optional.empty();
        Outcome outcome =
                switch (report.getOutcomeCase()) {
                    case COMPLETED -> new Outcome.Completed(report.getCompleted().getStatus());
                    case NOT_RUN ->
                            new Outcome.NotRun(
                                    RefusalReason.parse(report.getNotRun().getReason())
                                            .orElse(RefusalReason.KEY_OWNER_UNAVAILABLE));
                    // The owner does not use the cause.
                    case UNKNOWN, OUTCOME_NOT_SET ->
                            new Outcome.Unknown(UnknownCause.NODE_CONNECTION_LOST);
                };
        return new OutcomeReport(
                claimId(report.getExchange()), decode(report.getKey()), outcome, answer);
    }

    static KeyRecord encode(HandOver.Entry entry) {
        KeyRecord.Builder out =
                KeyRecord.newBuilder()
                        .setKey(encode(entry.key()))
                        .setContentFingerprint(
                                ByteString.copyFrom(HEX.decode(entry.fingerprint().hex())));
        // A record with unknown outcome is sent as in progress with no time left. It then carries
        // the claim id, which a late report of its completion must match.
        entry.answer()
                .ifPresentOrElse(
                        answer -> out.setCompleted(encode(answer)),
                        () ->
                                out.getInProgressBuilder()
                                        .setPermitMillisLeft((int) entry.permitLeftMillis())
                                        .setUnknownInMillis((int) entry.unknownLeftMillis())
                                        .setExchange(encode(entry.claim())));
        return out.build();
    }

    static HandOver.Entry decode(KeyRecord entry) {
        Optional<StoredAnswer> answer =
                entry.hasCompleted() ? Optional.of(decode(entry.getCompleted())) : Optional.empty();
        ClaimId claim =
                entry.hasInProgress() ? claimId(entry.getInProgress().getExchange()) : NO_CLAIM;
        return new HandOver.Entry(
                decode(entry.getKey()),
                new ContentFingerprint(HEX.encode(entry.getContentFingerprint().toByteArray())),
                claim,
                Integer.toUnsignedLong(entry.getInProgress().getPermitMillisLeft()),
                Integer.toUnsignedLong(entry.getInProgress().getUnknownInMillis()),
                answer);
    }

    private static StoredResponse encode(StoredAnswer answer) {
        return StoredResponse.newBuilder()
                .setStatus(answer.status())
                .setContentType(answer.headers().getOrDefault(CONTENT_TYPE, ""))
                .setBody(answer.body())
                .build();
    }

    private static StoredAnswer decode(StoredResponse response) {
        Map<String, String> headers =
                response.getContentType().isEmpty()
                        ? Map.of()
                        : Map.of(CONTENT_TYPE, response.getContentType());
        return new StoredAnswer(response.getStatus(), headers, response.getBody());
    }

    private static RequestKey encode(IdempotencyKey key) {
        ByteBuffer bytes =
                ByteBuffer.allocate(UUID_BYTES)
                        .putLong(key.value().getMostSignificantBits())
                        .putLong(key.value().getLeastSignificantBits())
                        .flip();
        return RequestKey.newBuilder()
                .setOrganisation(key.organisation())
                .setRoute(key.route())
                .setKey(ByteString.copyFrom(bytes))
                .build();
    }

    private static IdempotencyKey decode(RequestKey key) {
        ByteBuffer bytes = key.getKey().asReadOnlyByteBuffer();
        if (bytes.remaining() != UUID_BYTES) {
            throw new IllegalArgumentException(
                    "key has " + bytes.remaining() + " bytes instead of 16");
        }
        return new IdempotencyKey(
                key.getOrganisation(), key.getRoute(), new UUID(bytes.getLong(), bytes.getLong()));
    }

    private static String encode(ClaimId id) {
        return id.number() + " " + id.entry().incarnation() + " " + id.entry().node();
    }

    private static ClaimId claimId(String text) {
        String[] parts = text.split(" ", CLAIM_ID_PARTS);
        if (parts.length != CLAIM_ID_PARTS) {
            throw new IllegalArgumentException(
                    "claim id \"" + text + "\" is not of the form <number> <incarnation> <node>");
        }
        return new ClaimId(
                new NodeInstance(new NodeId(parts[2]), Long.parseLong(parts[1])),
                Long.parseLong(parts[0]));
    }
}
