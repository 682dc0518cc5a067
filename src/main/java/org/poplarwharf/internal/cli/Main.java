package org.poplarwharf.internal.cli;

/** Entry point of the binary. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        System.exit(0);
    }
}
