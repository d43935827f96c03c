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
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.azureshed.model.Preset;

/**
 * A preset split into content-addressed chunks, with a manifest that lists their digests.
 *
 * <p>Services, classes, routes and organisations are assigned to buckets by the hash of their names
 * and ids. A bucket that is too large is split in two by the next bit of the hash. The chunks thus
 * depend on the content alone, and an edit changes only the chunk of the edited entry.
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
    /** Object kind under which chunks and manifests are stored; an object's name is its digest. */
    public static final String KIND = "chunk";

    /** Maximum chunk size in bytes. Only a single very large entry can reach it. */
    public static final int MAX_CHUNK_BYTES = 256 * 1024;

    /**
     * Size in bytes above which a bucket is split. After a change every node fetches one chunk and
     * the manifest. For 30,000 routes and 71,000 organisations, the largest planned preset, their
     * sum is smallest near this size.
     */
    private static final int SPLIT_BYTES = 32 * 1024;

    private static final int HASH_BITS = 64;
    private static final List<String> SECTIONS =
            List.of("services", "classes", "routes", "organisations");
    private static final String REMEDY = "put the preset again from its file";
    private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();

    /**
     * Encoding of digests in the manifest. Every node reads the manifest after every change, and
     * base64 makes it a third smaller than hexadecimal.
     */
    private static final BaseEncoding BASE64_URL = BaseEncoding.base64Url().omitPadding();

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * One entry of a section.
     *
     * @param name name or id of the entry
     * @param hash hash of the name, whose bits select the bucket
     * @param value the entry in JSON
     * @param bytes size of the entry in its chunk
     */
    private record Item(String name, long hash, JsonNode value, int bytes) {}

    /** Makes an unmodifiable copy of the map. */
    public PresetChunks {
        chunks = Collections.unmodifiableMap(new LinkedHashMap<>(chunks));
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
        byte[] manifest = manifest(preset.name(), chunks.keySet());
        return Either.right(new PresetChunks(digest(manifest), manifest, chunks));
    }

    static byte[] manifest(String name, Collection<String> digests) {
        ObjectNode manifest = JsonNodeFactory.instance.objectNode().put("name", name);
        ArrayNode array = manifest.putArray("chunks");
        digests.forEach(digest -> array.add(BASE64_URL.encode(HEX.decode(digest))));
        return bytes(manifest);
    }

    /**
     * Reads the chunk digests that a manifest lists.
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
                                if (!BASE64_URL.canDecode(digest.asText())) {
                                    return Either.left(
                                            corrupt(manifestDigest, "a digest is malformed"));
                                }
                                digests.add(HEX.encode(BASE64_URL.decode(digest.asText())));
                            }
                            return Either.right(digests);
                        });
    }

    /**
     * Assembles a preset. The order of its routes is unspecified. Callers that apply successive
     * changes should use {@link PresetAssembler}, which caches parsed chunks.
     *
     * @param manifestDigest digest that the manifest must have
     * @param manifest the manifest
     * @param chunks chunks by digest; chunks that the manifest does not list are ignored
     * @return the preset, or {@link PresetError.Corrupt} or {@link PresetError.Invalid}
     */
    public static Either<PresetError, Preset> assemble(
            String manifestDigest, byte[] manifest, Map<String, byte[]> chunks) {
        return new PresetAssembler().assemble(manifestDigest, manifest, chunks);
    }

    /**
     * Computes the name under which a chunk or manifest is stored.
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
        // 4 bytes for the two quotes, the colon and the comma.
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

    /** Verifies the digest of the content and parses it as a JSON object. */
    static Either<PresetError, ObjectNode> parse(String digest, byte[] content) {
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

    static PresetError corrupt(String digest, String detail) {
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
