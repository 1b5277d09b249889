package org.monsoonrelay.model.job;

/**
 * Durable form of a task that has left its initial state. Immutable.
 *
 * @param task index of the task
 * @param attempt number of the latest attempt
 * @param state state of the task
 * @param worker worker of the latest attempt, empty if none
 * @param incarnation incarnation of that worker, empty if none
 * @param failures number of failed attempts
 */
public record TaskRecord(int task, long attempt, TaskState state, String worker, String incarnation, int failures) {

}
