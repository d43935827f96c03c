import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases of this review share: processes, settings, plain HTTP, instances and the record.
 */
final class Kit implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** A case that takes longer has not run. */
    private static final long MAX_MS = 110_000;

    /** Bounds of the small sites, as in the example settings of the pages. */
    static final String BOUNDS =
            "\"seedLagS=3\",\"reuseAfterS=2\",\"stableWindowMs=3000\",\"ackMs=4000\","
                    + "\"catchUpS=4\",\"drainMs=2000\",\"graceS=6\",\"lossSlackMs=200\","
                    + "\"configMs=2000\",\"rollbackSlackMs=250\",\"outerMs=5000\","
                    + "\"budgetRatio=0.2\",\"budgetWindowS=10\",\"budgetSlack=60\","
                    + "\"recoveryS=15\",\"probesPerS=3\",\"floorShare=0.7\"";

    static final long DRAIN_MS = 2_000;
    static final long STABLE_MS = 3_000;
    static final long BEAT_MS = 1_500;

    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final Path temp;
    private final Path root;
    private final String network;
    private final int base;
    private final List<Node> nodes = new CopyOnWriteArrayList<>();
    private final List<Instance> instances = new CopyOnWriteArrayList<>();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Prepares a run; the working directory is the repository's root. */
    Kit(Path caseFolder) throws IOException {
        root = Path.of("").toAbsolutePath();
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        temp = Files.createTempDirectory("review-2-");
        network = "127." + ThreadLocalRandom.current().nextInt(10, 250) + ".1.";
        base = freeBase();
        note("trouble=%s", trouble);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Milliseconds since the run began. */
    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    synchronized void note(String format, Object... values) {
        String line =
                String.format(
                        Locale.ROOT, "%7d %s", now(), String.format(Locale.ROOT, format, values));
        record.println(line);
        System.out.println(line);
    }

    void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - now()));
    }

    /** The node's offsets from the base port; ports are the same on all machines. */
    private static final int INBOUND = 0,
            APP = 1,
            READY = 2,
            OUTBOUND = 4,
            CONTROL = 6,
            INTERNAL = 10;

    private int freeBase() throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int candidate = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            boolean free = true;
            for (int offset = 0; offset < 30 && free; offset++) {
                for (int host = 1; host < 9 && free; host++) {
                    try (ServerSocket probe =
                            new ServerSocket(
                                    candidate + offset, 1, InetAddress.getByName(network + host))) {
                        free = probe.isBound();
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return candidate;
            }
        }
        throw new IOException("no free ports");
    }

    String ip(int machine) {
        return network + machine;
    }

    int storePort() {
        return base + 28;
    }

    int outboundPort() {
        return base + OUTBOUND;
    }

    String storeIp() {
        return ip(8);
    }

    /** One machine's process of the system, started with the command of the deploy file. */
    final class Node {
        final int machine;
        final String ip;
        String service;
        boolean bootstrap = true;
        long linkMbps = 1_000;
        volatile Process process;
        volatile long startedAt;
        private int starts;

        Node(int machine, String service) {
            this.machine = machine;
            this.ip = ip(machine);
            this.service = service;
        }

        private Path settings() {
            return temp.resolve("machine-" + machine + ".json");
        }

        /** Puts the settings in place as a whole. */
        void writeSettings() throws IOException {
            String text =
                    """
                    {"node":"sidecar-m%d","role":"node","machineClass":"sidecar","serves":["sidecar"],
                     "ip":"IP","zone":"zone-a","region":"region-1","zones":{"zone-a":"region-1"},
                     "listen":{"inbound":"IP:%d","outbound":"IP:%d","ready":"IP:%d","control":"IP:%d"},
                     "internalPorts":[%d,%d],"seeds":[],"bootstrap":%s,"lossCounts":false,
                     "limits":{"cpuShare":0.6,"cores":1,"memoryMb":430,"fdLimit":4100,"linkMbps":%d.0,"diskMb":0},
                     "dataDir":null,"discovery":"static","entry":"static","heartbeatIntervalMs":%d,
                     "contracts":["base","drain","config","cost","retry","recover","health","platform"],
                     "faultTolerance":{"machines":1,"zones":0,"regions":0},
                     "bounds":[BOUNDS],
                     "appAddress":"IP:%d","service":"SERVICE",
                     "platform":{"address":"%s:%d","form":"objects","writesPerS":400,"readsPerS":2000,
                     "historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}
                    """
                            .formatted(
                                    machine,
                                    base + INBOUND,
                                    base + OUTBOUND,
                                    base + READY,
                                    base + CONTROL,
                                    base + INTERNAL,
                                    base + INTERNAL + 15,
                                    bootstrap,
                                    linkMbps,
                                    BEAT_MS,
                                    base + APP,
                                    storeIp(),
                                    storePort())
                            .replace("IP", ip)
                            .replace("SERVICE", service)
                            .replace("BOUNDS", BOUNDS);
            Path next = temp.resolve("machine-" + machine + ".next");
            Files.writeString(next, text);
            Files.move(
                    next,
                    settings(),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        }

        void start() throws IOException {
            writeSettings();
            ProcessBuilder builder = new ProcessBuilder(runCommand());
            Map<String, String> own = System.getenv();
            builder.environment().clear();
            for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (own.containsKey(name)) {
                    builder.environment().put(name, own.get(name));
                }
            }
            builder.environment().put("AZURESHED_CONFIG", settings().toString());
            Path log = log(++starts);
            builder.directory(root.toFile()).redirectErrorStream(true).redirectOutput(log.toFile());
            startedAt = now();
            process = builder.start();
            note(
                    "node m%d (%s) started, boot %d, bootstrap=%s",
                    machine, service, starts, bootstrap);
            bootstrap = false;
        }

        private Path log(int boot) {
            return temp.resolve("machine-" + machine + "-boot-" + boot + ".log");
        }

        /** Lines of the current boot's log that contain a word. */
        List<String> logLines(String word) throws IOException {
            return Files.readAllLines(log(starts), StandardCharsets.ISO_8859_1).stream()
                    .filter(line -> line.contains(word))
                    .toList();
        }

        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            note("node m%d killed", machine);
        }

        void terminate() {
            process.destroy();
            note("node m%d got SIGTERM", machine);
        }

        boolean ready() {
            try {
                return call(ip, base + READY, "GET", "/readiness", Map.of(), null, 1_000).status
                        == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady(long millis) throws InterruptedException, IOException {
            long end = now() + millis;
            while (!ready()) {
                if (now() > end) {
                    throw new IOException("node m" + machine + " did not become ready");
                }
                Thread.sleep(50);
            }
            note("node m%d is ready", machine);
        }
    }

    Node node(int machine, String service) {
        Node node = new Node(machine, service);
        nodes.add(node);
        return node;
    }

    private List<String> runCommand() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run command in the deploy file");
        }
        return List.of(run.group(1).split(" +"));
    }

    /** A request or a response as read from a connection. */
    static final class Message {
        String line = "";
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};

        /** Whether the message ended as its framing says. */
        boolean complete;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message; null if the connection ended before one began. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message message = readHead(in, response);
        if (message != null) {
            readBody(in, message);
        }
        return message;
    }

    private static Message readHead(InputStream in, boolean response) throws IOException {
        Message message = new Message();
        do {
            message.headers.clear();
            String first = readLine(in);
            if (first == null) {
                return null;
            }
            message.line = first;
            if (response) {
                String[] words = first.split(" ");
                message.status =
                        words.length > 1 && words[1].matches("\\d{3}")
                                ? Integer.parseInt(words[1])
                                : 0;
            }
            for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                message.headers.put(
                        line.substring(0, Math.max(0, colon)).trim(),
                        line.substring(colon + 1).trim());
            }
        } while (response && message.status / 100 == 1);
        return message;
    }

    private static void readBody(InputStream in, Message message) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (message.header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
            message.complete = readChunks(in, body);
        } else {
            int length = Integer.parseInt(message.headers.getOrDefault("Content-Length", "0"));
            copy(in, body, length);
            message.complete = body.size() == length;
        }
        message.body = body.toByteArray();
    }

    private static void copy(InputStream in, ByteArrayOutputStream body, int length) {
        byte[] buffer = new byte[8_192];
        int left = length;
        try {
            while (left > 0) {
                int count = in.read(buffer, 0, Math.min(left, buffer.length));
                if (count < 0) {
                    return;
                }
                body.write(buffer, 0, count);
                left -= count;
            }
        } catch (IOException e) {
            // A reset ends the message early, which its length shows.
        }
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body)
            throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null || !size.matches("[0-9a-fA-F]+.*")) {
                return false;
            }
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            int before = body.size();
            copy(in, body, length);
            if (body.size() - before < length) {
                return false;
            }
            if (readLine(in) == null) {
                return false;
            }
            if (length == 0) {
                return true;
            }
        }
    }

    /** Sends one request on a connection of its own and returns the response. */
    static Message call(
            String ip,
            int port,
            String method,
            String path,
            Map<String, String> headers,
            String body,
            int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            return exchange(socket, method, path, headers, body, timeoutMs);
        }
    }

    static Message exchange(
            Socket socket,
            String method,
            String path,
            Map<String, String> headers,
            String body,
            int timeoutMs)
            throws IOException {
        socket.setSoTimeout(timeoutMs);
        StringBuilder head = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\n");
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (!headers.containsKey("Host")) {
            head.append("Host: ").append(socket.getInetAddress().getHostAddress()).append("\r\n");
        }
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        if (body != null) {
            head.append("Content-Type: application/json\r\nContent-Length: ")
                    .append(bytes.length)
                    .append("\r\n");
        }
        OutputStream out = socket.getOutputStream();
        out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
        Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
        if (answer == null) {
            throw new IOException("the connection ended without an answer");
        }
        return answer;
    }

    private final AtomicLong lastId = new AtomicLong(System.nanoTime() & 0xffffffL);

    String newId() {
        return String.format("%016x", lastId.incrementAndGet());
    }

    /** A request that an instance began to run. */
    record Run(long at, String id, String line, String caller) {}

    /** How an instance answers the one request of a connection, whose body is not read yet. */
    interface Answers {
        void answer(Message head, InputStream in, Socket socket)
                throws IOException, InterruptedException;
    }

    /** An application instance beside a node, as the pages describe it. */
    final class Instance {
        final Node node;
        final String id;
        final String service;
        final long born = System.currentTimeMillis();
        final List<Run> runs = new CopyOnWriteArrayList<>();
        volatile long workMs = 50;
        volatile int answerBytes = 200;
        volatile long confirmedLeaveAt = -1;
        volatile boolean beating;

        /** Takes over a connection once a request's head is read; null for plain answers. */
        volatile Answers answers;

        private final ServerSocket server;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private final AtomicLong sequence = new AtomicLong();

        Instance(Node node, String id, String service) throws IOException {
            this.node = node;
            this.id = id;
            this.service = service;
            this.server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(node.ip, base + APP), 64);
            Thread.startVirtualThread(this::accept);
            note("instance %s (%s) started beside m%d", id, service, node.machine);
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    Thread.startVirtualThread(() -> serve(socket));
                }
            } catch (IOException ended) {
                // The instance has ended.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                if (answers != null) {
                    Message head = readHead(in, false);
                    if (head != null) {
                        answers.answer(head, in, socket);
                    }
                    return;
                }
                for (Message request = read(in, false);
                        request != null && request.complete;
                        request = read(in, false)) {
                    respond(request, out);
                }
            } catch (IOException | InterruptedException ended) {
                // The caller closed the connection, or the instance has ended.
            }
        }

        private void respond(Message request, OutputStream out)
                throws IOException, InterruptedException {
            String requestId = request.header("X-Azureshed-Request-Id");
            String expected = request.header("X-Azureshed-Expected-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                write(
                        out,
                        "HTTP/1.1 421 Misdirected Request\r\nX-Azureshed-Instance-Id: "
                                + id
                                + "\r\nX-Azureshed-Request-Id: "
                                + requestId
                                + "\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            ran(request);
            Thread.sleep(workMs);
            byte[] body = "x".repeat(answerBytes).getBytes(StandardCharsets.ISO_8859_1);
            write(
                    out,
                    "HTTP/1.1 200 OK\r\nX-Azureshed-Request-Id: "
                            + requestId
                            + "\r\nX-Azureshed-Response-Signature: s."
                            + requestId
                            + "\r\nContent-Length: "
                            + body.length
                            + "\r\n\r\n");
            out.write(body);
            out.flush();
        }

        /** Records that the instance begins to run a request. */
        void ran(Message request) {
            String requestId = request.header("X-Azureshed-Request-Id");
            String caller = request.header("X-Azureshed-Caller-Service");
            runs.add(new Run(now(), requestId, request.line, caller));
            note("instance %s runs %s (%s), caller %s", id, requestId, request.line, caller);
        }

        private void write(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Sends one check-in; whether it was confirmed. */
        boolean beat() {
            String body =
                    "{\"born\":%d,\"address\":\"%s:%d\",\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"zone-a\",\"slots\":4},\"status\":{\"state\":\"ready\",\"sequence\":%d,\"warmupLeftMs\":0}}"
                            .formatted(
                                    born, node.ip, base + APP, service, sequence.incrementAndGet());
            return tell("PUT", body);
        }

        private boolean tell(String method, String body) {
            try {
                Message answer =
                        call(
                                node.ip,
                                base + CONTROL,
                                method,
                                "/instances/" + id,
                                Map.of(),
                                body,
                                1_000);
                return answer.status / 100 == 2;
            } catch (IOException e) {
                return false;
            }
        }

        /** Sends check-ins until the instance leaves or ends. */
        void register() {
            beating = true;
            Thread.startVirtualThread(
                    () -> {
                        while (beating) {
                            boolean confirmed = beat();
                            try {
                                Thread.sleep(confirmed ? BEAT_MS : 200);
                            } catch (InterruptedException e) {
                                return;
                            }
                        }
                    });
        }

        /** Leaves without reporting that it drains; whether that was confirmed. Serves on. */
        boolean leave() throws InterruptedException {
            beating = false;
            for (int attempt = 0; attempt < 4; attempt++) {
                note("instance %s sends DELETE", id);
                if (tell("DELETE", null)) {
                    confirmedLeaveAt = now();
                    note("instance %s: DELETE confirmed", id);
                    return true;
                }
                Thread.sleep(100);
            }
            return false;
        }

        void end() {
            beating = false;
            try {
                server.close();
                for (Socket socket : sockets) {
                    socket.close();
                }
            } catch (IOException e) {
                note("instance %s: %s", id, e.getMessage());
            }
            note("instance %s ended", id);
        }
    }

    Instance instance(Node node, String id) throws IOException {
        return instance(node, id, node.service);
    }

    Instance instance(Node node, String id, String service) throws IOException {
        Instance instance = new Instance(node, id, service);
        instances.add(instance);
        return instance;
    }

    /** One requester attempt at a node, on a connection of its own; returns the status or 0. */
    int request(Node at, String method, String path, long budgetMs) {
        String id = newId();
        Map<String, String> headers = new TreeMap<>();
        headers.put("Host", "shop.example");
        headers.put("X-Azureshed-Request-Id", id);
        headers.put("X-Azureshed-Deadline-Ms", Long.toString(budgetMs));
        note("request %s sent at m%d: %s %s", id, at.machine, method, path);
        try {
            Message answer =
                    call(at.ip, base + OUTBOUND, method, path, headers, null, (int) budgetMs);
            note("request %s answered %d%s", id, answer.status, answer.complete ? "" : ", cut");
            return answer.status;
        } catch (IOException e) {
            note("request %s: %s", id, e.getMessage());
            return 0;
        }
    }

    /** Runs a case and exits with its result. */
    interface Case {
        int run(Kit kit) throws Exception;
    }

    static void main(String folder, Case body) throws IOException {
        int result;
        Kit kit = new Kit(Path.of("review", folder));
        Thread.ofPlatform()
                .daemon()
                .start(
                        () -> {
                            try {
                                Thread.sleep(MAX_MS);
                            } catch (InterruptedException e) {
                                return;
                            }
                            kit.note("could not run: no result after %d ms", MAX_MS);
                            kit.close();
                            Runtime.getRuntime().halt(NOT_RUN);
                        });
        try {
            result = body.run(kit);
        } catch (Exception e) {
            kit.note("could not run: %s", e);
            result = NOT_RUN;
        }
        kit.note("result %d", result);
        kit.close();
        System.exit(result);
    }

    private boolean closed;

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        for (Node node : nodes) {
            if (node.process != null && node.process.isAlive()) {
                node.process.destroyForcibly();
            }
        }
        instances.forEach(Instance::end);
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.walk(temp)) {
                files.sorted(java.util.Comparator.reverseOrder())
                        .forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                System.err.println(e);
            }
        } else {
            System.out.println("logs in " + temp);
        }
        record.flush();
    }
}
