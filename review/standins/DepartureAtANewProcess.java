import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.azureshed.platform.standin.ProtocolRequests;

/**
 * A node is killed and starts again. Its instance deregisters, and the new process confirms that. A
 * check-in that the instance sent before its departure arrives late.
 */
final class DepartureAtANewProcess extends Case {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABLE_MILLIS = 3_000;

    private final AtomicInteger nextId = new AtomicInteger();
    private final AtomicBoolean sending = new AtomicBoolean(true);

    public static void main(String[] arguments) {
        new DepartureAtANewProcess().run(arguments[0]);
    }

    @Override
    boolean broken(Fleet fleet, Record record) throws Exception {
        fleet.add("zone-a", "shop", 4, 20);
        fleet.add("zone-b", "shop", 4, 20);
        fleet.add("zone-a", "kiosk", 4, 20);
        fleet.configure(
                1, List.of(new ProtocolRequests.RouteSpec("/write/", "non_idempotent", "shop", 4_000)));
        fleet.startAll();
        Fleet.Node restarted = fleet.nodes.get(0);
        Fleet.Node entry = fleet.nodes.get(2);
        Thread requesting = Thread.ofVirtual().start(() -> request(entry, record));
        Thread.sleep(3_000);

        Instance leaving = restarted.instance;
        leaving.stopCheckIns();
        // Sent now, but held up on its way.
        String lateCheckIn = leaving.nextCheckIn();
        record.line("check-in of " + leaving.id + " sent, held up: " + lateCheckIn);
        Thread.sleep(200);
        long restartMillis = 0;
        if (trouble) {
            restarted.signal("KILL");
            restarted.process.waitFor();
            Thread.sleep(500);
            restarted.start(false);
            restartMillis = record.now();
        }
        while (leaving.delete() != 200) {
            Thread.sleep(100);
        }
        long confirmedMillis = record.now();
        record.say("the departure of " + leaving.id + " is confirmed");
        while (record.now() < confirmedMillis + 3_000) {
            Thread.sleep(10);
        }
        record.say("the late check-in arrives, status " + leaving.put(lateCheckIn));
        while (record.now() < confirmedMillis + 10_000) {
            Thread.sleep(10);
        }
        sending.set(false);
        requesting.join();
        record.say(leaving.id + " ends");

        long boundMillis =
                Math.max(confirmedMillis + DRAIN_MILLIS, restartMillis + STABLE_MILLIS);
        long late =
                leaving.runs.stream().filter(run -> run.startMillis() > boundMillis).count();
        record.say(
                "requests that reached %s later than drainMs after the confirmation, with all machines in touch: %d"
                        .formatted(leaving.id, late));
        return late > 0;
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
