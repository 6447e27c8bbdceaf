package spanrill.wire.dash;

import java.io.StringWriter;
import javax.xml.stream.XMLOutputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamWriter;

/** Writes an MPD. */
public final class MpdWriter {
    private static final XMLOutputFactory FACTORY = XMLOutputFactory.newInstance();

    private MpdWriter() { }

    /** The document's text. */
    public static String write(Mpd mpd) {
        StringWriter out = new StringWriter(1024);
        try {
            XMLStreamWriter xml = FACTORY.createXMLStreamWriter(out);
            xml.writeStartDocument("UTF-8", "1.0");
            xml.writeStartElement("MPD");
            xml.writeDefaultNamespace(MpdParser.NAMESPACE);
            attributes(xml, "profiles", "urn:mpeg:dash:profile:isoff-live:2011", "type", "static",
                    "mediaPresentationDuration", seconds(mpd.durationMs()),
                    "minBufferTime", seconds(mpd.minBufferMs()));
            text(xml, "BaseURL", mpd.baseUrl());
            text(xml, "Location", mpd.location());
            xml.writeStartElement("Period");
            attributes(xml, "id", "0", "start", "PT0S");
            xml.writeStartElement("AdaptationSet");
            attributes(xml, "contentType", "video", "mimeType", "video/mp4", "segmentAlignment", "true",
                    "bitstreamSwitching", "true", "startWithSAP", "1");
            xml.writeEmptyElement("SupplementalProperty");
            attributes(xml, "schemeIdUri", Mpd.RUNG, "value", Integer.toString(mpd.rungInForce()));
            xml.writeEmptyElement("SegmentTemplate");
            attributes(xml, "timescale", "1000", "duration", Long.toString(mpd.segmentMs()), "startNumber",
                    "1",
                    "initialization", "v/init.mp4", "media", "v/$RepresentationID$/$Number$.m4s");
            for (Mpd.Representation each : mpd.representations()) {
                xml.writeEmptyElement("Representation");
                attributes(xml, "id", Integer.toString(each.id()), "codecs", "avc1.64001f", "bandwidth",
                        Long.toString(each.bandwidth()));
            }
            xml.writeEndDocument();
            xml.close();
        } catch (XMLStreamException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return out.toString();
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
