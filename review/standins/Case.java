import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Runs a scripted case: exit status 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
abstract class Case {
    /** Whether the disruption takes place; the variable TROUBLE=0 leaves it out. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    /** Returns whether the rule was broken. */
    abstract boolean broken(Fleet fleet, Record record) throws Exception;

    final void run(String folder) {
        int status = 2;
        try (Record record = new Record(Path.of(folder))) {
            try (Fleet fleet = new Fleet(record)) {
                Runtime.getRuntime()
                        .addShutdownHook(
                                new Thread(
                                        () ->
                                                fleet.nodes.stream()
                                                        .filter(node -> node.process != null)
                                                        .forEach(
                                                                node ->
                                                                        node.process
                                                                                .destroyForcibly())));
                boolean broken = broken(fleet, record);
                record.say(broken ? "rule broken" : "rule held");
                status = broken ? 1 : 0;
            }
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(status);
    }
}
