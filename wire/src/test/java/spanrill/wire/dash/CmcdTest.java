package spanrill.wire.dash;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CmcdTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "bl=2100,mtp=48100,sid=\"6e2f\"|2100|48100|false|false|6e2f",
                "bs,su,bl=0|0|-1|true|true|",
                "bs=false,br=3200|-1|-1|false|false|",
                "nor=\"a,bl=7\",bl=5|5|-1|false|false|",
                "bl=x,mtp=-4,sid=abc|-1|-1|false|false|",
                ",,=,|-1|-1|false|false|"
            })
    void parsesKnownKeysAndIgnoresMalformedValues(
            String text, long buffer, long throughput, boolean starved, boolean startup, String session) {
        assertEquals(new Cmcd(buffer, throughput, starved, startup, session), Cmcd.parse(text));
    }

    @Property(tries = 2000, seed = "20261201")
    void arbitraryTextIsParsedWithoutException(@ForAll String text) {
        Cmcd.parse(text);
        Cmcd.decodeQueryParameter(text);
    }
}
