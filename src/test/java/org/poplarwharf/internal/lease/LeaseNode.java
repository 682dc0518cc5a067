package org.poplarwharf.internal.lease;

import java.util.ArrayList;
import java.util.List;

/** A node with a lease keeper, whose clocks a test moves. */
final class LeaseNode {
    static final long START_MILLIS = 100_000;

    final LeaseKeeper keeper;
    boolean frozen;
    boolean expired;
    int claims;
    String followed = "";
    private final String id;
    private final List<Task> tasks = new ArrayList<>();
    private long steadyMillis = START_MILLIS;
    private long wallMillis = 5_000_000;

    private record Task(long atMillis, Runnable run) {}

    LeaseNode(String id, FakeKeyedLog log) {
        this.id = id;
        LeaseRecord self = new LeaseRecord(id, incarnation(), "127.0.0.1:1", 0, 0, false);
        keeper = new LeaseKeeper(
                "lease",
                self,
                LeaseTimes.with(3_000),
                log,
                (delay, task) -> tasks.add(new Task(steadyMillis + delay, task)),
                new NodeClocks(),
                new NodeListener());
    }

    String incarnation() {
        return id + "/1";
    }

    void start() {
        keeper.start();
    }

    long now() {
        return steadyMillis;
    }

    /** Moves the clocks and runs what is due, unless the node is frozen. */
    void advance(long millis) {
        moveClock(millis);
        if (frozen) {
            return;
        }
        List<Task> due =
                tasks.stream().filter(task -> task.atMillis() <= steadyMillis).toList();
        tasks.removeAll(due);
        due.forEach(task -> task.run().run());
    }

    void moveClock(long millis) {
        steadyMillis += millis;
        wallMillis += millis;
    }

    /** Time passes that the steady clock doesn't count. */
    void suspend(long millis) {
        wallMillis += millis;
    }

    private final class NodeClocks implements LeaseKeeper.Clocks {
        @Override
        public long steadyMillis() {
            return steadyMillis;
        }

        @Override
        public long wallMillis() {
            return wallMillis;
        }
    }

    private final class NodeListener implements LeaseKeeper.Listener {
        @Override
        public void claimed(long fencingNumber) {
            claims++;
            expired = false;
        }

        @Override
        public void expired() {
            expired = true;
        }

        @Override
        public void lost(String why) {
            expired = false;
        }

        @Override
        public void follows(LeaseRecord holder) {
            followed = holder.holder();
        }

        @Override
        public boolean holderAnswers() {
            return false;
        }
    }
}
