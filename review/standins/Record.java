import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), false);
    }

    /** Milliseconds since the start of the case, on the steady clock. */
    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%7d %s%n", now(), text);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
