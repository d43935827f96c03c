package org.azureshed.simulation;

/** One call of a target to its node, on a connection of its own. */
final class ControlCall implements ConnectionEnd.Listener {
    /** Time after which the target gives up. */
    private static final long TIMEOUT_MILLIS = 1_500;

    private final ConnectionEnd end;
    private final String request;
    private final HttpReader reader;

    ControlCall(
            SimulatedNetwork network,
            VirtualTime time,
            int node,
            String request,
            Runnable onAcknowledged) {
        this.request = request;
        this.reader =
                new HttpReader(
                        true,
                        head -> {},
                        answer -> {
                            if (answer.status() / 100 == 2) {
                                onAcknowledged.run();
                            }
                        });
        String ip = Addresses.node(node);
        this.end = network.connect(ip, null, Addresses.socket(ip, Addresses.CONTROL_PORT), this);
        time.afterMillis(TIMEOUT_MILLIS, end::close);
    }

    @Override
    public void connected() {
        end.write(HttpText.bytes(request));
    }

    @Override
    public void readable() {
        for (byte[] bytes = end.read(); bytes != null; bytes = end.read()) {
            reader.read(bytes);
        }
        if (end.isAtEnd()) {
            end.close();
        }
    }
}
