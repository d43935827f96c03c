package org.azureshed.ejection.internal;

import io.vavr.control.Either;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.azureshed.ejection.EjectedTarget;
import org.azureshed.ejection.EjectionEffect;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.ejection.EjectionRecord;
import org.azureshed.ejection.EjectionRecordCodec;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.telemetry.EventLog;

/**
 * Executes the side effects of the ejection reducer on the platform's store and the targets, and
 * submits the resulting events.
 *
 * <pre>{@code
 * EjectionShell shell = new EjectionShell(store, prober, task -> Thread.startVirtualThread(task),
 *         System::currentTimeMillis, event -> loop.submit(new ControlEvent.Ejection(event)));
 * shell.start();
 * }</pre>
 */
public final class EjectionShell implements AutoCloseable {
    private static final String KIND = "ejection";
    private static final long TICK_MILLIS = 1_000;

    private final ObjectStore store;
    private final TargetProber prober;
    private final Executor executor;
    private final LongSupplier epochMillis;
    private final Consumer<EjectionEvent> events;
    private volatile Thread tickThread;

    /**
     * Creates a shell, which submits no ticks before {@link #start}.
     *
     * @param store the platform's store
     * @param prober sends probes
     * @param executor runs blocking calls
     * @param epochMillis wall clock, used instead of the platform's while the record does not exist
     * @param events receives events for the reducer
     */
    public EjectionShell(
            ObjectStore store,
            TargetProber prober,
            Executor executor,
            LongSupplier epochMillis,
            Consumer<EjectionEvent> events) {
        this.store = store;
        this.prober = prober;
        this.executor = executor;
        this.epochMillis = epochMillis;
        this.events = events;
    }

    /** Starts to submit a tick each second. */
    public void start() {
        tickThread = Thread.ofVirtual().name("ejection-ticks").start(this::tickUntilInterrupted);
    }

    /** Stops submitting ticks. */
    @Override
    public void close() {
        Thread running = tickThread;
        if (running != null) {
            running.interrupt();
        }
    }

    /**
     * Executes a side effect. Does not block.
     *
     * @param effect the side effect; its result is submitted as an event
     */
    public void carryOut(EjectionEffect effect) {
        switch (effect) {
            case EjectionEffect.ReadRecord(String service) ->
                    executor.execute(() -> events.accept(read(service)));
            case EjectionEffect.WriteRecord(EjectionRecord record, long version) ->
                    executor.execute(() -> events.accept(write(record, version)));
            case EjectionEffect.Probe(String service, var target) ->
                    executor.execute(
                            () ->
                                    events.accept(
                                            new EjectionEvent.ProbeFinished(
                                                    service, target, prober.probe(target))));
            case EjectionEffect.RecordChanged(var previous, var current, long version) ->
                    logChanges(previous, current, version);
        }
    }

    private EjectionEvent read(String service) {
        Either<StoreError, StoredObject> answer = store.get(new ObjectKey(KIND, service));
        if (answer.isRight()) {
            StoredObject object = answer.get();
            return new EjectionEvent.RecordRead(
                    decode(service, object), object.version(), object.serverTimeMillis());
        }
        if (answer.getLeft() instanceof StoreError.NotFound) {
            return new EjectionEvent.RecordRead(
                    EjectionRecord.empty(service),
                    ObjectStore.MUST_NOT_EXIST,
                    epochMillis.getAsLong());
        }
        return unavailable(service, answer.getLeft());
    }

    private EjectionEvent write(EjectionRecord record, long expectedVersion) {
        String service = record.service();
        Either<StoreError, StoredObject> answer =
                store.put(
                        new ObjectKey(KIND, service),
                        EjectionRecordCodec.encode(record),
                        expectedVersion);
        if (answer.isRight()) {
            return new EjectionEvent.WriteSucceeded(record, answer.get().version());
        }
        return switch (answer.getLeft()) {
            case StoreError.Conflict conflict -> new EjectionEvent.WriteConflicted(service);
            case StoreError.NotFound deleted -> new EjectionEvent.WriteConflicted(service);
            case StoreError.OutcomeUnknown lost -> new EjectionEvent.AnswerLost(service);
            default -> unavailable(service, answer.getLeft());
        };
    }

    private static EjectionEvent unavailable(String service, StoreError error) {
        EventLog.warning("ejection_record_unavailable")
                .with("service", service)
                .with("error", error.message())
                .write();
        return new EjectionEvent.PlatformUnavailable(service);
    }

    private static EjectionRecord decode(String service, StoredObject object) {
        if (object.deleted()) {
            return EjectionRecord.empty(service);
        }
        Either<String, EjectionRecord> decoded =
                EjectionRecordCodec.decode(object.value())
                        .filterOrElse(
                                record -> record.service().equals(service),
                                record -> "the ejection record is of service " + record.service());
        return decoded.getOrElseGet(
                problem -> {
                    EventLog.warning("ejection_record_ignored")
                            .with("service", service)
                            .with("error", problem)
                            .write();
                    return EjectionRecord.empty(service);
                });
    }

    private static void logChanges(EjectionRecord previous, EjectionRecord current, long version) {
        for (EjectedTarget entry : current.targets()) {
            if (!previous.find(entry.target()).equals(java.util.Optional.of(entry))) {
                EventLog.info("target_ejection_changed")
                        .with("service", current.service())
                        .with("target", entry.target())
                        .with("percent", entry.stage().percent())
                        .with("kind", entry.evidence().kind())
                        .with("value", entry.evidence().value())
                        .with("peers", entry.evidence().peers())
                        .with("version", version)
                        .write();
            }
        }
        for (EjectedTarget entry : previous.targets()) {
            if (current.find(entry.target()).isEmpty()) {
                EventLog.info("target_readmitted")
                        .with("service", current.service())
                        .with("target", entry.target())
                        .with("version", version)
                        .write();
            }
        }
    }

    private void tickUntilInterrupted() {
        try {
            while (true) {
                Thread.sleep(TICK_MILLIS);
                long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
                events.accept(new EjectionEvent.Tick(now, ThreadLocalRandom.current().nextLong()));
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
