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

/** Measures what a preset and its edits cost a node and the operator's command. */
final class PresetCosts {
    private static final int EDITS = 4;
    private static final int LOOKUPS = 100_000;

    private final ScalePoint point;
    private final ScaleFigures figures;

    PresetCosts(ScalePoint point, ScaleFigures figures) {
        this.point = point;
        this.figures = figures;
    }

    void measure() {
        PresetChunks[] versions = new PresetChunks[2 * EDITS + 1];
        Preset[] presets = new Preset[versions.length];
        for (int i = 0; i < versions.length; i++) {
            presets[i] = point.preset(i);
        }
        double split =
                CostMeter.micros(
                        EDITS + 1, EDITS, i -> versions[i] = PresetChunks.split(presets[i]).get());
        figures.add(point, "preset_split_us", split);
        java.util.Arrays.fill(presets, null);
        PresetChunks first = versions[0];
        figures.add(point, "preset_chunks", first.chunks().size());
        figures.add(point, "preset_manifest_bytes", first.manifest().length);
        figures.add(point, "preset_bytes", bytes(first.chunks()));
        figures.add(point, "preset_edit_bytes", editBytes(first, versions[1]));
        measureAssembly(versions);
    }

    private void measureAssembly(PresetChunks[] versions) {
        figures.add(
                point,
                "preset_first_assembly_us",
                CostMeter.micros(2, EDITS, i -> assemble(new PresetAssembler(), versions[0])));
        long before = CostMeter.heapBytes();
        PresetAssembler assembler = new PresetAssembler();
        Preset preset = assemble(assembler, versions[0]);
        figures.add(point, "preset_heap_bytes", CostMeter.heapBytes() - before);
        Map<Integer, Preset> edited = new HashMap<>();
        double edit =
                CostMeter.micros(
                        EDITS, EDITS, i -> edited.put(0, assemble(assembler, versions[i + 1])));
        figures.add(point, "preset_edit_assembly_us", edit);
        ControlState state = ControlState.initial(point.node(0));
        ControlReducer reducer = new ControlReducer();
        double activate =
                CostMeter.micros(
                        2 * EDITS,
                        2 * EDITS,
                        i ->
                                reducer.reduce(
                                        state,
                                        new ControlEvent.PresetReceived(
                                                new ActivePreset(i + 1, preset))));
        figures.add(point, "preset_activate_us", activate);
        before = CostMeter.heapBytes();
        RouteTable table = RouteTable.of(preset.routes());
        figures.add(point, "preset_route_table_heap_bytes", CostMeter.heapBytes() - before);
        figures.add(
                point,
                "preset_lookup_us",
                CostMeter.micros(
                        LOOKUPS,
                        LOOKUPS,
                        i -> {
                            String path = point.path(i * 7 % point.routes()) + "/chapters/1";
                            table.find(point.host(), path, "GET").orElseThrow();
                        }));
    }

    private static Preset assemble(PresetAssembler assembler, PresetChunks chunks) {
        List<String> digests =
                PresetChunks.digests(chunks.manifestDigest(), chunks.manifest()).get();
        Map<String, byte[]> missing = new HashMap<>();
        assembler.missing(digests).forEach(d -> missing.put(d, chunks.chunks().get(d)));
        return assembler.assemble(chunks.manifestDigest(), chunks.manifest(), missing).get();
    }

    /** Manifest and new chunks of an edit. */
    private static long editBytes(PresetChunks before, PresetChunks after) {
        Map<String, byte[]> added = new HashMap<>(after.chunks());
        added.keySet().removeAll(before.chunks().keySet());
        return bytes(added) + after.manifest().length;
    }

    private static long bytes(Map<String, byte[]> chunks) {
        return chunks.values().stream().mapToLong(chunk -> chunk.length).sum();
    }
}
