package org.azureshed.control;

import java.util.List;

/**
 * Result of reducing one event.
 *
 * @param state the state after the event
 * @param effects effects to carry out, in this order
 * @param <S> type of the state
 * @param <E> type of the effects
 */
public record Step<S, E>(S state, List<E> effects) {
    /** Copies the effects. */
    public Step {
        effects = List.copyOf(effects);
    }

    /**
     * A step without effects.
     *
     * @param state the state after the event
     * @param <S> type of the state
     * @param <E> type of the effects
     * @return the step
     */
    public static <S, E> Step<S, E> of(S state) {
        return new Step<>(state, List.of());
    }
}
