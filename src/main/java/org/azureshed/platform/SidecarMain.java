package org.azureshed.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.azureshed.sidecar.SidecarNode;
import org.azureshed.sidecar.SidecarSettings;
import org.azureshed.telemetry.DecisionLog;
import org.azureshed.traffic.HeaderNames;
import sun.misc.Signal;

/** Main class of a node that uses the platform's settings file, headers and store. */
public final class SidecarMain {
    private static final HeaderNames HEADERS =
            new HeaderNames(
                    "X-Azureshed-Request-Id",
                    "X-Azureshed-Deadline-Ms",
                    "X-Azureshed-Response-Signature",
                    "X-Azureshed-Expected-Instance",
                    "X-Azureshed-Not-Executed",
                    "X-Azureshed-Caller-Service",
                    "X-Azureshed-Credential",
                    "X-Azureshed-Tenant");

    private static final int EXIT_USAGE = 2;

    private SidecarMain() {}

    /**
     * Runs a node until SIGTERM. Reloads the settings on SIGHUP and when the file changes.
     *
     * @param args unused
     */
    public static void main(String[] args) {
        // Installed before anything else: without a handler SIGHUP terminates the process.
        AtomicReference<Runnable> onHangup = new AtomicReference<>(() -> {});
        Signal.handle(new Signal("HUP"), signal -> onHangup.get().run());
        try {
            Path path = SettingsDecoder.path(System.getenv());
            SettingsFile file = new SettingsFile(path, System.getenv());
            SidecarSettings settings = file.read();
            DecisionLog log = new DecisionLog(System.out, settings.node());
            SidecarNode node =
                    new SidecarNode(
                            settings, protocol(settings, () -> changed(file, log), log), log);
            onHangup.set(() -> reload(node, file, log));
            Runtime.getRuntime().addShutdownHook(new Thread(node::stop, "stop"));
            node.start();
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("azureshed: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    static SidecarNode.PlatformProtocol protocol(
            SidecarSettings settings,
            Supplier<Optional<SidecarSettings>> changedSettings,
            DecisionLog log) {
        return new SidecarNode.PlatformProtocol(
                HEADERS,
                (calls, onResult) -> new PlatformStore(calls, settings.storeAddress(), onResult),
                ConfigurationDecoder::decode,
                listener -> new HeartbeatHandler(listener, log),
                changedSettings);
    }

    private static Optional<SidecarSettings> changed(SettingsFile file, DecisionLog log) {
        try {
            return file.changed() ? Optional.of(file.read()) : Optional.empty();
        } catch (IOException | IllegalArgumentException e) {
            log.write("reload_failed", "cause", e.getMessage());
            return Optional.empty();
        }
    }

    private static void reload(SidecarNode node, SettingsFile file, DecisionLog log) {
        try {
            node.reload(file.read());
        } catch (IOException | IllegalArgumentException e) {
            log.write("reload_failed", "cause", e.getMessage());
        }
    }
}
