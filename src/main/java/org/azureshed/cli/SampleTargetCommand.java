package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.net.URI;
import java.util.concurrent.Callable;
import org.azureshed.standin.SampleTarget;

/** Runs a sample target, which stands in for an instance of a service. */
@Command(name = "sample-target", description = "Runs a sample target that announces itself")
public final class SampleTargetCommand implements Callable<Integer> {
    @Required
    @Option(name = "--id", description = "id of the target, unique in the fleet")
    private String id;

    @Required
    @Option(name = "--service", description = "service that it is an instance of")
    private String service;

    @Option(name = "--address", description = "IP address to listen on")
    private String address = "127.0.0.1";

    @Option(name = "--port", description = "port to listen on; 0 for any")
    private int port;

    @Option(name = "--slots", description = "requests that it runs at the same time (default 4)")
    private int slots = 4;

    @Option(name = "--work-ms", description = "time taken for a request, in milliseconds")
    private long workMillis;

    @Option(name = "--start-ms", description = "time from the start until it is ready")
    private long startMillis;

    @Required
    @Option(name = "--admin", description = "URL of the node's admin listener")
    private String admin;

    @Override
    public Integer call() throws Exception {
        SampleTarget.Settings settings =
                new SampleTarget.Settings(
                        id,
                        service,
                        address,
                        port,
                        slots,
                        workMillis,
                        startMillis,
                        URI.create(admin));
        SampleTarget target = new SampleTarget(settings);
        target.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(target), "stop"));
        Thread.currentThread().join();
        return 0;
    }

    private static void stop(SampleTarget target) {
        try {
            target.stop();
        } catch (Exception e) {
            System.err.println("the target did not stop cleanly: " + e);
        }
    }
}
