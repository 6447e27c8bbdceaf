package spanrill.wire.dash;

import java.io.StringWriter;
import javax.xml.stream.XMLOutputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamWriter;

/**
 * Writes an MPD as XML. Segments of uniform duration are described by SegmentTemplate@duration, others by a
 * SegmentTimeline (ISO/IEC 23009-1, 5.3.9.6); both are addressed by number.
 */
public final class MpdWriter {
    private static final XMLOutputFactory FACTORY = XMLOutputFactory.newInstance();

    private MpdWriter() {}

    /** Returns the text of the document. */
    public static String write(Mpd mpd) {
        StringWriter out = new StringWriter(1024);
        try {
            XMLStreamWriter xml = FACTORY.createXMLStreamWriter(out);
            xml.writeStartDocument("UTF-8", "1.0");
            xml.writeStartElement("MPD");
            xml.writeDefaultNamespace(MpdParser.NAMESPACE);
            writeAttributes(
                    xml,
                    "profiles",
                    "urn:mpeg:dash:profile:isoff-live:2011",
                    "type",
                    "static",
                    "mediaPresentationDuration",
                    formatDuration(mpd.durationMs()),
                    "minBufferTime",
                    formatDuration(mpd.minBufferMs()));
            writeText(xml, "BaseURL", mpd.baseUrl());
            writeText(xml, "Location", mpd.location());
            xml.writeStartElement("Period");
            writeAttributes(xml, "id", "0", "start", "PT0S");
            for (int i = 0; i < mpd.sets().size(); i++) {
                writeAdaptationSet(xml, mpd, mpd.sets().get(i), i);
            }
            xml.writeEndDocument();
            xml.close();
        } catch (XMLStreamException e) {
            throw new IllegalStateException("the MPD cannot be written to memory", e);
        }
        return out.toString();
    }

    private static void writeAdaptationSet(XMLStreamWriter xml, Mpd mpd, Mpd.AdaptationSet set, int id)
            throws XMLStreamException {
        boolean video = set.content() == Mpd.Content.VIDEO;
        xml.writeStartElement("AdaptationSet");
        writeAttributes(
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
            writeAttributes(xml, "lang", set.lang());
        }
        if (video) {
            writeAttributes(xml, "bitstreamSwitching", "true");
            xml.writeEmptyElement("SupplementalProperty");
            writeAttributes(xml, "schemeIdUri", Mpd.RUNG_SCHEME, "value", Integer.toString(mpd.rungInForce()));
        }
        writeSegmentTemplate(xml, set);
        for (Mpd.Representation representation : set.representations()) {
            xml.writeEmptyElement("Representation");
            writeAttributes(
                    xml,
                    "id",
                    representation.id(),
                    "codecs",
                    representation.codecs(),
                    "bandwidth",
                    Long.toString(representation.bandwidth()));
        }
        xml.writeEndElement();
    }

    private static void writeSegmentTemplate(XMLStreamWriter xml, Mpd.AdaptationSet set) throws XMLStreamException {
        Timeline timeline = set.timeline();
        if (timeline.isUniform()) {
            xml.writeEmptyElement("SegmentTemplate");
            writeAttributes(
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
        writeAttributes(
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
                writeAttributes(xml, "t", "0");
                first = false;
            }
            writeAttributes(xml, "d", Long.toString(run.lengthMs()));
            if (run.count() > 1) {
                writeAttributes(xml, "r", Integer.toString(run.count() - 1));
            }
        }
        xml.writeEndElement();
        xml.writeEndElement();
    }

    private static void writeAttributes(XMLStreamWriter xml, String... namesAndValues) throws XMLStreamException {
        for (int i = 0; i < namesAndValues.length; i += 2) {
            xml.writeAttribute(namesAndValues[i], namesAndValues[i + 1]);
        }
    }

    private static void writeText(XMLStreamWriter xml, String name, String value) throws XMLStreamException {
        if (value != null) {
            xml.writeStartElement(name);
            xml.writeCharacters(value);
            xml.writeEndElement();
        }
    }

    private static String formatDuration(long ms) {
        return "PT" + ms / 1000 + (ms % 1000 == 0 ? "" : String.format(".%03d", ms % 1000)) + "S";
    }
}
