package org.azureshed.node;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A target that answers with raw bytes, so a test can violate the protocol. */
public final class ScriptedTarget implements AutoCloseable {
    private static final Pattern LENGTH = Pattern.compile("(?i)\ncontent-length: *(\\d+)");

    /** How the target handles one request. */
    @FunctionalInterface
    public interface Behaviour {
        /** Answers on the socket; returning false closes the connection. */
        boolean answer(String head, Socket socket) throws IOException, InterruptedException;
    }

    private final ServerSocket server;
    private final List<String> heads = new CopyOnWriteArrayList<>();
    private final AtomicInteger closedByPeer = new AtomicInteger();
    private volatile Behaviour behaviour;

    /** Starts to listen on any port. */
    public ScriptedTarget(Behaviour behaviour) throws IOException {
        this.behaviour = behaviour;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    /** An answer of status 200 with a body of known length. */
    public static boolean ok(Socket socket, String body) throws IOException {
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        return true;
    }

    /** Writes text to the connection unchanged. */
    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** The port that it listens on. */
    public int port() {
        return server.getLocalPort();
    }

    /** Heads of all requests received. */
    public List<String> heads() {
        return heads;
    }

    /** Connections that the node closed while the behaviour was waiting. */
    public int closedByPeer() {
        return closedByPeer.get();
    }

    /** Replaces the behaviour for later requests. */
    public void behave(Behaviour next) {
        behaviour = next;
    }

    /** Waits until the peer closes the connection. */
    public boolean awaitPeerClose(Socket socket) {
        try {
            while (socket.getInputStream().read() >= 0) {
                // Bytes after the request are discarded.
            }
        } catch (IOException reset) {
            // A cancelled exchange ends with a reset instead of an orderly close.
        }
        closedByPeer.incrementAndGet();
        return false;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException ignored) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String head = readHead(input);
            while (!head.isEmpty()) {
                heads.add(head);
                if (!behaviour.answer(head, socket)) {
                    return;
                }
                head = readHead(input);
            }
        } catch (IOException ignored) {
            // The peer closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int next;
        while ((next = input.read()) >= 0) {
            head.write(next);
            String text = head.toString(StandardCharsets.ISO_8859_1);
            if (text.endsWith("\r\n\r\n")) {
                Matcher length = LENGTH.matcher(text);
                if (length.find()) {
                    input.readNBytes(Integer.parseInt(length.group(1)));
                }
                return text;
            }
        }
        return "";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
