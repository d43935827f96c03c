package org.azureshed.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against dead targets that stay in the view because they never withdrew. */
class AnnouncementExpiryTest {
    private static final TargetInfo TARGET =
            new TargetInfo(
                    new TargetId("reading-0"),
                    "reading",
                    new Endpoint("127.0.0.1", 9000),
                    4,
                    TargetState.READY);

    @ParameterizedTest(name = "after {0} ms {1} targets")
    @CsvSource({"4900, 1", "5000, 1", "5001, 0", "60000, 0"})
    void removesTargetThatStoppedToAnnounce(long silenceMillis, int left) {
        Endpoint address = new Endpoint("127.0.0.1", 8080);
        NodeInfo self =
                new NodeInfo(
                        new NodeId("a"),
                        "r",
                        "z",
                        address,
                        address,
                        address,
                        1,
                        1,
                        false,
                        List.of());
        ControlReducer reducer = new ControlReducer();
        ControlState state = ControlState.initial(self);
        for (ControlEvent event :
                List.of(
                        new ControlEvent.Tick(1_000),
                        new ControlEvent.TargetAnnounced(TARGET),
                        new ControlEvent.Tick(1_000 + silenceMillis))) {
            state = reducer.reduce(state, event).state();
        }
        assertEquals(left, state.self().targets().size());
    }
}
