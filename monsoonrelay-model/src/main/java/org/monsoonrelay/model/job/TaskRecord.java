package org.monsoonrelay.model.job;

/**
 * Durable form of a task that has left its first state. Immutable.
 *
 * @param task index of the task
 * @param attempt number of the last attempt
 * @param state state of the task
 * @param worker worker of the last attempt, empty if none
 * @param incarnation incarnation of that worker, empty if none
 * @param failures how often the task failed
 */
public record TaskRecord(int task, long attempt, TaskState state, String worker, String incarnation, int failures) {

}
