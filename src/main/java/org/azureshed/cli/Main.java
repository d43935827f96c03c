package org.azureshed.cli;

/** Entry point of the {@code azureshed} program. */
public final class Main {
    private Main() {}

    /**
     * Runs one command.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.out.println("azureshed");
    }
}
