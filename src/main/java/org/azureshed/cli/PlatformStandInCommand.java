package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.concurrent.Callable;
import org.azureshed.standin.PlatformStandIn;

/** Runs the stand-in of the platform until the process is stopped. */
@Command(
        name = "platform-standin",
        description = "Runs a test double of the platform's object API on loopback")
public final class PlatformStandInCommand implements Callable<Integer> {
    @Option(name = "--port", description = "port to listen on; 0 for any (default 0)")
    private int port;

    @Override
    public Integer call() throws InterruptedException {
        CommandResult.logNothing();
        try (PlatformStandIn platform = new PlatformStandIn(port)) {
            platform.start();
            System.out.println("platform stand-in listens on " + platform.uri());
            Thread.currentThread().join();
            return CommandResult.OK;
        } catch (IllegalStateException e) {
            return CommandResult.fail(e.getMessage());
        }
    }
}
