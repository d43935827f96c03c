import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One write of a restarted node gets no answer, and the store does it seconds later. Meanwhile the
 * instance beside that node leaves, and its departure is stored and confirmed. Then all processes
 * are killed.
 */
final class LateWrite {
    public static void main(String[] args) throws Exception {
        Kit.main(args[0], LateWrite::run);
    }

    static int run(Kit kit) throws Exception {
        Store store = new Store(kit);
        store.put("config", "main", AckBeforeStored.CONFIGURATION.trim());
        Kit.Node front = kit.node(1, "front");
        Kit.Node leaving = kit.node(2, "back");
        Kit.Node staying = kit.node(3, "back");
        Kit.Node[] all = {front, leaving, staying};
        for (Kit.Node node : all) {
            node.start();
        }
        Kit.Instance caller = kit.instance(front, "i-front");
        Kit.Instance leaver = kit.instance(leaving, "i-leaver");
        Kit.Instance stayer = kit.instance(staying, "i-stayer");
        for (Kit.Node node : all) {
            node.awaitReady(20_000);
        }
        caller.register();
        leaver.register();
        stayer.register();
        Thread.sleep(2_500);
        for (int i = 0; i < 10; i++) {
            kit.request(front, "POST", "/pozo/" + i, 3_000);
        }
        if (leaver.runs.isEmpty() || stayer.runs.isEmpty()) {
            throw new IllegalStateException("not both instances served before");
        }

        // Planned work: the node is stopped and started on its own.
        leaving.terminate();
        leaving.process.waitFor();
        AtomicBoolean first = new AtomicBoolean(kit.trouble);
        store.lateMs = 3_000;
        store.rule =
                (method, kind, name, specification) ->
                        name.equals("sidecar-m2") && first.compareAndSet(true, false)
                                ? Store.Treatment.LATE
                                : Store.Treatment.DONE;
        leaving.start();
        leaving.awaitReady(20_000);
        if (!leaver.leave()) {
            throw new IllegalStateException("the departure was not confirmed");
        }
        if (!store.specification("azureshed-nodes", "sidecar-m2").contains("\"departed\"")) {
            throw new IllegalStateException("the departure was confirmed and is not stored");
        }
        kit.note("the confirmed departure is in the store");
        if (kit.trouble) {
            while (store.lastDisturbedAt < leaver.confirmedLeaveAt) {
                Thread.sleep(20);
                if (kit.now() > leaver.confirmedLeaveAt + 8_000) {
                    throw new IllegalStateException("the late write was not done");
                }
            }
            for (Kit.Node node : all) {
                node.kill();
            }
            Thread.sleep(1_000);
            for (Kit.Node node : all) {
                node.start();
            }
        }
        return Drain.check(kit, store, leaver, front, leaving, staying);
    }
}
