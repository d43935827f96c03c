package org.azureshed.ejection.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.stream.Stream;
import org.azureshed.control.ActivePreset;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlReducer;
import org.azureshed.control.ControlState;
import org.azureshed.control.Effect;
import org.azureshed.ejection.ClassDigest;
import org.azureshed.ejection.EjectionEffect;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.ejection.EjectionRecord;
import org.azureshed.ejection.TargetDigest;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.Preset;
import org.azureshed.model.ServicePolicy;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.azureshed.platform.Listing;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.poison.CrashReport;
import org.azureshed.poison.PoisonEvent;
import org.azureshed.poison.RequestFingerprint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against ejections that are not stored on the platform or not applied to the weights that
 * routing reads.
 */
class EjectionShellTest {
    private static final String SERVICE = "certificates";
    private static final ObjectKey KEY = new ObjectKey("ejection", SERVICE);
    private static final Endpoint ADDRESS = new Endpoint("127.0.0.1", 1);

    private final MemoryStore store = new MemoryStore();
    private final Queue<EjectionEvent> events = new ArrayDeque<>();
    private final EjectionShell shell =
            new EjectionShell(store, target -> true, Runnable::run, () -> 7, events::add);
    private final ControlReducer reducer = new ControlReducer();
    private ControlState state =
            ControlState.initial(
                    new NodeInfo(
                            new NodeId("n"),
                            "r",
                            "z",
                            ADDRESS,
                            ADDRESS,
                            ADDRESS,
                            1,
                            1,
                            false,
                            List.of()));

    private static TargetId id(int number) {
        return new TargetId("t" + number);
    }

    private void apply(ControlEvent first) {
        ControlEvent event = first;
        while (event != null) {
            var step = reducer.reduce(state, event);
            state = step.state();
            for (Effect effect : step.effects()) {
                if (effect instanceof Effect.Ejection(EjectionEffect inner)) {
                    shell.carryOut(inner);
                }
            }
            EjectionEvent next = events.poll();
            event = next == null ? null : new ControlEvent.Ejection(next);
        }
    }

    private void announce(int number, TargetState targetState) {
        apply(
                new ControlEvent.TargetAnnounced(
                        new TargetInfo(id(number), SERVICE, ADDRESS, 5, targetState)));
    }

    private void start() {
        Preset preset =
                Preset.builder("ordinary").service(new ServicePolicy(SERVICE, 60, 50, 10)).build();
        apply(new ControlEvent.PresetReceived(new ActivePreset(1, preset)));
        for (int i = 0; i < 8; i++) {
            announce(i, TargetState.READY);
        }
    }

    @Test
    void anEjectionIsAgreedAndChangesTheWeightUntilTheFloorForbidsIt() {
        start();
        for (int second = 1; second < 60; second++) {
            for (int target = 0; target < 8; target++) {
                long micros = target == 0 ? 500_000 : 50_000;
                ClassDigest digest =
                        new ClassDigest("filing", 40, 0, 40, micros, 2 * micros, 3 * micros, 1_000);
                apply(
                        new ControlEvent.Ejection(
                                new EjectionEvent.DigestReceived(
                                        SERVICE,
                                        id(target),
                                        new TargetDigest(second * 1_000L, List.of(digest)))));
            }
            apply(new ControlEvent.Ejection(new EjectionEvent.Tick(second * 1_000L, second)));
        }
        assertTrue(store.objects.containsKey(KEY));
        assertEquals(0, state.health().ejection().recordOf(SERVICE).percentOf(id(0)));
        assertEquals(0, weight(0));
        assertEquals(100, weight(1));
        for (int i = 5; i < 8; i++) {
            announce(i, TargetState.DRAINING);
        }
        assertEquals(100, weight(0), "this node's own floor check overrides the agreed record");
    }

    private int weight(int target) {
        var step = reducer.reduce(state, new ControlEvent.NodesListed(List.of()));
        return step.effects().stream()
                .filter(Effect.PublishSnapshot.class::isInstance)
                .map(
                        effect ->
                                ((Effect.PublishSnapshot) effect)
                                        .snapshot()
                                        .weightPercent(id(target)))
                .reduce((first, last) -> last)
                .orElseThrow();
    }

    @Test
    void aCrashLoopLeadsToAnEjection() {
        start();
        apply(new ControlEvent.Ejection(new EjectionEvent.Tick(1_000, 1)));
        for (int crash = 0; crash < 3; crash++) {
            Set<RequestFingerprint> inFlight = Set.of(new RequestFingerprint(crash));
            apply(
                    new ControlEvent.Poison(
                            new PoisonEvent.TargetCrashed(
                                    new CrashReport(crash, SERVICE, id(3), inFlight))));
        }
        for (int second = 2; second < 6; second++) {
            apply(new ControlEvent.Ejection(new EjectionEvent.Tick(second * 1_000L, second)));
        }
        assertEquals(0, weight(3));
    }

    static Stream<Arguments> errors() {
        return Stream.of(
                Arguments.of(new StoreError.Conflict(KEY, 3), EjectionEvent.WriteConflicted.class),
                Arguments.of(new StoreError.OutcomeUnknown("cut"), EjectionEvent.AnswerLost.class),
                Arguments.of(
                        new StoreError.Unavailable("down"),
                        EjectionEvent.PlatformUnavailable.class),
                Arguments.of(
                        new StoreError.RateLimited("full"),
                        EjectionEvent.PlatformUnavailable.class));
    }

    @ParameterizedTest
    @MethodSource("errors")
    void reportsHowAWriteFailed(StoreError error, Class<?> expected) {
        store.nextError = error;
        shell.carryOut(new EjectionEffect.WriteRecord(EjectionRecord.empty(SERVICE), 0));
        assertInstanceOf(expected, events.remove());
    }

    /** A malformed object must not stop ejections; the next write replaces it. */
    @Test
    void readsAMalformedObjectAsEmpty() {
        store.put(KEY, "[".getBytes(StandardCharsets.UTF_8), 0);
        shell.carryOut(new EjectionEffect.ReadRecord(SERVICE));
        assertEquals(
                new EjectionEvent.RecordRead(EjectionRecord.empty(SERVICE), 1, 9), events.remove());
    }

    /** In-memory store with the calls that the shell uses. */
    private static final class MemoryStore implements ObjectStore {
        final Map<ObjectKey, StoredObject> objects = new HashMap<>();
        StoreError nextError;

        @Override
        public Either<StoreError, StoredObject> get(ObjectKey key) {
            return objects.containsKey(key)
                    ? Either.right(objects.get(key))
                    : Either.left(new StoreError.NotFound(key));
        }

        @Override
        public Either<StoreError, StoredObject> put(
                ObjectKey key, byte[] value, long expectedVersion) {
            long version = objects.containsKey(key) ? objects.get(key).version() : 0;
            if (nextError != null || version != expectedVersion) {
                return Either.left(
                        nextError != null ? nextError : new StoreError.Conflict(key, version));
            }
            objects.put(key, new StoredObject(key, version + 1, value, false, 9));
            return Either.right(objects.get(key));
        }

        @Override
        public Either<StoreError, StoredObject> delete(ObjectKey key, long expectedVersion) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Either<StoreError, Listing> list(String kind) {
            return Either.right(new Listing(0, new ArrayList<>(objects.values()), List.of()));
        }

        @Override
        public Either<StoreError, Listing> watch(String kind, long sinceVersion, Duration timeout) {
            throw new UnsupportedOperationException();
        }
    }
}
