import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.azureshed.platform.standin.ProtocolRequests;

/**
 * A node gets SIGTERM while its requesters go on, as the only node of its zone. Requests sent more
 * than 3 s after the signal are accepted and passed on to instances that work on them for 2.2 s.
 */
final class LateRequestsOfAStoppingNode extends Case {
    private static final long WORK_MILLIS = 2_200;
    private static final long GRACE_MILLIS = 6_000;

    /** Requests sent up to this time after SIGTERM may be cut in the last sixth of the grace. */
    private static final long EXCUSED_MILLIS = 3_000;

    private final AtomicInteger nextId = new AtomicInteger();

    /** Whether the instance was at work on a request when its answer of another kind came. */
    private final Map<String, Boolean> atWorkWhenAnswered = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        new LateRequestsOfAStoppingNode().run(arguments[0]);
    }

    @Override
    boolean broken(Fleet fleet, Record record) throws Exception {
        for (String zone : List.of("zone-a", "zone-b", "zone-c")) {
            fleet.add(zone, "shop", 8, WORK_MILLIS);
        }
        fleet.configure(
                1, List.of(new ProtocolRequests.RouteSpec("/write/", "non_idempotent", "shop", 8_000)));
        fleet.startAll();
        Fleet.Node stopping = fleet.nodes.get(0);
        long end = record.now() + 5_000;
        while (record.now() < end) {
            sendOne(fleet, stopping, record);
        }
        long signalMillis = record.now();
        if (trouble) {
            stopping.signal("TERM");
            signalMillis = record.now();
        }
        // The zone's only node is not ready, so fewer than half of the zone's nodes are in, and the
        // requesters of this machine go on.
        while (record.now() < signalMillis + 4_000) {
            if (record.now() / 1_000 != (record.now() - 200) / 1_000) {
                record.line("readiness of " + stopping.name + ": " + stopping.ready());
            }
            sendOne(fleet, stopping, record);
        }
        while (record.now() < signalMillis + GRACE_MILLIS) {
            Thread.sleep(20);
        }
        if (trouble) {
            stopping.process.destroyForcibly().waitFor();
            stopping.start(false);
            fleet.awaitReady(stopping, 20_000);
        }
        Thread.sleep(3_000);
        int lost = 0;
        int late = 0;
        for (Requester.Outcome outcome : Requester.outcomes) {
            boolean answeredByInstance = outcome.signed() && outcome.status() == 200;
            if (outcome.sentMillis() <= signalMillis + EXCUSED_MILLIS) {
                continue;
            }
            late++;
            if (!answeredByInstance && atWorkWhenAnswered.getOrDefault(outcome.id(), false)) {
                lost++;
                record.say(
                        "%s, sent %d ms after the signal: its instance was at work, and after %d ms the node answered %d"
                                .formatted(
                                        outcome.id(),
                                        outcome.sentMillis() - signalMillis,
                                        outcome.endMillis() - outcome.sentMillis(),
                                        outcome.status()));
            }
        }
        record.say(late + " requests sent later than 3 s after the signal, " + lost + " cut");
        return lost > 0;
    }

    /** Starts one request on a connection of its own, and waits until the next one is due. */
    private void sendOne(Fleet fleet, Fleet.Node node, Record record) throws InterruptedException {
        String id = "w-" + nextId.incrementAndGet();
        threads.execute(
                () -> {
                    try (Requester requester =
                            new Requester(node.ip, node.entryPort(), record)) {
                        Requester.Outcome outcome =
                                requester.send("POST", "/write/" + id, id, 10_000, "body of " + id);
                        atWorkWhenAnswered.put(
                                outcome.id(),
                                fleet.nodes.stream()
                                        .anyMatch(
                                                other ->
                                                        other.instance.atWork.containsKey(
                                                                outcome.id())));
                    }
                });
        Thread.sleep(200);
    }
}
