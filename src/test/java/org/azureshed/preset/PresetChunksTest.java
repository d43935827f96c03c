package org.azureshed.preset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.Preset;
import org.azureshed.model.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against edits of the largest planned preset (30,000 routes and 71,000 organisations) that
 * make every node fetch too many bytes, and against missing or altered chunks that are not
 * detected.
 */
class PresetChunksTest {
    private static final Preset FULL = TestPresets.preset("full", "scale", 30_000, 71_000).build();
    private static final PresetChunks CHUNKS = PresetChunks.split(FULL).get();

    private static final PresetAssembler ASSEMBLER = new PresetAssembler();

    /** A node may use 4 KB/s for control traffic, and 4,400 changes a day are one every 19.6 s. */
    private static final int MAX_BYTES_PER_CHANGE = 64 * 1024;

    @Test
    void largestPlannedPresetFitsTheByteLimits() {
        int largest = CHUNKS.chunks().values().stream().mapToInt(c -> c.length).max().orElse(0);
        int total = CHUNKS.chunks().values().stream().mapToInt(c -> c.length).sum();
        System.out.printf(
                "chunks=%d total_bytes=%d largest_bytes=%d manifest_bytes=%d%n",
                CHUNKS.chunks().size(), total, largest, CHUNKS.manifest().length);
        assertTrue(largest < PresetChunks.MAX_CHUNK_BYTES);
        assertTrue(largest + CHUNKS.manifest().length < MAX_BYTES_PER_CHANGE);
        Preset same = assemble(CHUNKS.manifest(), CHUNKS.chunks()).get();
        assertEquals(new HashSet<>(FULL.routes()), new HashSet<>(same.routes()));
        assertEquals(FULL.organisations(), same.organisations());
        assertEquals(FULL.services(), same.services());
        assertEquals(CHUNKS.manifestDigest(), PresetChunks.split(same).get().manifestDigest());
    }

    static Stream<Arguments> edits() {
        Consumer<List<Route>> move = routes -> routes.set(17, TestPresets.route(17, "/moved"));
        Consumer<List<Route>> add = routes -> routes.add(TestPresets.route(30_000, "/added"));
        Consumer<List<Route>> remove = routes -> routes.remove(29_999);
        Consumer<List<Route>> reorder = routes -> routes.addFirst(routes.removeLast());
        Consumer<Map<String, OrganisationLimit>> none = organisations -> {};
        Consumer<Map<String, OrganisationLimit>> limit =
                organisations -> organisations.put("organisation-5", new OrganisationLimit(1, 1));
        return Stream.of(
                Arguments.of("changed route", move, none, 1),
                Arguments.of("added route", add, none, 1),
                Arguments.of("removed route", remove, none, 1),
                Arguments.of("reordered routes", reorder, none, 0),
                Arguments.of("changed limit", (Consumer<List<Route>>) routes -> {}, limit, 1));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("edits")
    void anEditChangesOneChunk(
            String name,
            Consumer<List<Route>> routeEdit,
            Consumer<Map<String, OrganisationLimit>> organisationEdit,
            int expectedNew) {
        List<Route> routes = new ArrayList<>(FULL.routes());
        routeEdit.accept(routes);
        Map<String, OrganisationLimit> organisations = new HashMap<>(FULL.organisations());
        organisationEdit.accept(organisations);
        Preset edited =
                new Preset(
                        FULL.name(),
                        FULL.purpose(),
                        FULL.useWhen(),
                        FULL.watch(),
                        FULL.organisationHeader(),
                        FULL.services(),
                        FULL.classes(),
                        routes,
                        organisations,
                        FULL.defaultLimit());
        PresetChunks next = PresetChunks.split(edited).get();
        Map<String, byte[]> added = new HashMap<>(next.chunks());
        added.keySet().removeAll(CHUNKS.chunks().keySet());
        assertEquals(expectedNew, added.size());
        // Shared by all cases because only the first assembly has to parse every chunk.
        PresetAssembler assembler = ASSEMBLER;
        assembler.assemble(CHUNKS.manifestDigest(), CHUNKS.manifest(), CHUNKS.chunks()).get();
        List<String> digests = PresetChunks.digests(next.manifestDigest(), next.manifest()).get();
        assertEquals(added.keySet(), Set.copyOf(assembler.missing(digests)));
        Preset assembled = assembler.assemble(next.manifestDigest(), next.manifest(), added).get();
        assertEquals(Set.copyOf(routes), Set.copyOf(assembled.routes()));
        assertEquals(organisations, assembled.organisations());
    }

    @Test
    void detectsMissingAndAlteredContent() {
        String digest = CHUNKS.chunks().keySet().iterator().next();
        Map<String, byte[]> chunks = new HashMap<>(CHUNKS.chunks());
        chunks.remove(digest);
        assertCorrupt(digest, chunks);
        chunks.put(digest, "{}".getBytes());
        assertCorrupt(digest, chunks);
        assertInstanceOf(
                PresetError.Corrupt.class, assemble("{}".getBytes(), CHUNKS.chunks()).getLeft());
    }

    @Test
    void refusesManifestWithoutHeadOrServices() {
        List<String> digests = new ArrayList<>(CHUNKS.chunks().keySet());
        String head = digests.removeLast();
        String services = digests.getFirst();
        for (String omitted : List.of(head, services)) {
            List<String> kept = new ArrayList<>(CHUNKS.chunks().keySet());
            kept.remove(omitted);
            byte[] manifest = PresetChunks.manifest("full", kept);
            PresetError error =
                    PresetChunks.assemble(PresetChunks.digest(manifest), manifest, CHUNKS.chunks())
                            .getLeft();
            assertInstanceOf(PresetError.Corrupt.class, error);
        }
    }

    @Test
    void refusesAnEntryThatIsLargerThanAChunk() {
        Preset preset = TestPresets.small("big", "x".repeat(PresetChunks.MAX_CHUNK_BYTES));
        assertInstanceOf(PresetError.EntryTooLarge.class, PresetChunks.split(preset).getLeft());
    }

    private static void assertCorrupt(String digest, Map<String, byte[]> chunks) {
        PresetError error = assemble(CHUNKS.manifest(), chunks).getLeft();
        PresetError.Corrupt corrupt = assertInstanceOf(PresetError.Corrupt.class, error);
        assertEquals("chunk/" + digest, corrupt.object());
    }

    private static io.vavr.control.Either<PresetError, Preset> assemble(
            byte[] manifest, Map<String, byte[]> chunks) {
        return PresetChunks.assemble(CHUNKS.manifestDigest(), manifest, chunks);
    }
}
