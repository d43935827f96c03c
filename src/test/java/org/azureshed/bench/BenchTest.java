package org.azureshed.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.azureshed.model.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against policies that lose to the baselines at a peak or let long work delay short. */
class BenchTest {
    private static final RequestClass SHORT =
            new RequestClass("certificate", false, false, 5000, 1000, 5);

    @ParameterizedTest
    @ValueSource(doubles = {1.5, 2.5})
    void moreRequestsAreAnsweredInTimeThanByTheBaselines(double demand) {
        Map<SimulationPolicy, Map<String, Measures>> results =
                CrestBench.run(CrestBench.archive(1).withDemand(demand));
        Measures ours = results.get(SimulationPolicy.AZURESHED).get("page");
        for (SimulationPolicy baseline :
                List.of(SimulationPolicy.ROUND_ROBIN, SimulationPolicy.LEAST_OUTSTANDING)) {
            Measures other = results.get(baseline).get("page");
            assertTrue(
                    ours.inTimeCount() > 1.15 * other.inTimeCount(),
                    ours.inTimeCount() + " against " + other.inTimeCount());
            assertTrue(ours.millisAt(99) < other.millisAt(99), "p99 " + ours.millisAt(99));
        }
        assertEquals(
                ours.offeredCount(), ours.inTimeCount() + ours.lateCount() + ours.refusedCount());
    }

    @ParameterizedTest
    @CsvSource({"20,true,0", "40,true,0", "40,false,9"})
    void shortWorkIsNotDelayedByLongWork(int lanePercent, boolean declaredLong, double from) {
        RequestClass survey = new RequestClass("survey", declaredLong, true, 30_000, 2000, 0);
        Scenario.Stream alone = new Scenario.Stream(SHORT, 0.3, 40, true);
        List<Scenario.Stream> both = List.of(alone, new Scenario.Stream(survey, 0.75, 5000, true));

        double without = p99(LanesBench.scenario(1, lanePercent, List.of(alone), from));
        double with = p99(LanesBench.scenario(1, lanePercent, both, from));

        assertTrue(with <= 1.2 * without, with + " ms beside surveys, alone " + without);
    }

    @Test
    void aSeedGivesTheSameFiguresAgain() {
        Scenario scenario = CrestBench.wellRecords(7);
        assertEquals(p99Of(scenario, "log"), p99Of(scenario, "log"));
    }

    private static double p99(Scenario scenario) {
        return p99Of(scenario, SHORT.name());
    }

    private static double p99Of(Scenario scenario, String requestClass) {
        return new Simulation(scenario, SimulationPolicy.AZURESHED)
                .run(scenario.requests())
                .get(requestClass)
                .millisAt(99);
    }
}
