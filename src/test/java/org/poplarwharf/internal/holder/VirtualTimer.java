package org.poplarwharf.internal.holder;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.poplarwharf.internal.topic.TopicFollower;

/** Runs scheduled tasks in virtual time. Confined to one thread. */
final class VirtualTimer implements TopicFollower.Timer {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueMillis).thenComparingLong(Task::number));
    private long nowMillis = 1_000_000;
    private long taskCount;

    private record Task(long dueMillis, long number, Runnable action) {}

    long nowMillis() {
        return nowMillis;
    }

    @Override
    public void schedule(long delayMillis, Runnable task) {
        tasks.add(new Task(nowMillis + Math.max(0, delayMillis), taskCount++, task));
    }

    /** Runs all tasks that are due within the given time. */
    void advance(long millis) {
        long untilMillis = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().dueMillis() <= untilMillis) {
            Task task = tasks.poll();
            nowMillis = task.dueMillis();
            task.action().run();
        }
        nowMillis = untilMillis;
    }
}
