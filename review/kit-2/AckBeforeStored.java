/**
 * A departure is confirmed while the store is down, and all processes are killed before the store
 * is back. The instance serves on after its confirmed DELETE.
 */
final class AckBeforeStored {
    static final String CONFIGURATION =
            """
            {"version":"r7","baseVersion":"r5","resources":[
             {"resourceType":"routes","metadata":{"name":"r-1"},"specification":{"host":"shop.example","pathPrefix":"/pozo/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1500,"priority":1,"service":"back","attempts":2}},
             {"resourceType":"routes","metadata":{"name":"r-2"},"specification":{"host":"shop.example","pathPrefix":"/other/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":1500,"priority":1,"service":"other","attempts":2}},
             {"resourceType":"routes","metadata":{"name":"r-3"},"specification":{"host":"shop.example","pathPrefix":"/front/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":1500,"priority":1,"service":"front","attempts":2}},
             {"resourceType":"services","metadata":{"name":"back"},"specification":{"healthCheckPath":"/health","maxConnections":360,"protocol":"h1","tls":false}},
             {"resourceType":"services","metadata":{"name":"other"},"specification":{"healthCheckPath":"/health","maxConnections":360,"protocol":"h1","tls":false}},
             {"resourceType":"services","metadata":{"name":"front"},"specification":{"healthCheckPath":"/health","maxConnections":360,"protocol":"h1","tls":false}},
             {"resourceType":"limits","metadata":{},"specification":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}
            """;

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], AckBeforeStored::run);
    }

    static int run(Kit kit) throws Exception {
        Store store = new Store(kit);
        store.put("config", "main", CONFIGURATION.trim());
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

        long downAt = kit.now();
        store.down(kit.trouble);
        kit.sleepUntil(downAt + 300);
        if (!leaver.leave()) {
            throw new IllegalStateException("the departure was not confirmed");
        }
        kit.sleepUntil(downAt + 1_500);
        if (kit.trouble) {
            for (Kit.Node node : all) {
                node.kill();
            }
            Thread.sleep(1_000);
            for (Kit.Node node : all) {
                node.start();
            }
        }
        kit.sleepUntil(downAt + 3_000);
        store.down(false);
        return Drain.check(kit, store, leaver, front, leaving, staying);
    }
}
