package spanrill.wire.dash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MpdTest {
    private static final Mpd MPD = mpd(
            Timeline.uniform(61_500, 2000),
            "/s/x/manifest.mpd",
            "/s/x/",
            2,
            List.of(rung(1, 1_000_000), rung(2, 2_000_000)));

    private static Mpd.Representation rung(int id, long bandwidth) {
        return new Mpd.Representation(Integer.toString(id), bandwidth, "avc1.64001f");
    }

    private static Mpd mpd(Timeline timeline, String location, String base, int rung, List<Mpd.Representation> rungs) {
        return new Mpd(
                timeline.durationMs(),
                1000,
                location,
                base,
                rung,
                List.of(
                        new Mpd.AdaptationSet(
                                Mpd.Content.VIDEO,
                                null,
                                timeline,
                                "v/init.mp4",
                                "v/$RepresentationID$/$Number$.m4s",
                                rungs),
                        new Mpd.AdaptationSet(
                                Mpd.Content.AUDIO,
                                "ja",
                                timeline,
                                "a/init.mp4",
                                "a/$Number$.m4s",
                                List.of(new Mpd.Representation("audio", 64_000, "mp4a.40.2")))));
    }

    @Test
    void whatIsWrittenIsRead() throws InvalidMpdException {
        assertEquals(MPD, MpdParser.parse(MpdWriter.write(MPD)));
        assertEquals(31, MPD.segmentCount());
    }

    @Test
    void representationsAreSaidToSwitchByConcatenation() {
        assertTrue(MpdWriter.write(MPD).contains("bitstreamSwitching=\"true\""));
    }

    @Property(tries = 300, seed = "20261201")
    void anySessionsMpdIsReadBack(
            @ForAll @LongRange(min = 1, max = 100_000_000) long duration,
            @ForAll @LongRange(min = 100, max = 60_000) long segment,
            @ForAll @IntRange(max = 20) int floor,
            @ForAll @IntRange(min = 1, max = 20) int rungs)
            throws InvalidMpdException {
        List<Mpd.Representation> list = new java.util.ArrayList<>();
        for (int i = 0; i < rungs; i++) {
            list.add(rung(floor + i, 1000L * (i + 1)));
        }
        Mpd mpd = mpd(Timeline.uniform(duration, segment), "/s/<&\">'/m", "/s/&/", floor, list);
        assertEquals(mpd, MpdParser.parse(MpdWriter.write(mpd)));
        assertEquals(List.of(), MpdValidator.check(MpdWriter.write(mpd)));
    }

    /** Segments of any lengths are told by a timeline, and none is lost or added. */
    @Property(tries = 300, seed = "20261201")
    void anyTimelineIsReadBack(
            @ForAll @Size(min = 1, max = 30) List<@LongRange(min = 1, max = 9000) Long> pattern,
            @ForAll @LongRange(min = 1, max = 300_000) long duration)
            throws InvalidMpdException {
        Timeline timeline = Timeline.repeating(duration, pattern);
        assertEquals(duration, timeline.durationMs());
        long sum = 0;
        for (int number = 1; number <= timeline.segmentCount(); number++) {
            sum += timeline.segmentLengthMs(number);
        }
        assertEquals(duration, sum);
        assertEquals(0, timeline.segmentLengthMs(timeline.segmentCount() + 1));
        assertEquals(0, timeline.segmentLengthMs(0));
        Mpd mpd = mpd(timeline, "/m", "/s/", 1, List.of(rung(1, 5)));
        String text = MpdWriter.write(mpd);
        assertEquals(!timeline.isUniform(), text.contains("<SegmentTimeline>"));
        assertEquals(mpd, MpdParser.parse(text));
        assertEquals(List.of(), MpdValidator.check(text));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "<Period |<Perio |can't stand in MPD",
                "profiles=\"|x=\"|MPD@profiles",
                "minBufferTime=\"PT1S\"|minBufferTime=\"1s\"|minBufferTime can't be",
                "id=\"2\"|id=\"1\"|is there twice",
                "mediaPresentationDuration|x|must give MPD@mediaPresentationDuration",
                "codecs=\"avc1.64001f\"||without codecs",
                "mimeType=\"video/mp4\"||without mimeType",
                "$Number$|$Nummer$|unknown identifier",
                "$Number$|1|one of $Number$ and $Time$",
                "duration=\"2000\"||one of @duration",
                "bandwidth=\"64000\"|bandwidth=\"0\"|above 0",
                "<Location>|<Location/><BaseURL/><Location>|must come before",
                "id=\"1\" contentType|id=\"0\" contentType|AdaptationSet@id 0",
                "<MPD |<!DOCTYPE a><MPD |document type",
                "v/init.mp4|v/$Number$.mp4|can't have $Number$",
                "</Period>||well-formed"
            })
    void theValidatorNamesWhatIsWrong(String part, String by, String finding) {
        String text = MpdWriter.write(MPD);
        assertEquals(List.of(), MpdValidator.check(text));
        assertTrue(text.contains(part), text);
        String broken = text.replace(part, by == null ? "" : by);
        assertTrue(
                MpdValidator.check(broken).stream().anyMatch(f -> f.text().contains(finding)),
                MpdValidator.check(broken).toString());
    }

    @Property(tries = 500, seed = "20261201")
    void anyTextIsTakenOrRefused(@ForAll @Size(max = 12) List<@IntRange(max = 9) Integer> cuts) {
        String text = MpdWriter.write(MPD);
        for (int cut : cuts) {
            int at = text.length() * cut / 10;
            text = text.substring(0, at) + text.substring(Math.min(text.length(), at + 7 * cut + 1));
        }
        MpdValidator.check(text);
        try {
            MpdParser.parse(text);
        } catch (InvalidMpdException fault) {
            assertTrue(fault.getMessage().length() < 300);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "<MPD/>|the root is no MPD",
                "nonsense|is no well-formed XML",
                "<!DOCTYPE a [<!ENTITY b 'c'>]><a>&b;</a>|a document type",
                "|there is no"
            })
    void otherTextsAreRefused(String text, String reason) {
        InvalidMpdException fault = assertThrows(
                InvalidMpdException.class,
                () -> MpdParser.parse(
                        text == null
                                ? "<MPD xmlns=\"" + MpdParser.NAMESPACE
                                        + "\" mediaPresentationDuration=\"PT1S\" minBufferTime=\"PT1S\"/>"
                                : text));
        assertTrue(fault.getMessage().contains(reason), fault.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "type=\"static\"|type=\"dynamic\"|MPD@type",
                "PT61.500S|soon|no duration",
                "PT61.500S|PT-1S|out of range",
                "duration=\"2000\"|duration=\"0\"|from 1",
                "$Number$|$Time$|$Number$",
                "id=\"2\"|id=\"1\"|each once",
                "2000000|999|must rise",
                "<Representation id=\"audio\"|<S d=\"1\"/><Representation id=\"audio\"|in a SegmentTimeline",
                "bandwidth=\"2000000\"|bandwidth=\"x\"|whole",
                "<Period|<Period><Period|well-formed"
            })
    void brokenOnesAreRefusedWithTheReason(String part, String by, String reason) {
        String text = MpdWriter.write(MPD);
        assertTrue(text.contains(part));
        InvalidMpdException fault =
                assertThrows(InvalidMpdException.class, () -> MpdParser.parse(text.replace(part, by)));
        assertTrue(fault.getMessage().contains(reason), fault.getMessage());
    }

    @Test
    void depthAndSizeAreBounded() {
        String deep = "<MPD xmlns=\"" + MpdParser.NAMESPACE + "\" mediaPresentationDuration=\"PT1S\""
                + " minBufferTime=\"PT1S\">" + "<a>".repeat(50);
        assertTrue(assertThrows(InvalidMpdException.class, () -> MpdParser.parse(deep))
                .getMessage()
                .contains("deeper"));
        assertThrows(InvalidMpdException.class, () -> MpdParser.parse(" ".repeat(2_000_000)));
    }
}
