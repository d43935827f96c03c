package org.azureshed.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azureshed.control.ActivePreset;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlReducer;
import org.azureshed.control.ControlState;
import org.azureshed.model.Preset;
import org.azureshed.preset.PresetAssembler;
import org.azureshed.preset.PresetChunks;
import org.azureshed.routing.RouteTable;

/**
 * Measures the processor time, the heap and the bytes of a preset and of an edit of it, for a node
 * and for the operator's command, which splits the preset into chunks.
 */
final class PresetCosts {
    private static final int MEASURED_EDITS = 4;
    private static final int LOOKUPS = 100_000;

    private final SyntheticFleet fleet;
    private final ScaleMetrics metrics;

    PresetCosts(SyntheticFleet fleet, ScaleMetrics metrics) {
        this.fleet = fleet;
        this.metrics = metrics;
    }

    void measure() {
        PresetChunks[] versions = new PresetChunks[2 * MEASURED_EDITS + 1];
        Preset[] presets = new Preset[versions.length];
        for (int i = 0; i < versions.length; i++) {
            presets[i] = fleet.preset(i);
        }
        double splitMicros =
                CostMeter.measureMicros(
                        MEASURED_EDITS + 1,
                        MEASURED_EDITS,
                        i -> versions[i] = PresetChunks.split(presets[i]).get());
        metrics.add(fleet, "preset_split_us", splitMicros);
        // The presets must not count in the heap sizes that are measured next.
        java.util.Arrays.fill(presets, null);
        PresetChunks original = versions[0];
        metrics.add(fleet, "preset_chunks", original.chunks().size());
        metrics.add(fleet, "preset_manifest_bytes", original.manifest().length);
        metrics.add(fleet, "preset_bytes", totalBytes(original.chunks()));
        metrics.add(fleet, "preset_edit_bytes", editBytes(original, versions[1]));
        measureAssembly(versions);
    }

    private void measureAssembly(PresetChunks[] versions) {
        metrics.add(
                fleet,
                "preset_first_assembly_us",
                CostMeter.measureMicros(
                        2, MEASURED_EDITS, i -> assemble(new PresetAssembler(), versions[0])));
        long heapBytesBefore = CostMeter.usedHeapBytes();
        PresetAssembler assembler = new PresetAssembler();
        Preset preset = assemble(assembler, versions[0]);
        metrics.add(fleet, "preset_heap_bytes", CostMeter.usedHeapBytes() - heapBytesBefore);
        Map<Integer, Preset> lastAssembled = new HashMap<>();
        double editMicros =
                CostMeter.measureMicros(
                        MEASURED_EDITS,
                        MEASURED_EDITS,
                        i -> lastAssembled.put(0, assemble(assembler, versions[i + 1])));
        metrics.add(fleet, "preset_edit_assembly_us", editMicros);
        ControlState state = ControlState.initial(fleet.node(0));
        ControlReducer reducer = new ControlReducer();
        double activateMicros =
                CostMeter.measureMicros(
                        2 * MEASURED_EDITS,
                        2 * MEASURED_EDITS,
                        i ->
                                reducer.reduce(
                                        state,
                                        new ControlEvent.PresetReceived(
                                                new ActivePreset(i + 1, preset))));
        metrics.add(fleet, "preset_activate_us", activateMicros);
        heapBytesBefore = CostMeter.usedHeapBytes();
        RouteTable table = RouteTable.of(preset.routes());
        metrics.add(
                fleet,
                "preset_route_table_heap_bytes",
                CostMeter.usedHeapBytes() - heapBytesBefore);
        metrics.add(
                fleet,
                "preset_lookup_us",
                CostMeter.measureMicros(
                        LOOKUPS,
                        LOOKUPS,
                        i -> {
                            String path = fleet.routePath(i * 7 % fleet.routes()) + "/chapters/1";
                            table.find(fleet.hostName(), path, "GET").orElseThrow();
                        }));
    }

    private static Preset assemble(PresetAssembler assembler, PresetChunks chunks) {
        List<String> digests =
                PresetChunks.digests(chunks.manifestDigest(), chunks.manifest()).get();
        Map<String, byte[]> missingChunks = new HashMap<>();
        assembler
                .missing(digests)
                .forEach(digest -> missingChunks.put(digest, chunks.chunks().get(digest)));
        return assembler.assemble(chunks.manifestDigest(), chunks.manifest(), missingChunks).get();
    }

    /** Size of what an edit adds: the new manifest and the chunks that did not exist before. */
    private static long editBytes(PresetChunks before, PresetChunks after) {
        Map<String, byte[]> addedChunks = new HashMap<>(after.chunks());
        addedChunks.keySet().removeAll(before.chunks().keySet());
        return totalBytes(addedChunks) + after.manifest().length;
    }

    private static long totalBytes(Map<String, byte[]> chunks) {
        return chunks.values().stream().mapToLong(chunk -> chunk.length).sum();
    }
}
