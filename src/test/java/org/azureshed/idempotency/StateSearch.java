package org.azureshed.idempotency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Depth-first search over all reachable states of a finite model; each state is visited once. */
final class StateSearch {
    /** A state, compared by the ids of its interned parts. */
    record Key(int[] parts) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Key key && Arrays.equals(parts, key.parts);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(parts) * 0x9E3779B9;
        }
    }

    /** Gives equal objects the same id, which keeps states small. */
    static final class Interner {
        private final Map<Object, Integer> ids = new HashMap<>();
        private final List<Object> values = new ArrayList<>();

        int id(Object value) {
            Integer known = ids.putIfAbsent(value, values.size());
            if (known != null) {
                return known;
            }
            values.add(value);
            return values.size() - 1;
        }

        Object value(int id) {
            return values.get(id);
        }
    }

    /** A model with a finite number of states. */
    interface Model {
        int[] initial();

        /** Passes each successor to the consumer. */
        void expand(int[] state, Consumer<Next> out);

        /** Describes a violated invariant, if there is one. */
        Optional<String> violation(int[] state);
    }

    /** A successor state and the label of the step that leads to it. */
    record Next(Object label, int[] state) {}

    /**
     * Result of a search: the number of visited states and, if an invariant is violated, the steps
     * that lead to the violation.
     */
    record Result(long states, Optional<String> violation, List<String> trace) {}

    private record Frame(Object label, Deque<Next> rest) {}

    private StateSearch() {}

    static Result run(Model model, long maxStates) {
        Set<Key> visited = new HashSet<>();
        Deque<Frame> stack = new ArrayDeque<>();
        visited.add(new Key(model.initial()));
        stack.push(frame(model, new Next("start", model.initial())));
        while (!stack.isEmpty()) {
            Next next = stack.peek().rest().poll();
            if (next == null) {
                stack.pop();
                continue;
            }
            if (!visited.add(new Key(next.state()))) {
                continue;
            }
            if (visited.size() > maxStates) {
                throw new IllegalStateException("the model has more than " + maxStates + " states");
            }
            Optional<String> violation = model.violation(next.state());
            if (violation.isPresent()) {
                return new Result(visited.size(), violation, trace(stack, next));
            }
            stack.push(frame(model, next));
        }
        return new Result(visited.size(), Optional.empty(), List.of());
    }

    private static Frame frame(Model model, Next next) {
        Deque<Next> successors = new ArrayDeque<>();
        model.expand(next.state(), successors::add);
        return new Frame(next.label(), successors);
    }

    private static List<String> trace(Deque<Frame> stack, Next last) {
        List<String> labels = new ArrayList<>();
        labels.add(last.label().toString());
        stack.forEach(frame -> labels.add(frame.label().toString()));
        Collections.reverse(labels);
        return labels;
    }
}
