package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;

/** Prints the fleet status that each given node reports. */
@Command(name = "status", description = "Prints the fleet status that nodes report")
public final class StatusCommand implements Callable<Integer> {
    private static final Timeout TIMEOUT = Timeout.ofSeconds(3);

    @Required
    @Option(name = "--node", description = "URL of a node's admin listener; may be repeated")
    private List<String> nodes = new ArrayList<>();

    @Override
    public Integer call() throws IOException {
        CommandResult.logNothing();
        int result = CommandResult.OK;
        try (CloseableHttpClient client = FleetStatus.client(TIMEOUT)) {
            for (String node : nodes) {
                try {
                    System.out.print(read(client, URI.create(node)));
                } catch (IOException e) {
                    result =
                            CommandResult.fail(
                                    "node "
                                            + node
                                            + " did not answer ("
                                            + e.getMessage()
                                            + "); check the URL of its admin listener");
                }
            }
        }
        return result;
    }

    private static String read(CloseableHttpClient client, URI node) throws IOException {
        return client.execute(
                new HttpGet(node.resolve("/v1/status")),
                response -> {
                    String text = EntityUtils.toString(response.getEntity());
                    if (response.getCode() != 200) {
                        throw new IOException("status " + response.getCode());
                    }
                    return text;
                });
    }
}
