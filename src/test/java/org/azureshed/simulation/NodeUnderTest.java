package org.azureshed.simulation;

/** A node of the fleet, as far as the simulation drives it directly. */
public interface NodeUnderTest {
    /**
     * What a node is started with.
     *
     * @param index number of the node
     * @param service service of its target
     * @param firstStart whether the whole fleet starts for the first time
     */
    record Settings(int index, String service, boolean firstStart) {}

    /** Opens the listeners. */
    void start();

    /** Begins a planned stop, like SIGTERM. */
    void terminate();

    /** Reads the settings again, like SIGHUP. */
    void reload(Settings settings);
}
