package org.azureshed.simulation;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Map;

/**
 * Loads the classes of a node with other classes in place of clocks, event loops, sockets, logs and
 * latches. Only names in the constant pools change; the code of the node stays as it is shipped.
 */
final class NodeClassLoader extends ClassLoader {
    private static final String OWN_PREFIX = "org.azureshed.";
    private static final String SHARED_PREFIX = "org.azureshed.simulation.";
    private static final String SIMULATION = "org/azureshed/simulation/";

    private static final Map<String, String> STAND_INS =
            Map.of(
                    "java/lang/System",
                    SIMULATION + "SimulatedSystem",
                    "java/util/concurrent/CountDownLatch",
                    SIMULATION + "SimulatedLatch",
                    "io/netty/channel/MultiThreadIoEventLoopGroup",
                    SIMULATION + "SimulatedLoopGroup",
                    "io/netty/channel/socket/nio/NioSocketChannel",
                    SIMULATION + "SimulatedSocketChannel",
                    "io/netty/channel/socket/nio/NioServerSocketChannel",
                    SIMULATION + "SimulatedServerChannel",
                    "org/azureshed/telemetry/DecisionLog",
                    SIMULATION + "SimulatedLog");

    private static final int UTF8 = 1;
    private static final int LONG = 5;
    private static final int DOUBLE = 6;

    NodeClassLoader() {
        super(NodeClassLoader.class.getClassLoader());
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
        if (!name.startsWith(OWN_PREFIX) || name.startsWith(SHARED_PREFIX)) {
            return super.loadClass(name, resolve);
        }
        synchronized (getClassLoadingLock(name)) {
            Class<?> loaded = findLoadedClass(name);
            return loaded != null ? loaded : define(name);
        }
    }

    private Class<?> define(String name) throws ClassNotFoundException {
        String path = name.replace('.', '/') + ".class";
        try (InputStream in = getParent().getResourceAsStream(path)) {
            if (in == null) {
                throw new ClassNotFoundException(name);
            }
            byte[] bytes = replaceNames(in.readAllBytes());
            return defineClass(name, bytes, 0, bytes.length);
        } catch (IOException e) {
            throw new ClassNotFoundException(name, e);
        }
    }

    /** Copies a class file and replaces names of classes in its constant pool. */
    private static byte[] replaceNames(byte[] classFile) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(classFile));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(classFile.length + 256);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(in.readInt());
        out.writeInt(in.readInt());
        int entries = in.readUnsignedShort();
        out.writeShort(entries);
        for (int i = 1; i < entries; i++) {
            int tag = in.readUnsignedByte();
            out.writeByte(tag);
            if (tag == UTF8) {
                out.writeUTF(replaceName(in.readUTF()));
            } else {
                out.write(in.readNBytes(length(tag)));
            }
            if (tag == LONG || tag == DOUBLE) {
                // These take two places in the table.
                i++;
            }
        }
        in.transferTo(out);
        return bytes.toByteArray();
    }

    private static String replaceName(String text) {
        String replacement = STAND_INS.get(text);
        if (replacement != null) {
            return replacement;
        }
        String replaced = text;
        if (text.indexOf(';') >= 0) {
            for (Map.Entry<String, String> name : STAND_INS.entrySet()) {
                replaced = replaced.replace('L' + name.getKey() + ';', 'L' + name.getValue() + ';');
            }
        }
        return replaced;
    }

    /** Length of an entry after its tag, by the class file format. */
    private static int length(int tag) {
        return switch (tag) {
            case 7, 8, 16, 19, 20 -> 2;
            case 15 -> 3;
            case 3, 4, 9, 10, 11, 12, 17, 18 -> 4;
            case LONG, DOUBLE -> 8;
            default -> throw new IllegalArgumentException("unknown tag " + tag);
        };
    }
}
