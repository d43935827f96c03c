/** Sends requests by machines in touch, and checks the rule DRAIN for an instance that has left. */
final class Drain {
    private Drain() {}

    /**
     * After its confirmed DELETE the instance serves on for this time, as the pages allow ("at
     * times many seconds").
     */
    private static final long STAY_MS = 9_000;

    static int check(Kit kit, Store store, Kit.Instance leaver, Kit.Node front, Kit.Node... hosts)
            throws Exception {
        long inTouchAt = Math.max(store.lastDisturbedAt, front.startedAt);
        for (Kit.Node host : hosts) {
            inTouchAt = Math.max(inTouchAt, host.startedAt);
        }
        inTouchAt =
                Math.max(inTouchAt + Kit.STABLE_MS, leaver.confirmedLeaveAt + Kit.DRAIN_MS) + 100;
        kit.note("all machines are in touch from %d on", inTouchAt);
        front.awaitReady(20_000);
        kit.sleepUntil(inTouchAt);
        long sentFrom = kit.now();
        int served = 0;
        long end = leaver.confirmedLeaveAt + STAY_MS;
        for (int i = 0; kit.now() < end - 500; i++) {
            if (kit.request(front, "POST", "/pozo/late-" + i, 3_000) == 200) {
                served++;
            }
            Thread.sleep(100);
        }
        leaver.end();
        long broken = leaver.runs.stream().filter(run -> run.at() >= sentFrom).count();
        kit.note(
                "served %d; %d requests reached %s more than %d ms after its confirmation at %d",
                served, broken, leaver.id, Kit.DRAIN_MS, leaver.confirmedLeaveAt);
        if (served == 0) {
            return Kit.NOT_RUN;
        }
        return broken > 0 ? Kit.BROKEN : Kit.HELD;
    }
}
