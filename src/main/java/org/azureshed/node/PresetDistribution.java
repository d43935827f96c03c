package org.azureshed.node;

import io.vavr.control.Either;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.azureshed.control.ActivePreset;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.distribution.ContentDigest;
import org.azureshed.distribution.ContentError;
import org.azureshed.distribution.ContentStore;
import org.azureshed.distribution.DistributionEffect;
import org.azureshed.model.Preset;
import org.azureshed.platform.ObjectStore;
import org.azureshed.preset.ChangeRequest;
import org.azureshed.preset.PresetChange;
import org.azureshed.preset.PresetChunks;
import org.azureshed.preset.PresetError;
import org.azureshed.preset.PresetOperations;
import org.azureshed.telemetry.EventLog;

/** Turns distributed contents into the preset in force, and writes it back to the platform. */
@Singleton
final class PresetDistribution {
    /** Spreads the relays that see an outdated platform at the same time. */
    private static final long WRITE_BACK_JITTER_MILLIS = 5_000;

    private static final String OPERATOR = "azureshed";
    private static final String WRITE_BACK_REASON =
            "the platform held an older activation than the fleet";

    private final ContentStore contents;
    private final RelayRole relay;
    private final PresetOperations operations;
    private final Provider<ControlLoop> control;

    @Inject
    PresetDistribution(
            ContentStore contents,
            RelayRole relay,
            ObjectStore store,
            Provider<ControlLoop> control) {
        this.contents = contents;
        this.relay = relay;
        this.operations = PresetOperations.of(store);
        this.control = control;
    }

    /** Reads which chunks a manifest names. */
    static Either<ContentError, List<ContentDigest>> chunksOf(
            ContentDigest manifest, byte[] content) {
        return PresetChunks.digests(manifest.hex(), content)
                .map(digests -> digests.stream().map(ContentDigest::new).toList())
                .mapLeft(error -> new ContentError.BadManifest(manifest, error.message()));
    }

    /** Carries out an effect that needs the formats of presets. Does not block. */
    void carryOut(DistributionEffect effect) {
        switch (effect) {
            case DistributionEffect.WatchIndex(boolean watch) -> relay.set(watch);
            case DistributionEffect.Activate(long number, var manifest, var chunks) ->
                    Thread.ofVirtual()
                            .name("activate")
                            .start(() -> activate(number, manifest, chunks));
            case DistributionEffect.WriteBack writeBack ->
                    Thread.ofVirtual().name("write-back").start(() -> writeBack(writeBack));
            default -> throw new IllegalArgumentException("unexpected effect " + effect);
        }
    }

    private void activate(long number, ContentDigest manifest, List<ContentDigest> chunks) {
        assemble(manifest, chunks)
                .peek(
                        preset ->
                                control.get()
                                        .submit(
                                                new ControlEvent.PresetReceived(
                                                        new ActivePreset(number, preset))))
                .peekLeft(
                        error ->
                                EventLog.warning("preset_refused")
                                        .with("activation", number)
                                        .with("error", error.message())
                                        .write());
    }

    private Either<PresetError, Preset> assemble(
            ContentDigest manifest, List<ContentDigest> digests) {
        Map<String, byte[]> chunks = new HashMap<>();
        for (ContentDigest digest : digests) {
            contents.get(digest).ifPresent(content -> chunks.put(digest.hex(), content));
        }
        byte[] head = contents.get(manifest).orElse(new byte[0]);
        return PresetChunks.assemble(manifest.hex(), head, chunks);
    }

    /** Puts the fleet's preset in force again, under a higher number than the fleet's. */
    private void writeBack(DistributionEffect.WriteBack effect) {
        try {
            TimeUnit.MILLISECONDS.sleep(
                    ThreadLocalRandom.current().nextLong(WRITE_BACK_JITTER_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        Either<PresetError, Long> current =
                operations.list().map(index -> index.activationNumber());
        if (current.isRight() && current.get() >= effect.number()) {
            return;
        }
        ChangeRequest request =
                new ChangeRequest(
                        OPERATOR, WRITE_BACK_REASON, effect.number(), OptionalLong.empty());
        Either<PresetError, PresetChange> result =
                assemble(effect.manifest(), effect.chunks())
                        .flatMap(
                                preset ->
                                        operations
                                                .put(preset, request)
                                                .flatMap(
                                                        put ->
                                                                operations.use(
                                                                        preset.name(), request)));
        EventLog.warning("activation_written_back")
                .with("fleet_activation", effect.number())
                .with("result", result.fold(PresetError::message, PresetChange::summary))
                .write();
    }
}
