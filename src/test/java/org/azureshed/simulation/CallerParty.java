package org.azureshed.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/** The callers of one node. They keep connections and use an idle one before they open another. */
final class CallerParty {
    private static final int MAX_CONNECTIONS = 6;
    private static final long MIN_PAUSE_MILLIS = 20;
    private static final long MAX_PAUSE_MILLIS = 120;

    /** Time that a caller waits for an answer. */
    static final long DEADLINE_MILLIS = 5_000;

    /** One in some bodies is longer than what one read takes. */
    private static final int LONG_BODY_ONE_IN = 6;

    /** One in some requests is on the route whose requests run long. */
    private static final int SLOW_ONE_IN = 100;

    private static final int LONG_BODY_BYTES = 150_000;

    private final int node;
    private final VirtualTime time;
    private final SimulatedNetwork network;
    private final Journal journal;
    private final Supplier<Journal.Version> newest;
    private final SplittableRandom random;
    private final List<Connection> connections = new ArrayList<>();
    private int requests;
    private long leaveAfterMillis = Long.MAX_VALUE;
    private long readLateMillis;
    private int partBytes = Integer.MAX_VALUE;
    private boolean stopped;

    CallerParty(
            int node,
            VirtualTime time,
            SimulatedNetwork network,
            Journal journal,
            Supplier<Journal.Version> newest,
            long seed) {
        this.node = node;
        this.time = time;
        this.network = network;
        this.journal = journal;
        this.newest = newest;
        this.random = new SplittableRandom(seed + node);
    }

    /** Sends requests until {@link #stop}. */
    void start() {
        if (!stopped) {
            send();
            time.afterMillis(random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS), this::start);
        }
    }

    void stop() {
        stopped = true;
    }

    void leaveAfter(long millis, long forMillis) {
        leaveAfterMillis = millis;
        time.afterMillis(forMillis, () -> leaveAfterMillis = Long.MAX_VALUE);
    }

    void trickle(int bytes, long forMillis) {
        partBytes = bytes;
        time.afterMillis(forMillis, () -> partBytes = Integer.MAX_VALUE);
    }

    void readLate(long millis, long forMillis) {
        readLateMillis = millis;
        time.afterMillis(forMillis, () -> readLateMillis = 0);
    }

    private void send() {
        Journal.Sent request = next();
        for (Connection connection : connections) {
            if (connection.isIdle()) {
                connection.send(request);
                return;
            }
        }
        if (connections.size() < MAX_CONNECTIONS) {
            Connection connection = new Connection();
            connections.add(connection);
            connection.send(request);
        }
    }

    private Journal.Sent next() {
        String id = "n" + node + "-" + requests++;
        long version = newest.get().number();
        int kind = random.nextInt(12);
        String prefix =
                switch (kind) {
                    case 0 -> "/v" + version + '/';
                    case 1 -> "/v" + Math.max(1, version - random.nextInt(4)) + '/';
                    case 2 -> "/move/";
                    case 3 -> "/short/";
                    case 4, 5 -> "/kiosk/";
                    case 6, 7, 8 -> "/read/";
                    default -> random.nextInt(SLOW_ONE_IN / 4) == 0 ? "/slow/" : "/write/";
                };
        boolean write = kind == 3 || kind == 4 || kind == 5 || kind > 8;
        String body = "";
        if (write) {
            body = "content of " + id;
            if (random.nextInt(LONG_BODY_ONE_IN) == 0) {
                body += "-".repeat(LONG_BODY_BYTES);
            }
        }
        return new Journal.Sent(
                id,
                node,
                !write,
                write ? "POST" : "GET",
                prefix + id + "?a=b",
                body,
                FleetConfiguration.timeoutMillis(prefix),
                time.millis());
    }

    /** A connection to the node, with one request at a time. */
    private final class Connection implements ConnectionEnd.Listener {
        private final ConnectionEnd end;
        private final HttpReader reader = new HttpReader(true, head -> {}, this::answered);
        private Journal.Sent current;
        private byte[] unsent = {};
        private boolean readLate;
        private boolean closing;

        Connection() {
            end =
                    network.connect(
                            Addresses.callers(node),
                            null,
                            Addresses.socket(Addresses.node(node), Addresses.ENTRY_PORT),
                            this);
        }

        boolean isIdle() {
            return current == null && !closing && !end.isClosed() && end.isEstablished();
        }

        void send(Journal.Sent request) {
            current = request;
            readLate = false;
            journal.sent(request);
            String headers =
                    "X-Azureshed-Request-Id: "
                            + request.id()
                            + "\r\nX-Azureshed-Deadline-Ms: "
                            + DEADLINE_MILLIS
                            + "\r\n";
            unsent =
                    HttpText.bytes(
                            HttpText.request(
                                    request.method(), request.target(), headers, request.body()));
            if (end.isEstablished()) {
                sendPart();
            }
            long patience = Math.min(leaveAfterMillis, DEADLINE_MILLIS);
            time.afterMillis(
                    patience,
                    () -> {
                        if (current == request) {
                            finish(Journal.End.LEFT, null);
                            close();
                        }
                    });
        }

        private void sendPart() {
            int length = Math.min(Math.min(partBytes, end.room()), unsent.length);
            if (length > 0 && !end.isClosed()) {
                end.write(Arrays.copyOf(unsent, length));
                unsent = Arrays.copyOfRange(unsent, length, unsent.length);
                if (unsent.length > 0 && partBytes < Integer.MAX_VALUE) {
                    time.afterMillis(1, this::sendPart);
                }
            }
        }

        @Override
        public void connected() {
            sendPart();
        }

        @Override
        public void refused() {
            finish(Journal.End.BROKEN, null);
            connections.remove(this);
        }

        @Override
        public void writable() {
            sendPart();
        }

        @Override
        public void readable() {
            if (readLateMillis == 0) {
                read();
            } else {
                readLate = true;
                time.afterMillis(readLateMillis, this::read);
            }
        }

        private void read() {
            if (end.isClosed()) {
                return;
            }
            for (byte[] bytes = end.read(); bytes != null; bytes = end.read()) {
                if (current == null) {
                    journal.violation("MIXED", "bytes with no request waiting, node " + node);
                }
                reader.read(bytes);
            }
            if (!reader.error().isEmpty()) {
                journal.violation("MIXED", reader.error() + " for " + current);
                close();
            } else if (end.isAtEnd()) {
                if (!end.isReset()) {
                    reader.end();
                }
                finish(Journal.End.BROKEN, null);
                close();
            }
        }

        private void answered(HttpReader.Message answer) {
            if (current == null) {
                journal.violation("MIXED", "answer with no request waiting: " + answer);
            } else if (answer.status() / 100 != 1) {
                finish(Journal.End.ANSWERED, answer);
                closing |= answer.header("connection").equalsIgnoreCase("close");
            }
        }

        private void finish(Journal.End how, HttpReader.Message answer) {
            if (current != null) {
                journal.ended(new Journal.Ended(current, how, answer, readLate, time.millis()));
                current = null;
            }
        }

        private void close() {
            finish(Journal.End.LEFT, null);
            end.close();
            connections.remove(this);
        }
    }
}
