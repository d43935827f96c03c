package org.azureshed.json;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Properties of slicing: a value or an {@link IOException} for any bytes, in linear time. */
class JsonSlicePropertyTest {
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    @Property
    void anyBytesGiveSlicesOrAnIoException(@ForAll byte[] bytes) {
        slice(bytes);
    }

    @Property
    void anyTextGivesSlicesOrAnIoException(@ForAll String text) {
        slice(('[' + text + ']').getBytes(StandardCharsets.UTF_8));
        slice(('{' + text + '}').getBytes(StandardCharsets.UTF_8));
    }

    @Provide
    Arbitrary<byte[]> oddLists() {
        return OddJson.variants("{\"items\":[{\"a\":1},[2,\"x,]\"],\"y\\\"\",null,-3.5e2]}");
    }

    /** Where a parser accepts the whole document, slicing agrees with it. */
    @Property
    void slicesAgreeWithTheParser(@ForAll("oddLists") byte[] document) throws IOException {
        JsonNode whole;
        try {
            whole = JSON.readTree(document);
        } catch (IOException e) {
            slice(document);
            return;
        }
        // A member that occurs twice is valid JSON, but the parser takes the last one.
        boolean comparable = whole.isObject() && whole.size() == 1 && whole.has("items");
        if (comparable && whole.get("items").isArray() && count(document, "items") == 1) {
            List<JsonSlice> elements = JsonSlice.of(document).member("items").get().elements();
            assertEquals(whole.get("items").size(), elements.size());
            for (int i = 0; i < elements.size(); i++) {
                assertEquals(whole.get("items").get(i), elements.get(i).parse(JSON));
            }
        }
    }

    private static int count(byte[] document, String text) {
        return new String(document, StandardCharsets.UTF_8).split(text, -1).length - 1;
    }

    private static void slice(byte[] document) {
        JsonSlice slice = JsonSlice.of(document);
        try {
            slice.member("items");
        } catch (IOException expected) {
            // No object, or one whose brackets do not match.
        }
        try {
            for (JsonSlice element : slice.elements()) {
                element.parse(JSON);
            }
        } catch (IOException expected) {
            // No list, or an element that cannot be parsed.
        }
    }
}
