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

/**
 * Guards against routing and admission that answer fewer requests in time than the baselines at a
 * peak of demand, and against long-running requests that delay short ones.
 */
class BenchTest {
    private static final RequestClass SHORT =
            new RequestClass("certificate", false, false, 5000, 1000, 5);

    @ParameterizedTest
    @ValueSource(doubles = {1.5, 2.5})
    void moreRequestsAreAnsweredInTimeThanByTheBaselines(double peakDemand) {
        Map<LoadPolicy, Map<String, ClassStatistics>> results =
                CrestBench.run(CrestBench.archive(1).withPeakDemand(peakDemand));
        ClassStatistics azureshed = results.get(LoadPolicy.AZURESHED).get("page");
        for (LoadPolicy baseline : List.of(LoadPolicy.ROUND_ROBIN, LoadPolicy.LEAST_OUTSTANDING)) {
            ClassStatistics baselineStatistics = results.get(baseline).get("page");
            assertTrue(
                    azureshed.inTimeCount() > 1.15 * baselineStatistics.inTimeCount(),
                    azureshed.inTimeCount()
                            + " requests in time, baseline "
                            + baselineStatistics.inTimeCount());
            assertTrue(
                    azureshed.latencyMillisAt(99) < baselineStatistics.latencyMillisAt(99),
                    "p99 in ms: " + azureshed.latencyMillisAt(99));
        }
        assertEquals(
                azureshed.offeredCount(),
                azureshed.inTimeCount() + azureshed.lateCount() + azureshed.refusedCount());
    }

    @ParameterizedTest
    @CsvSource({"20,true,0", "40,true,0", "40,false,9"})
    void shortRequestsAreNotDelayedByLongOnes(
            int lanePercent, boolean declaredLong, double measuredFromSeconds) {
        RequestClass survey = new RequestClass("survey", declaredLong, true, 30_000, 2000, 0);
        LoadScenario.RequestStream certificates =
                new LoadScenario.RequestStream(
                        SHORT,
                        /* capacityShare= */ 0.3,
                        /* meanMillis= */ 40,
                        /* constantRate= */ true);
        List<LoadScenario.RequestStream> both =
                List.of(
                        certificates,
                        new LoadScenario.RequestStream(
                                survey,
                                /* capacityShare= */ 0.75,
                                /* meanMillis= */ 5000,
                                /* constantRate= */ true));

        double p99Alone =
                p99OfShort(
                        LanesBench.scenario(
                                1, lanePercent, List.of(certificates), measuredFromSeconds));
        double p99Mixed =
                p99OfShort(LanesBench.scenario(1, lanePercent, both, measuredFromSeconds));

        assertTrue(
                p99Mixed <= 1.2 * p99Alone,
                p99Mixed + " ms with surveys, without them " + p99Alone);
    }

    @Test
    void equalSeedsGiveEqualResults() {
        LoadScenario scenario = CrestBench.wellRecords(7);
        assertEquals(p99Of(scenario, "log"), p99Of(scenario, "log"));
    }

    private static double p99OfShort(LoadScenario scenario) {
        return p99Of(scenario, SHORT.name());
    }

    private static double p99Of(LoadScenario scenario, String requestClass) {
        return new LoadSimulation(scenario, LoadPolicy.AZURESHED)
                .run(scenario.requests())
                .get(requestClass)
                .latencyMillisAt(99);
    }
}
