package spanrill.wire.box;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import spanrill.SessionControl.Load;

class BoxLinkTest {
    @Test
    void loadReportsSurviveARoundTrip() {
        assertEquals(new Load(7, 0.4, 1.25), BoxLink.parseLoad(BoxLink.formatLoad(new Load(7, 0.4, 1.25))));
        assertTrue(
                Double.isNaN(BoxLink.parseLoad("inflight=-3;x0=NaN;x1=Infinity").link()));
        assertNull(BoxLink.parseLoad(null));
    }

    @Test
    void notesSurviveARoundTripAndMalformedOnesAreRejected() {
        Note note = new Note(Note.Kind.DELIVERED, "a-0.1", 0.83);
        assertEquals(note, Note.parse(note.format().trim()));
        assertNull(Note.parse("delivered\ta"));
        assertNull(Note.parse("wonder\ta\t1"));
        assertNull(Note.parse("link\ta\t-1"));
        assertNull(Note.parse("link\ta\tNaN"));
    }

    @Property(tries = 1000, seed = "20261201")
    void arbitraryTextIsParsedWithoutException(@ForAll String text) {
        Note.parse(text);
        BoxLink.parseLoad(text);
    }
}
