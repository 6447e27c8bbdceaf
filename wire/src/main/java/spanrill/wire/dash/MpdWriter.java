package spanrill.wire.dash;

import java.io.StringWriter;
import javax.xml.stream.XMLOutputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamWriter;

/**
 * Writes an MPD. Segments of one length are told by SegmentTemplate@duration, others by a SegmentTimeline
 * (ISO/IEC 23009-1, 5.3.9.6); both are addressed by number.
 */
public final class MpdWriter {
    private static final XMLOutputFactory FACTORY = XMLOutputFactory.newInstance();

    private MpdWriter() {}

    /** The document's text. */
    public static String write(Mpd mpd) {
        StringWriter out = new StringWriter(1024);
        try {
            XMLStreamWriter xml = FACTORY.createXMLStreamWriter(out);
            xml.writeStartDocument("UTF-8", "1.0");
            xml.writeStartElement("MPD");
            xml.writeDefaultNamespace(MpdParser.NAMESPACE);
            attributes(
                    xml,
                    "profiles",
                    "urn:mpeg:dash:profile:isoff-live:2011",
                    "type",
                    "static",
                    "mediaPresentationDuration",
                    seconds(mpd.durationMs()),
                    "minBufferTime",
                    seconds(mpd.minBufferMs()));
            text(xml, "BaseURL", mpd.baseUrl());
            text(xml, "Location", mpd.location());
            xml.writeStartElement("Period");
            attributes(xml, "id", "0", "start", "PT0S");
            for (int i = 0; i < mpd.sets().size(); i++) {
                set(xml, mpd, mpd.sets().get(i), i);
            }
            xml.writeEndDocument();
            xml.close();
        } catch (XMLStreamException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return out.toString();
    }

    private static void set(XMLStreamWriter xml, Mpd mpd, Mpd.AdaptationSet set, int id) throws XMLStreamException {
        boolean video = set.content() == Mpd.Content.VIDEO;
        xml.writeStartElement("AdaptationSet");
        attributes(
                xml,
                "id",
                Integer.toString(id),
                "contentType",
                set.content().value(),
                "mimeType",
                set.content().value() + "/mp4",
                "segmentAlignment",
                "true",
                "startWithSAP",
                "1");
        if (set.lang() != null) {
            attributes(xml, "lang", set.lang());
        }
        if (video) {
            attributes(xml, "bitstreamSwitching", "true");
            xml.writeEmptyElement("SupplementalProperty");
            attributes(xml, "schemeIdUri", Mpd.RUNG_SCHEME, "value", Integer.toString(mpd.rungInForce()));
        }
        segments(xml, set);
        for (Mpd.Representation each : set.representations()) {
            xml.writeEmptyElement("Representation");
            attributes(xml, "id", each.id(), "codecs", each.codecs(), "bandwidth", Long.toString(each.bandwidth()));
        }
        xml.writeEndElement();
    }

    private static void segments(XMLStreamWriter xml, Mpd.AdaptationSet set) throws XMLStreamException {
        Timeline timeline = set.timeline();
        if (timeline.isUniform()) {
            xml.writeEmptyElement("SegmentTemplate");
            attributes(
                    xml,
                    "timescale",
                    "1000",
                    "duration",
                    Long.toString(timeline.runs().get(0).lengthMs()),
                    "startNumber",
                    "1",
                    "initialization",
                    set.initialization(),
                    "media",
                    set.media());
            return;
        }
        xml.writeStartElement("SegmentTemplate");
        attributes(
                xml,
                "timescale",
                "1000",
                "startNumber",
                "1",
                "initialization",
                set.initialization(),
                "media",
                set.media());
        xml.writeStartElement("SegmentTimeline");
        boolean first = true;
        for (Timeline.Run run : timeline.runs()) {
            xml.writeEmptyElement("S");
            if (first) {
                attributes(xml, "t", "0");
                first = false;
            }
            attributes(xml, "d", Long.toString(run.lengthMs()));
            if (run.count() > 1) {
                attributes(xml, "r", Integer.toString(run.count() - 1));
            }
        }
        xml.writeEndElement();
        xml.writeEndElement();
    }

    private static void attributes(XMLStreamWriter xml, String... pairs) throws XMLStreamException {
        for (int i = 0; i < pairs.length; i += 2) {
            xml.writeAttribute(pairs[i], pairs[i + 1]);
        }
    }

    private static void text(XMLStreamWriter xml, String name, String value) throws XMLStreamException {
        if (value != null) {
            xml.writeStartElement(name);
            xml.writeCharacters(value);
            xml.writeEndElement();
        }
    }

    private static String seconds(long ms) {
        return "PT" + ms / 1000 + (ms % 1000 == 0 ? "" : String.format(".%03d", ms % 1000)) + "S";
    }
}
