package org.azureshed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Leaves out the steps of a failing schedule without which it still fails. */
final class ScheduleShrinker {
    private ScheduleShrinker() {}

    /**
     * Returns a schedule that fails, of which no single step can be left out.
     *
     * @param fails whether a schedule fails; true for the given one
     */
    static Schedule shrink(Schedule schedule, Predicate<Schedule> fails) {
        Schedule smallest = schedule;
        for (int i = schedule.steps().size() - 1; i >= 0; i--) {
            List<Schedule.Step> fewer = new ArrayList<>(smallest.steps());
            fewer.remove(i);
            Schedule candidate = new Schedule(schedule.seed(), List.copyOf(fewer));
            if (fails.test(candidate)) {
                smallest = candidate;
            }
        }
        return smallest.steps().size() < schedule.steps().size()
                ? shrink(smallest, fails)
                : smallest;
    }
}
