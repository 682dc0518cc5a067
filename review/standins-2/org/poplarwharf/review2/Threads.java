package org.poplarwharf.review2;

/** Starts daemon threads with small stacks. */
final class Threads {
    private Threads() {}

    interface Task {
        void run() throws Exception;
    }

    /** Runs a task on a thread of its own. An exception, such as that of a closed socket, ends the task. */
    static Thread start(Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        if (Boolean.getBoolean("review.trace")) {
                            e.printStackTrace();
                        }
                    }
                },
                "stand-in",
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
