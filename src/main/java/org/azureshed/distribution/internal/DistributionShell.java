package org.azureshed.distribution.internal;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.azureshed.distribution.ContentDigest;
import org.azureshed.distribution.ContentError;
import org.azureshed.distribution.ContentStore;
import org.azureshed.distribution.DistributionEffect;
import org.azureshed.distribution.DistributionEvent;
import org.azureshed.distribution.ManifestReader;
import org.azureshed.generated.ChunkReply;
import org.azureshed.generated.ChunkRequest;
import org.azureshed.generated.ControlMessage;
import org.azureshed.generated.ManifestReply;
import org.azureshed.generated.ManifestRequest;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoredObject;
import org.azureshed.telemetry.EventLog;
import org.azureshed.transport.ControlHandler;
import org.azureshed.transport.ControlTransport;
import org.azureshed.transport.TransportError;

/**
 * Fetches and serves manifests and chunks for the distribution reducer.
 *
 * <p>{@link DistributionEffect.WatchIndex}, {@link DistributionEffect.Activate} and {@link
 * DistributionEffect.WriteBack} depend on the preset format and are passed to the given consumer.
 */
public final class DistributionShell {
    /** A chunk of 256 KB takes milliseconds; a longer wait means that the peer is unreachable. */
    private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(2);

    private final ControlTransport transport;
    private final ContentStore contents;
    private final ManifestReader manifests;
    private final ObjectStore platform;
    private final String kind;
    private final Consumer<DistributionEvent> events;
    private final Consumer<DistributionEffect> others;

    /**
     * Creates a shell.
     *
     * @param transport control connections
     * @param contents stores fetched contents
     * @param manifests reads the chunk digests from a manifest
     * @param platform the platform's store
     * @param kind kind of the platform's objects that hold contents, named by digest
     * @param events receives events for the reducer
     * @param others receives effects that other parts of the node handle
     */
    public DistributionShell(
            ControlTransport transport,
            ContentStore contents,
            ManifestReader manifests,
            ObjectStore platform,
            String kind,
            Consumer<DistributionEvent> events,
            Consumer<DistributionEffect> others) {
        this.transport = transport;
        this.contents = contents;
        this.manifests = manifests;
        this.platform = platform;
        this.kind = kind;
        this.events = events;
        this.others = others;
    }

    /**
     * Carries out an effect. Does not block.
     *
     * @param effect the effect
     */
    public void carryOut(DistributionEffect effect) {
        switch (effect) {
            case DistributionEffect.FetchFromPeer(
                            NodeId peer,
                            Endpoint endpoint,
                            ContentDigest digest,
                            boolean manifest) ->
                    requestFromPeer(endpoint, digest, manifest)
                            .thenAccept(
                                    content ->
                                            storeFetched(
                                                    content, digest, manifest, Optional.of(peer)));
            case DistributionEffect.FetchFromPlatform(ContentDigest digest, boolean manifest) ->
                    Thread.ofVirtual()
                            .name("fetch-" + digest)
                            .start(
                                    () ->
                                            storeFetched(
                                                    read(digest),
                                                    digest,
                                                    manifest,
                                                    Optional.empty()));
            case DistributionEffect.Retain(var digests) -> contents.retain(digests);
            case DistributionEffect.ReportConflict(long number, var known, var other, var source) ->
                    EventLog.warning("activation_conflict")
                            .with("activation", number)
                            .with("kept_manifest", known)
                            .with("other_manifest", other)
                            .with("source", source.map(NodeId::value).orElse("platform"))
                            .with("remedy", "use the wanted preset again")
                            .write();
            default -> others.accept(effect);
        }
    }

    /**
     * Answers a request for a manifest or chunk.
     *
     * @param message a message of a peer
     * @param replier sends the reply
     * @return false if the message is something else; it is then not answered
     */
    public boolean serve(ControlMessage message, ControlHandler.Replier replier) {
        switch (message.getBodyCase()) {
            case MANIFEST_REQUEST -> {
                Optional<byte[]> content = find(message.getManifestRequest().getDigest());
                ManifestReply.Builder reply = ManifestReply.newBuilder();
                content.ifPresent(b -> reply.setFound(true).setContent(ByteString.copyFrom(b)));
                replier.reply(ControlMessage.newBuilder().setManifestReply(reply).build());
                return true;
            }
            case CHUNK_REQUEST -> {
                Optional<byte[]> content = find(message.getChunkRequest().getDigest());
                ChunkReply.Builder reply = ChunkReply.newBuilder();
                content.ifPresent(b -> reply.setFound(true).setContent(ByteString.copyFrom(b)));
                replier.reply(ControlMessage.newBuilder().setChunkReply(reply).build());
                return true;
            }
            default -> {
                return false;
            }
        }
    }

    private Optional<byte[]> find(ByteString digest) {
        try {
            return contents.get(ContentDigest.fromBytes(digest.toByteArray()));
        } catch (IllegalArgumentException ignored) {
            // No content has a malformed digest.
            return Optional.empty();
        }
    }

    private CompletionStage<Optional<byte[]>> requestFromPeer(
            Endpoint peer, ContentDigest digest, boolean manifest) {
        ByteString bytes = ByteString.copyFrom(digest.toBytes());
        ControlMessage.Builder message = ControlMessage.newBuilder();
        if (manifest) {
            message.setManifestRequest(ManifestRequest.newBuilder().setDigest(bytes));
        } else {
            message.setChunkRequest(ChunkRequest.newBuilder().setDigest(bytes));
        }
        return transport
                .request(peer, message.build(), FETCH_TIMEOUT)
                .thenApply(reply -> content(reply, manifest));
    }

    private static Optional<byte[]> content(
            Either<TransportError, ControlMessage> reply, boolean manifest) {
        if (reply.isLeft()) {
            return Optional.empty();
        }
        ManifestReply manifestReply = reply.get().getManifestReply();
        ChunkReply chunkReply = reply.get().getChunkReply();
        boolean found = manifest ? manifestReply.getFound() : chunkReply.getFound();
        ByteString content = manifest ? manifestReply.getContent() : chunkReply.getContent();
        return found ? Optional.of(content.toByteArray()) : Optional.empty();
    }

    private Optional<byte[]> read(ContentDigest digest) {
        return platform.get(new ObjectKey(kind, digest.hex()))
                .peekLeft(
                        error ->
                                EventLog.warning("content_fetch_failed")
                                        .with("digest", digest)
                                        .with("error", error.message())
                                        .write())
                .map(StoredObject::value)
                .toJavaOptional();
    }

    private void storeFetched(
            Optional<byte[]> content,
            ContentDigest digest,
            boolean manifest,
            Optional<NodeId> source) {
        if (content.isEmpty()) {
            events.accept(new DistributionEvent.FetchFailed(digest, source));
            return;
        }
        Either<ContentError, DistributionEvent> result =
                contents.put(digest, content.get())
                        .flatMap(stored -> stored(digest, content.get(), manifest));
        result.peekLeft(
                error ->
                        EventLog.warning("content_refused")
                                .with("source", source.map(NodeId::value).orElse("platform"))
                                .with("error", error.message())
                                .write());
        events.accept(result.getOrElse(new DistributionEvent.FetchFailed(digest, source)));
    }

    private Either<ContentError, DistributionEvent> stored(
            ContentDigest digest, byte[] content, boolean manifest) {
        if (!manifest) {
            return Either.right(new DistributionEvent.ChunkStored(digest));
        }
        return manifests
                .chunks(digest, content)
                .map(chunks -> new DistributionEvent.ManifestStored(digest, chunks));
    }
}
