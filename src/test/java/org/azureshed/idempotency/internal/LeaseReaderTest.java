package org.azureshed.idempotency.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.idempotency.KeyRangeLease;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.idempotency.OwnerEvent;
import org.azureshed.model.NodeId;
import org.azureshed.platform.HttpObjectStore;
import org.azureshed.platform.ObjectStore;
import org.azureshed.standin.PlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against results that differ between a listing and single reads. */
final class LeaseReaderTest {
    private static final NodeInstance HOLDER = new NodeInstance(new NodeId("a"), 1);

    private final PlatformStandIn platform = new PlatformStandIn(0);
    private final BlockingQueue<OwnerEvent> events = new LinkedBlockingQueue<>();
    private HttpObjectStore store;

    @BeforeEach
    void start() {
        platform.start();
        store = new HttpObjectStore(platform.uri());
    }

    @AfterEach
    void stop() {
        store.close();
        platform.close();
    }

    @ParameterizedTest
    @CsvSource({"31,31,0", "32,0,1", "128,0,1"})
    void eachRangeIsReadOnce(int ranges, int gets, int lists) throws Exception {
        KeyRange present = new KeyRange(7);
        KeyRangeLease lease = new KeyRangeLease(present, HOLDER, 3, List.of(), 1, 0, 0);
        long version =
                store.put(present.objectKey(), lease.toJson(), ObjectStore.MUST_NOT_EXIST)
                        .get()
                        .version();
        KeyRange deleted = new KeyRange(8);
        long old = store.put(deleted.objectKey(), lease.toJson(), 0).get().version();
        assertTrue(store.delete(deleted.objectKey(), old).isRight());

        Map<KeyRange, OwnerEvent.LeaseRead> read = request(ranges);

        for (int number = 0; number < ranges; number++) {
            OwnerEvent.LeaseRead event = read.get(new KeyRange(number));
            boolean exists = number == present.number();
            assertEquals(exists ? Optional.of(lease) : Optional.empty(), event.lease());
            assertEquals(exists ? version : 0, event.version());
            assertEquals(exists, event.serverMillis() > 0);
        }
        String stats = stats();
        assertTrue(stats.contains("\"get\":" + gets + ","), stats);
        assertTrue(stats.contains("\"list\":" + lists + ","), stats);
    }

    @ParameterizedTest
    @CsvSource({"31", "32"})
    void unreachablePlatformFailsEachRead(int ranges) throws Exception {
        platform.close();
        LeaseReader reader = new LeaseReader(store, events::add, lease -> {});
        for (int number = 0; number < ranges; number++) {
            reader.request(new KeyRange(number));
        }
        for (int number = 0; number < ranges; number++) {
            assertInstanceOf(OwnerEvent.ReadFailed.class, events.poll(10, TimeUnit.SECONDS));
        }
    }

    private Map<KeyRange, OwnerEvent.LeaseRead> request(int ranges) throws Exception {
        LeaseReader reader = new LeaseReader(store, events::add, lease -> {});
        for (int number = 0; number < ranges; number++) {
            reader.request(new KeyRange(number));
        }
        Map<KeyRange, OwnerEvent.LeaseRead> read = new HashMap<>();
        for (int number = 0; number < ranges; number++) {
            OwnerEvent event = events.poll(10, TimeUnit.SECONDS);
            OwnerEvent.LeaseRead found = assertInstanceOf(OwnerEvent.LeaseRead.class, event);
            read.put(found.range(), found);
        }
        assertEquals(ranges, read.size());
        return read;
    }

    private String stats() throws Exception {
        URI uri = platform.uri().resolve("/stats");
        try (HttpClient client = HttpClient.newHttpClient()) {
            return client.send(
                            HttpRequest.newBuilder(uri).build(),
                            HttpResponse.BodyHandlers.ofString())
                    .body();
        }
    }
}
