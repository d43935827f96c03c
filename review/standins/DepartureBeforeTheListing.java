import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.platform.standin.StoreStandIn;

/**
 * A node is killed and starts again while the store answers 503. Its instance leaves at that time:
 * it deregisters, gets its confirmation from the new process, and goes on serving for some seconds.
 */
final class DepartureBeforeTheListing extends Case {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABLE_MILLIS = 3_000;

    /**
     * Departures that are tried, one after another: whether one is undone depends on the node with
     * which the new process happens to exchange digests first.
     */
    private static final int ROUNDS = 3;

    private final AtomicInteger nextId = new AtomicInteger();
    private final AtomicBoolean sending = new AtomicBoolean(true);

    public static void main(String[] arguments) {
        new DepartureBeforeTheListing().run(arguments[0]);
    }

    @Override
    boolean broken(Fleet fleet, Record record) throws Exception {
        for (int i = 0; i < ROUNDS; i++) {
            fleet.add("zone-a", "shop", 4, 20);
        }
        fleet.add("zone-b", "shop", 4, 20);
        for (int i = 0; i < 22; i++) {
            fleet.add(i % 2 == 0 ? "zone-a" : "zone-b", "kiosk", 4, 20);
        }
        fleet.configure(
                1, List.of(new ProtocolRequests.RouteSpec("/write/", "non_idempotent", "shop", 4_000)));
        fleet.startAll();
        List<Thread> requesters = new ArrayList<>();
        for (int i = ROUNDS + 1; i < ROUNDS + 7; i += 2) {
            Fleet.Node node = fleet.nodes.get(i);
            requesters.add(Thread.ofVirtual().start(() -> request(node, record)));
        }
        Thread.sleep(3_000);
        boolean broken = false;
        for (int round = 0; round < ROUNDS && !broken; round++) {
            broken = brokenFor(fleet.nodes.get(round), fleet, record);
        }
        sending.set(false);
        for (Thread requester : requesters) {
            requester.join();
        }
        return broken;
    }

    /** One kill, one outage of the store and one departure. */
    private boolean brokenFor(Fleet.Node restarted, Fleet fleet, Record record) throws Exception {
        Instance leaving = restarted.instance;
        long restartMillis = 0;
        long storeUpMillis = 0;
        Thread storeUp = Thread.ofVirtual().unstarted(() -> {});
        leaving.stopCheckIns();
        if (trouble) {
            record.say("the store answers 503");
            fleet.store.fault(StoreStandIn.Fault.BUSY);
            Thread.sleep(500);
            restarted.signal("KILL");
            restarted.process.waitFor();
            Thread.sleep(500);
            restarted.start(false);
            restartMillis = record.now();
            storeUpMillis = restartMillis + 3_000;
            long wait = storeUpMillis;
            storeUp =
                    Thread.ofVirtual()
                            .unstarted(
                                    () -> {
                                        sleepUntil(wait, record);
                                        fleet.store.fault(StoreStandIn.Fault.NONE);
                                        record.say("the store answers again");
                                    });
        }
        storeUp.start();
        while (leaving.delete() != 200) {
            Thread.sleep(20);
        }
        long confirmedMillis = record.now();
        record.say("the departure of " + leaving.id + " is confirmed");
        sleepUntil(confirmedMillis + 10_000, record);
        storeUp.join();
        leaving.close();
        record.say(leaving.id + " ends");

        // From here on the store is stable, and all machines are in touch.
        long boundMillis =
                Math.max(
                        confirmedMillis + DRAIN_MILLIS,
                        Math.max(restartMillis, storeUpMillis) + STABLE_MILLIS);
        long late =
                leaving.runs.stream().filter(run -> run.startMillis() > boundMillis).count();
        long afterDrain =
                leaving.runs.stream()
                        .filter(run -> run.startMillis() > confirmedMillis + DRAIN_MILLIS)
                        .count();
        record.say(
                "requests that reached %s later than drainMs after the confirmation: %d; of these with all machines in touch: %d"
                        .formatted(leaving.id, afterDrain, late));
        return late > 0;
    }

    private static void sleepUntil(long millis, Record record) {
        try {
            while (record.now() < millis) {
                Thread.sleep(10);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void request(Fleet.Node node, Record record) {
        try (Requester requester = new Requester(node.ip, node.entryPort(), record)) {
            while (sending.get()) {
                String id = "w-" + nextId.incrementAndGet();
                requester.send("POST", "/write/" + id, id, 4_000, "body of " + id);
                Thread.sleep(100);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
