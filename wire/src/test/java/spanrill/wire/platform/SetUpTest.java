package spanrill.wire.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SetUpTest {
    private static final String ATTRIBUTES = "home:4;copies:3;top:4;viewer:00000000b4d65521";

    private static Message message(String className, String wait, String title, String attributes) {
        return new Message(MessageType.SET_UP, 7)
                .with(Parameter.CLASS, className)
                .with(Parameter.WAIT, wait)
                .with(Parameter.TITLE, title)
                .with(Parameter.ATTRIBUTES, attributes)
                .with(Parameter.DESCRIPTION, new byte[] {1, 2});
    }

    @Test
    void readsAValidSetUp() throws InvalidFieldException {
        SetUp setUp = SetUp.of(message("paid", "1500", "7f3a9c21e0b4d655", ATTRIBUTES + ";again:1;new:x"));
        assertEquals(new RequestAttributes(4, 3, 4, "00000000b4d65521", true, null), setUp.attributes());
        assertEquals(1500, setUp.waitMs());
        assertArrayEquals(new byte[] {1, 2}, setUp.description());
    }

    /**
     * Guards against rejecting sessions that viewers hand over to a restarted front: the viewers await no answer, and
     * the wait parameter need not be a number.
     */
    @ParameterizedTest
    @ValueSource(strings = {"inf", "-1", "1e300", "later"})
    void waitOfASessionThatAlreadyPlaysIsIgnored(String wait) throws InvalidFieldException {
        SetUp setUp = SetUp.of(message("paid", wait, "7f3a9c21e0b4d655", ATTRIBUTES + ";at:s-00c41f7a"));
        assertEquals("s-00c41f7a", setUp.attributes().currentServer());
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                "-,1500,7f3a9c21e0b4d655,F,96",
                "paid,-,7f3a9c21e0b4d655,F,96",
                "paid,1500,-,F,96",
                "paid,1500,7f3a9c21e0b4d655,-,96",
                "paid,soon,7f3a9c21e0b4d655,F,100",
                "paid,NaN,7f3a9c21e0b4d655,F,100",
                "paid,-5,7f3a9c21e0b4d655,F,100",
                "paid,1e12,7f3a9c21e0b4d655,F,100",
                "paid,1500,7f3a,F,100",
                "paid,1500,7f3a9c21e0b4d6zz,F,100",
                "paid,1500,7f3a9c21e0b4d655,home:4;copies:3,96",
                "paid,1500,7f3a9c21e0b4d655,home:-4;copies:3;top:4;viewer:00000000b4d65521,100",
                "paid,1500,7f3a9c21e0b4d655,home:4;home:5;copies:3;top:4;viewer:00000000b4d65521,100",
                "paid,1500,7f3a9c21e0b4d655,home:99999999999;copies:3;top:4;viewer:00000000b4d65521,100",
                "paid,1500,7f3a9c21e0b4d655,home,100"
            })
    void invalidFieldIsRejectedWithItsCause(String className, String wait, String title, String attributes, int cause) {
        String sentAttributes = "F".equals(attributes) ? ATTRIBUTES : attributes;
        InvalidFieldException exception = assertThrows(
                InvalidFieldException.class, () -> SetUp.of(message(className, wait, title, sentAttributes)));
        assertEquals(cause, exception.releaseCause());
    }

    @Test
    void repeatedParameterOrSessionZeroIsRejected() {
        assertThrows(
                InvalidFieldException.class,
                () -> SetUp.of(
                        message("paid", "1500", "7f3a9c21e0b4d655", ATTRIBUTES).with(Parameter.CLASS, "free")));
        assertThrows(InvalidFieldException.class, () -> SetUp.of(new Message(MessageType.SET_UP, 0)));
    }

    @Test
    void loadReportKeepsOnlyFiniteValues() {
        assertEquals(Map.of("x0", 12.0, "queue", 3.0), LoadReport.parse("x0:12;x1:noise;queue:3;:4;x;y:inf"));
        assertNull(LoadReport.parse(null));
        assertTrue(Double.isNaN(LoadReport.parseFinite("")) && Double.isNaN(LoadReport.parseFinite("NaN")));
    }
}
