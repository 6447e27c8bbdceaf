package spanrill.wire.dash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MpdTest {
    private static final Mpd MPD = new Mpd(61_500, 1000, "/s/x/manifest.mpd", "/s/x/", 2000, 2,
            List.of(new Mpd.Representation(1, 1_000_000), new Mpd.Representation(2, 2_000_000)));

    @Test
    void whatIsWrittenIsRead() throws MpdFault {
        assertEquals(MPD, MpdParser.parse(MpdWriter.write(MPD)));
        assertEquals(31, MPD.segments());
    }

    @Test
    void representationsAreSaidToSwitchByConcatenation() {
        assertTrue(MpdWriter.write(MPD).contains("bitstreamSwitching=\"true\""));
    }

    @Property(tries = 300, seed = "20261201")
    void anySessionsMpdIsReadBack(@ForAll @LongRange(min = 1, max = 100_000_000) long duration,
            @ForAll @LongRange(min = 100, max = 60_000) long segment, @ForAll @IntRange(max = 20) int floor,
            @ForAll @IntRange(min = 1, max = 20) int rungs) throws MpdFault {
        List<Mpd.Representation> list = new java.util.ArrayList<>();
        for (int i = 0; i < rungs; i++) {
            list.add(new Mpd.Representation(floor + i, 1000L * (i + 1)));
        }
        Mpd mpd = new Mpd(duration, 500, "/s/<&\">'/m", "/s/&/", segment, floor, list);
        assertEquals(mpd, MpdParser.parse(MpdWriter.write(mpd)));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"<MPD/>|the root is no MPD", "nonsense|is no well-formed XML",
        "<!DOCTYPE a [<!ENTITY b 'c'>]><a>&b;</a>|a document type", "|there is no"})
    void otherTextsAreRefused(String text, String reason) {
        MpdFault fault = assertThrows(MpdFault.class, () -> MpdParser.parse(text == null ? "<MPD xmlns=\""
                + MpdParser.NAMESPACE + "\" mediaPresentationDuration=\"PT1S\" minBufferTime=\"PT1S\"/>"
                : text));
        assertTrue(fault.getMessage().contains(reason), fault.getMessage());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"type=\"static\"|type=\"dynamic\"|MPD@type",
        "PT61.500S|soon|no duration", "PT61.500S|PT-1S|out of range",
                "duration=\"2000\"|duration=\"0\"|from 1",
        "$Number$|$Time$|$Number$", "id=\"2\"|id=\"1\"|must rise",
        "bandwidth=\"2000000\"|bandwidth=\"x\"|whole",
        "<Period|<Period><Period|well-formed"})
    void brokenOnesAreRefusedWithTheReason(String part, String by, String reason) {
        String text = MpdWriter.write(MPD);
        assertTrue(text.contains(part));
        MpdFault fault = assertThrows(MpdFault.class, () -> MpdParser.parse(text.replace(part, by)));
        assertTrue(fault.getMessage().contains(reason), fault.getMessage());
    }

    @Test
    void depthAndSizeAreBounded() {
        String deep = "<MPD xmlns=\"" + MpdParser.NAMESPACE + "\" mediaPresentationDuration=\"PT1S\""
                + " minBufferTime=\"PT1S\">" + "<a>".repeat(50);
        assertTrue(assertThrows(MpdFault.class, () -> MpdParser.parse(deep)).getMessage().contains("deeper"));
        assertThrows(MpdFault.class, () -> MpdParser.parse(" ".repeat(300_000)));
    }
}
