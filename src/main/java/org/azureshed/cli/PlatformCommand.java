package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.net.URI;
import java.util.concurrent.Callable;
import org.azureshed.platform.HttpObjectStore;
import org.azureshed.preset.PresetOperations;

/** Base class of commands that run one operation on the platform. */
abstract class PlatformCommand implements Callable<Integer> {
    @Required
    @Option(name = "--platform", description = "URL of the platform's object API")
    private String platform;

    @Override
    public final Integer call() {
        CommandResult.logNothing();
        try (HttpObjectStore store = new HttpObjectStore(httpUri("--platform", platform))) {
            return run(PresetOperations.of(store));
        }
    }

    /** Runs the command and returns its exit code. */
    abstract int run(PresetOperations operations);

    static URI httpUri(String option, String value) {
        URI uri = URI.create(value);
        if (!"http".equals(uri.getScheme()) || uri.getHost() == null) {
            throw new IllegalArgumentException(
                    option + " is \"" + value + "\"; write http://ADDRESS:PORT");
        }
        return uri;
    }
}
