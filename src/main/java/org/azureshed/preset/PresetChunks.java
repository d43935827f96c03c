package org.azureshed.preset;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.azureshed.model.Preset;

/**
 * A preset as content-addressed chunks with a manifest of their digests.
 *
 * <p>Services, classes, routes and organisations are spread over buckets by the hash of their names
 * and ids. A bucket that is too large is halved by the next bit of the hash, so the chunks depend
 * on the content alone and an edit changes only the chunk of the edited entry.
 *
 * <pre>{@code
 * PresetChunks chunks = PresetChunks.split(preset).get();
 * Preset same =
 *         PresetChunks.assemble(chunks.manifestDigest(), chunks.manifest(), chunks.chunks()).get();
 * }</pre>
 *
 * @param manifestDigest sha256 digest of the manifest in hexadecimal
 * @param manifest the manifest, a JSON object with the digests of the chunks
 * @param chunks the chunks by their digests in hexadecimal
 */
public record PresetChunks(String manifestDigest, byte[] manifest, Map<String, byte[]> chunks) {
    /** Kind of the objects that hold chunks and manifests under their digests. */
    public static final String KIND = "chunk";

    /** Largest chunk in bytes; only one very large entry reaches it. */
    public static final int MAX_CHUNK_BYTES = 256 * 1024;

    /**
     * Buckets above this size are halved. A change makes every node fetch one chunk and the
     * manifest; at two years' scale the sum is smallest near this size.
     */
    private static final int SPLIT_BYTES = 32 * 1024;

    private static final int HASH_BITS = 64;
    private static final List<String> SECTIONS =
            List.of("services", "classes", "routes", "organisations");
    private static final String REMEDY = "put the preset again from its file";
    private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();

    /** A manifest is read by every node after every change; base64 makes it a third smaller. */
    private static final BaseEncoding SHORT = BaseEncoding.base64Url().omitPadding();

    private static final ObjectMapper JSON = new ObjectMapper();

    /** One entry of a section. */
    private record Item(String name, long hash, JsonNode value, int bytes) {}

    /** Copies the map. */
    public PresetChunks {
        chunks = Map.copyOf(chunks);
    }

    /**
     * Splits a preset.
     *
     * @param preset the preset
     * @return its chunks, or {@link PresetError.EntryTooLarge}
     */
    public static Either<PresetError, PresetChunks> split(Preset preset) {
        ObjectNode head = PresetCodec.tree(preset);
        List<byte[]> contents = new ArrayList<>();
        for (String section : SECTIONS) {
            List<Item> items = items(section, head.remove(section));
            split(section, items, HASH_BITS - 1, contents);
        }
        contents.add(bytes(JsonNodeFactory.instance.objectNode().set("head", head)));
        Map<String, byte[]> chunks = new LinkedHashMap<>();
        for (byte[] content : contents) {
            if (content.length > MAX_CHUNK_BYTES) {
                return Either.left(tooLarge(content));
            }
            chunks.put(digest(content), content);
        }
        ObjectNode manifest = JsonNodeFactory.instance.objectNode().put("name", preset.name());
        ArrayNode digests = manifest.putArray("chunks");
        chunks.keySet().forEach(digest -> digests.add(SHORT.encode(HEX.decode(digest))));
        byte[] manifestBytes = bytes(manifest);
        return Either.right(new PresetChunks(digest(manifestBytes), manifestBytes, chunks));
    }

    /**
     * The digests that a manifest lists.
     *
     * @param manifestDigest digest that the manifest must have
     * @param manifest the manifest
     * @return the digests of the chunks in hexadecimal, or {@link PresetError.Corrupt}
     */
    public static Either<PresetError, List<String>> digests(
            String manifestDigest, byte[] manifest) {
        return parse(manifestDigest, manifest)
                .flatMap(
                        node -> {
                            List<String> digests = new ArrayList<>();
                            for (JsonNode digest : node.path("chunks")) {
                                if (!SHORT.canDecode(digest.asText())) {
                                    return Either.left(
                                            corrupt(manifestDigest, "a digest is malformed"));
                                }
                                digests.add(HEX.encode(SHORT.decode(digest.asText())));
                            }
                            return Either.right(digests);
                        });
    }

    /**
     * Puts a preset together again. Routes come sorted by id.
     *
     * @param manifestDigest digest that the manifest must have
     * @param manifest the manifest
     * @param chunks chunks by digest; others than those of the manifest are ignored
     * @return the preset, or {@link PresetError.Corrupt} or {@link PresetError.Invalid}
     */
    public static Either<PresetError, Preset> assemble(
            String manifestDigest, byte[] manifest, Map<String, byte[]> chunks) {
        Map<String, Map<String, JsonNode>> sections = new TreeMap<>();
        SECTIONS.forEach(section -> sections.put(section, new TreeMap<>()));
        ObjectNode tree = JsonNodeFactory.instance.objectNode();
        Either<PresetError, List<String>> digests = digests(manifestDigest, manifest);
        if (digests.isLeft()) {
            return Either.left(digests.getLeft());
        }
        for (String digest : digests.get()) {
            byte[] content = chunks.get(digest);
            if (content == null) {
                return Either.left(corrupt(digest, "it is missing"));
            }
            Either<PresetError, ObjectNode> chunk = parse(digest, content);
            if (chunk.isLeft()) {
                return Either.left(chunk.getLeft());
            }
            merge(chunk.get(), tree, sections);
        }
        sections.forEach((section, entries) -> tree.set(section, section(section, entries)));
        return PresetCodec.decode(KIND + "/" + manifestDigest, tree);
    }

    /**
     * The name under which content is stored.
     *
     * @param content any bytes
     * @return sha256 digest in hexadecimal
     */
    public static String digest(byte[] content) {
        return Hashing.sha256().hashBytes(content).toString();
    }

    private static List<Item> items(String section, JsonNode node) {
        List<Item> items = new ArrayList<>();
        if (node.isArray()) {
            node.forEach(value -> items.add(item(value.path("id").textValue(), value)));
        } else {
            node.properties().forEach(field -> items.add(item(field.getKey(), field.getValue())));
        }
        return items;
    }

    private static Item item(String name, JsonNode value) {
        long hash = Hashing.sha256().hashString(name, StandardCharsets.UTF_8).asLong();
        // Quotes, colon and comma around the entry take four bytes.
        return new Item(name, hash, value, name.length() + bytes(value).length + 4);
    }

    private static void split(String section, List<Item> items, int bit, List<byte[]> contents) {
        if (items.isEmpty()) {
            return;
        }
        int size = items.stream().mapToInt(Item::bytes).sum();
        if (size <= SPLIT_BYTES || items.size() == 1 || bit < 0) {
            ObjectNode chunk = JsonNodeFactory.instance.objectNode();
            ObjectNode entries = chunk.putObject(section);
            items.forEach(item -> entries.set(item.name(), item.value()));
            contents.add(bytes(chunk));
            return;
        }
        List<Item> zeros = new ArrayList<>();
        List<Item> ones = new ArrayList<>();
        for (Item item : items) {
            boolean one = (item.hash() >>> bit & 1) == 1;
            (one ? ones : zeros).add(item);
        }
        split(section, zeros, bit - 1, contents);
        split(section, ones, bit - 1, contents);
    }

    private static PresetError tooLarge(byte[] content) {
        String start = new String(content, 0, 60, StandardCharsets.UTF_8);
        return new PresetError.EntryTooLarge(start, content.length, MAX_CHUNK_BYTES);
    }

    private static void merge(
            ObjectNode chunk, ObjectNode tree, Map<String, Map<String, JsonNode>> sections) {
        for (var field : chunk.properties()) {
            Map<String, JsonNode> section = sections.get(field.getKey());
            if (section == null) {
                tree.setAll((ObjectNode) field.getValue());
            } else {
                field.getValue()
                        .properties()
                        .forEach(entry -> section.put(entry.getKey(), entry.getValue()));
            }
        }
    }

    private static JsonNode section(String section, Map<String, JsonNode> entries) {
        if (section.equals("routes")) {
            return JsonNodeFactory.instance.arrayNode().addAll(entries.values());
        }
        return JsonNodeFactory.instance.objectNode().setAll(entries);
    }

    private static Either<PresetError, ObjectNode> parse(String digest, byte[] content) {
        if (!digest(content).equals(digest)) {
            return Either.left(corrupt(digest, "its digest does not match"));
        }
        try {
            return JSON.readTree(content) instanceof ObjectNode object
                    ? Either.right(object)
                    : Either.left(corrupt(digest, "it is not a JSON object"));
        } catch (IOException e) {
            return Either.left(corrupt(digest, "it is not JSON"));
        }
    }

    private static PresetError corrupt(String digest, String detail) {
        return new PresetError.Corrupt(KIND + "/" + digest, detail, REMEDY);
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree cannot be written", e);
        }
    }
}
