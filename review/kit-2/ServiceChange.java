/**
 * An instance leaves, and its address goes to an instance of another service; without trouble, to
 * one of the same service. The platform changes the service in the node's settings file before.
 */
final class ServiceChange {
    /** Time from the change of the settings to the start of the new instance. */
    private static final long START_MS = 500;

    private static final long REUSE_AFTER_MS = 2_000;
    private static final int CHANGES = 3;

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], ServiceChange::run);
    }

    static int run(Kit kit) throws Exception {
        Store store = new Store(kit);
        store.put("config", "main", AckBeforeStored.CONFIGURATION.trim());
        Kit.Node changing = kit.node(1, "front");
        Kit.Node back = kit.node(2, "back");
        changing.start();
        back.start();
        Kit.Instance current = kit.instance(changing, "i-0");
        Kit.Instance server = kit.instance(back, "i-back");
        changing.awaitReady(20_000);
        back.awaitReady(20_000);
        current.register();
        server.register();
        Thread.sleep(2_500);

        int calls = 0;
        int wrong = 0;
        for (int change = 1; change <= CHANGES; change++) {
            if (!current.leave()) {
                throw new IllegalStateException("the departure was not confirmed");
            }
            Thread.sleep(Kit.DRAIN_MS + 200);
            current.end();
            Thread.sleep(REUSE_AFTER_MS);
            if (kit.trouble) {
                changing.service = changing.service.equals("front") ? "other" : "front";
                changing.writeSettings();
                kit.note("settings of m1 name service %s", changing.service);
            }
            Thread.sleep(START_MS);
            current = kit.instance(changing, "i-" + change);
            if (!current.beat()) {
                throw new IllegalStateException("the check-in was not confirmed");
            }
            kit.note("check-in of %s (%s) confirmed", current.id, current.service);
            current.register();
            long end = kit.now() + 2_500;
            while (kit.now() < end) {
                int before = server.runs.size();
                if (kit.request(changing, "POST", "/pozo/call", 3_000) == 200
                        && server.runs.size() > before) {
                    calls++;
                    String caller = server.runs.getLast().caller();
                    if (!caller.equals(changing.service)) {
                        wrong++;
                    }
                }
                Thread.sleep(100);
            }
        }
        kit.note("%d calls ran, %d of them under the name of another service", calls, wrong);
        if (calls == 0) {
            return Kit.NOT_RUN;
        }
        return wrong > 0 ? Kit.BROKEN : Kit.HELD;
    }
}
