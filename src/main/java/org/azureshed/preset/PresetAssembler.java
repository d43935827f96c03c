package org.azureshed.preset;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.Preset;
import org.azureshed.model.RequestClass;
import org.azureshed.model.Route;
import org.azureshed.model.ServicePolicy;

/**
 * Assembles presets from chunks and caches the parsed chunks of the last preset, so a change
 * requires parsing only the changed chunks. A node has to apply a change every 20 s with a small
 * share of a core, which rules out parsing the whole preset each time.
 *
 * <pre>{@code
 * PresetAssembler assembler = new PresetAssembler();
 * assembler.assemble(manifestDigest, manifest, allChunks);
 * assembler.assemble(nextManifestDigest, nextManifest, changedChunks);
 * }</pre>
 *
 * <p>This class is not thread-safe.
 */
public final class PresetAssembler {
    private Map<String, PresetPart> cachedParts = Map.of();

    /**
     * Finds the chunks of a manifest that the caller has to pass to {@link #assemble}.
     *
     * @param digests digests that the manifest lists
     * @return the digests that are not cached from the last preset
     */
    public List<String> missing(List<String> digests) {
        return digests.stream().filter(digest -> !cachedParts.containsKey(digest)).toList();
    }

    /**
     * Assembles a preset. The order of its routes is unspecified.
     *
     * @param manifestDigest digest that the manifest must have
     * @param manifest the manifest
     * @param chunks chunks by digest, at least the {@link #missing} ones
     * @return the preset, or {@link PresetError.Corrupt} or {@link PresetError.Invalid}; after an
     *     error the chunks of the last preset stay cached
     */
    public Either<PresetError, Preset> assemble(
            String manifestDigest, byte[] manifest, Map<String, byte[]> chunks) {
        Either<PresetError, List<String>> digests = PresetChunks.digests(manifestDigest, manifest);
        if (digests.isLeft()) {
            return Either.left(digests.getLeft());
        }
        Map<String, PresetPart> parts = new HashMap<>();
        for (String digest : digests.get()) {
            PresetPart cached = cachedParts.get(digest);
            Either<PresetError, PresetPart> part =
                    cached != null ? Either.right(cached) : parse(digest, chunks.get(digest));
            if (part.isLeft()) {
                return Either.left(part.getLeft());
            }
            parts.put(digest, part.get());
        }
        Either<PresetError, Preset> preset = combine(manifestDigest, parts);
        if (preset.isRight()) {
            cachedParts = parts;
        }
        return preset;
    }

    private static Either<PresetError, PresetPart> parse(String digest, byte[] content) {
        if (content == null) {
            return Either.left(PresetChunks.corrupt(digest, "it is missing"));
        }
        Either<PresetError, ObjectNode> chunk = PresetChunks.parse(digest, content);
        if (chunk.isLeft()) {
            return Either.left(chunk.getLeft());
        }
        String source = PresetChunks.KIND + "/" + digest;
        List<PresetProblem> problems = new ArrayList<>();
        Optional<PresetPart> part = new PresetReader(source, problems).readPart(chunk.get());
        return part.isPresent()
                ? Either.right(part.get())
                : Either.left(new PresetError.Invalid(source, problems));
    }

    private static Either<PresetError, Preset> combine(
            String manifestDigest, Map<String, PresetPart> parts) {
        Optional<PresetHead> head = Optional.empty();
        Map<String, ServicePolicy> services = new HashMap<>();
        Map<String, RequestClass> classes = new HashMap<>();
        List<Route> routes = new ArrayList<>();
        Map<String, OrganisationLimit> organisations = new HashMap<>();
        for (PresetPart part : parts.values()) {
            head = part.head().isPresent() ? part.head() : head;
            services.putAll(part.services());
            classes.putAll(part.classes());
            routes.addAll(part.routes().values());
            organisations.putAll(part.organisations());
        }
        if (head.isEmpty()) {
            return Either.left(PresetChunks.corrupt(manifestDigest, "it lists no head"));
        }
        for (Route route : routes) {
            if (!services.containsKey(route.service())
                    || !classes.containsKey(route.requestClass())) {
                return Either.left(
                        PresetChunks.corrupt(
                                manifestDigest,
                                "route " + route.id() + " names an undefined service or class"));
            }
        }
        return Either.right(head.get().preset(services, classes, routes, organisations));
    }
}
