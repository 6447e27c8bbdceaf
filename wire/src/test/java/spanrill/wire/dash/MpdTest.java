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

    private static Mpd mpd(
            Timeline timeline, String location, String baseUrl, int rung, List<Mpd.Representation> rungs) {
        return new Mpd(
                timeline.durationMs(),
                1000,
                location,
                baseUrl,
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
    void mpdSurvivesARoundTrip() throws InvalidMpdException {
        assertEquals(MPD, MpdParser.parse(MpdWriter.write(MPD)));
        assertEquals(31, MPD.segmentCount());
    }

    @Test
    void videoDeclaresBitstreamSwitching() {
        assertTrue(MpdWriter.write(MPD).contains("bitstreamSwitching=\"true\""));
    }

    @Property(tries = 300, seed = "20261201")
    void arbitraryMpdSurvivesARoundTrip(
            @ForAll @LongRange(min = 1, max = 100_000_000) long duration,
            @ForAll @LongRange(min = 100, max = 60_000) long segment,
            @ForAll @IntRange(max = 20) int floor,
            @ForAll @IntRange(min = 1, max = 20) int rungs)
            throws InvalidMpdException {
        List<Mpd.Representation> representations = new java.util.ArrayList<>();
        for (int i = 0; i < rungs; i++) {
            representations.add(rung(floor + i, 1000L * (i + 1)));
        }
        Mpd mpd = mpd(Timeline.uniform(duration, segment), "/s/<&\">'/m", "/s/&/", floor, representations);
        assertEquals(mpd, MpdParser.parse(MpdWriter.write(mpd)));
        assertEquals(List.of(), MpdValidator.check(MpdWriter.write(mpd)));
    }

    /** A timeline describes segments of any durations, and the round trip neither loses nor adds one. */
    @Property(tries = 300, seed = "20261201")
    void arbitraryTimelineSurvivesARoundTrip(
            @ForAll @Size(min = 1, max = 30) List<@LongRange(min = 1, max = 9000) Long> pattern,
            @ForAll @LongRange(min = 1, max = 300_000) long duration)
            throws InvalidMpdException {
        Timeline timeline = Timeline.repeating(duration, pattern);
        assertEquals(duration, timeline.durationMs());
        long totalMs = 0;
        for (int number = 1; number <= timeline.segmentCount(); number++) {
            totalMs += timeline.segmentLengthMs(number);
        }
        assertEquals(duration, totalMs);
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
                "<Period |<Perio |is not allowed in MPD",
                "profiles=\"|x=\"|MPD@profiles",
                "minBufferTime=\"PT1S\"|minBufferTime=\"1s\"|minBufferTime has the invalid value",
                "id=\"2\"|id=\"1\"|is not unique",
                "mediaPresentationDuration|x|must have MPD@mediaPresentationDuration",
                "codecs=\"avc1.64001f\"||neither the Representation nor its AdaptationSet has codecs",
                "mimeType=\"video/mp4\"||neither the Representation nor its AdaptationSet has a mimeType",
                "$Number$|$Nummer$|unknown identifier",
                "$Number$|1|either $Number$ or $Time$",
                "duration=\"2000\"||either @duration",
                "bandwidth=\"64000\"|bandwidth=\"0\"|above 0",
                "<Location>|<Location/><BaseURL/><Location>|must come before",
                "id=\"1\" contentType|id=\"0\" contentType|AdaptationSet@id 0",
                "<MPD |<!DOCTYPE a><MPD |document types and entities",
                "v/init.mp4|v/$Number$.mp4|must not contain $Number$",
                "</Period>||well-formed"
            })
    void validatorReportsEachViolation(String part, String replacement, String expected) {
        String text = MpdWriter.write(MPD);
        assertEquals(List.of(), MpdValidator.check(text));
        assertTrue(text.contains(part), text);
        String broken = text.replace(part, replacement == null ? "" : replacement);
        assertTrue(
                MpdValidator.check(broken).stream()
                        .anyMatch(finding -> finding.text().contains(expected)),
                MpdValidator.check(broken).toString());
    }

    @Property(tries = 500, seed = "20261201")
    void damagedTextIsParsedOrRejected(@ForAll @Size(max = 12) List<@IntRange(max = 9) Integer> cuts) {
        String text = MpdWriter.write(MPD);
        for (int cut : cuts) {
            int position = text.length() * cut / 10;
            text = text.substring(0, position) + text.substring(Math.min(text.length(), position + 7 * cut + 1));
        }
        MpdValidator.check(text);
        try {
            MpdParser.parse(text);
        } catch (InvalidMpdException exception) {
            assertTrue(exception.getMessage().length() < 300);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "<MPD/>|the root element is not MPD",
                "nonsense|not well-formed XML",
                "<!DOCTYPE a [<!ENTITY b 'c'>]><a>&b;</a>|document types and entities",
                "|there is no"
            })
    void textsThatAreNoMpdAreRejected(String text, String reason) {
        InvalidMpdException exception = assertThrows(
                InvalidMpdException.class,
                () -> MpdParser.parse(
                        text == null
                                ? "<MPD xmlns=\"" + MpdParser.NAMESPACE
                                        + "\" mediaPresentationDuration=\"PT1S\" minBufferTime=\"PT1S\"/>"
                                : text));
        assertTrue(exception.getMessage().contains(reason), exception.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "type=\"static\"|type=\"dynamic\"|MPD@type",
                "PT61.500S|soon|not a duration",
                "PT61.500S|PT-1S|out of range",
                "duration=\"2000\"|duration=\"0\"|from 1",
                "$Number$|$Time$|$Number$",
                "id=\"2\"|id=\"1\"|missing or not unique",
                "2000000|999|increasing order",
                "<Representation id=\"audio\"|<S d=\"1\"/><Representation id=\"audio\"|in a SegmentTimeline",
                "bandwidth=\"2000000\"|bandwidth=\"x\"|whole",
                "<Period|<Period><Period|well-formed"
            })
    void invalidMpdIsRejectedWithTheReason(String part, String replacement, String reason) {
        String text = MpdWriter.write(MPD);
        assertTrue(text.contains(part));
        InvalidMpdException exception =
                assertThrows(InvalidMpdException.class, () -> MpdParser.parse(text.replace(part, replacement)));
        assertTrue(exception.getMessage().contains(reason), exception.getMessage());
    }

    @Test
    void nestingAndSizeAboveTheLimitsAreRejected() {
        String nested = "<MPD xmlns=\"" + MpdParser.NAMESPACE + "\" mediaPresentationDuration=\"PT1S\""
                + " minBufferTime=\"PT1S\">" + "<a>".repeat(50);
        assertTrue(assertThrows(InvalidMpdException.class, () -> MpdParser.parse(nested))
                .getMessage()
                .contains("deeper"));
        assertThrows(InvalidMpdException.class, () -> MpdParser.parse(" ".repeat(2_000_000)));
    }
}
