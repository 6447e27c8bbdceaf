package spanrill.wire.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MessageDecoderTest {
    private static byte[] bytes(Message... messages) {
        ByteBuf out = Unpooled.buffer();
        Arrays.stream(messages).forEach(message -> message.write(out));
        return ByteBufUtil.getBytes(out);
    }

    private static String text(Message message) {
        ByteBuf out = Unpooled.buffer();
        message.write(out);
        return ByteBufUtil.hexDump(out);
    }

    /** What the decoder reads of a stream that is cut before each of the places. */
    private static List<String> read(byte[] stream, int... cuts) {
        MessageDecoder decoder = new MessageDecoder();
        List<String> read = new ArrayList<>();
        int from = 0;
        for (int i = 0; i <= cuts.length; i++) {
            int to = i < cuts.length ? Math.max(from, cuts[i]) : stream.length;
            decoder.feed(Unpooled.wrappedBuffer(stream, from, to - from), message -> read.add(text(message)));
            from = to;
        }
        decoder.release();
        return read;
    }

    private static Message setUp(long session) {
        return new Message(MessageType.SET_UP, session)
                .with(Parameter.CLASS, "paid")
                .with(Parameter.WAIT, "1500")
                .with(Parameter.DESCRIPTION, new byte[] {0, -1, 7});
    }

    /** The page's form, byte by byte. */
    @Test
    void writesTheFormOfThePlatform() {
        assertEquals(
                "000d" + "0c" + "7f3a9c21e0b4d655" + "0f" + "0001" + "22",
                text(new Message(MessageType.RELEASE, 0x7f3a9c21e0b4d655L).withCause(Cause.NO_CIRCUIT)));
    }

    @Test
    void splitsAtEveryTwoPlacesChangeNothing() {
        byte[] stream = bytes(setUp(1), new Message(MessageType.TEST, 0).withCause(0), setUp(2));
        List<String> whole = read(stream);
        assertEquals(3, whole.size());
        for (int a = 0; a <= stream.length; a++) {
            for (int b = a; b <= stream.length; b++) {
                assertEquals(whole, read(stream, a, b));
            }
        }
    }

    @Test
    void truncationAtEveryByteYieldsOnlyWholeMessages() {
        byte[] one = bytes(setUp(1));
        byte[] stream = bytes(setUp(1), setUp(2));
        for (int n = 0; n < stream.length; n++) {
            MessageDecoder decoder = new MessageDecoder();
            List<Message> read = new ArrayList<>();
            decoder.feed(Unpooled.wrappedBuffer(stream, 0, n), read::add);
            assertEquals(n / one.length, read.size());
            assertEquals(n % one.length != 0, decoder.hasPartialMessage());
            decoder.release();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "0000",
                "0008",
                "4001",
                "ffff",
                "0009" + "01" + "0000000000000001" + "0000",
                "000b" + "01" + "0000000000000001" + "0100",
                "000d" + "01" + "0000000000000001" + "0100020a",
                "000d" + "01" + "0000000000000001" + "01ffff0a"
            })
    void whatCanNotBeFramedIsAFault(String hex) {
        byte[] stream = ByteBufUtil.decodeHexDump(hex);
        assertThrows(MalformedFrameException.class, () -> read(stream));
    }

    @Test
    void unknownTypesAndParametersAreHandedOn() {
        List<Message> read = new ArrayList<>();
        new MessageDecoder()
                .feed(
                        Unpooled.wrappedBuffer(
                                ByteBufUtil.decodeHexDump("000d" + "63" + "0000000000000001" + "c800010a")),
                        read::add);
        assertEquals(MessageType.UNKNOWN, read.get(0).type());
        assertTrue(read.get(0).has(0xc8));
    }

    @Test
    void theLongestMessageIsReadAndNothingLonger() {
        Message longest =
                new Message(MessageType.ANSWER, 1).with(Parameter.DESCRIPTION, new byte[Message.MAX_BYTES - 9 - 3]);
        assertEquals(1, read(bytes(longest), 5, 700, 9000).size());
        assertThrows(
                IllegalStateException.class,
                () -> longest.with(200, new byte[0]).write(Unpooled.buffer()));
    }

    /** A sender who states 16 KiB and sends a byte at a time must not choose our memory. */
    @Test
    void keepsNoMoreThanWhatCame() {
        MessageDecoder decoder = new MessageDecoder();
        ByteBuf in = Unpooled.wrappedBuffer(new byte[] {0x40, 0, 1, 2, 3});
        decoder.feed(in, message -> true);
        assertFalse(in.isReadable());
        assertTrue(decoder.hasPartialMessage());
        decoder.release();
        assertFalse(decoder.hasPartialMessage());
    }

    @Property(tries = 300, seed = "20261201")
    void roundTripsInAnyPieces(@ForAll @Size(max = 5) List<@IntRange(max = 400) Integer> sizes, @ForAll long seed) {
        Random random = new Random(seed);
        List<String> sent = new ArrayList<>();
        ByteBuf out = Unpooled.buffer();
        for (int size : sizes) {
            byte[] value = new byte[size];
            random.nextBytes(value);
            Message message = new Message(MessageType.NOTE, random.nextLong())
                    .with(random.nextInt(256), value)
                    .with(random.nextInt(256), new byte[random.nextInt(3)]);
            message.write(out);
            sent.add(text(message));
        }
        byte[] stream = ByteBufUtil.getBytes(out);
        int[] cuts = random.ints(4, 0, stream.length + 1).sorted().toArray();
        assertEquals(sent, read(stream, cuts));
    }

    /** The fuzz target: any bytes are read, or are a fault; nothing else happens. */
    @Property(tries = 2000, seed = "20261201")
    void anyBytesAreMessagesOrAFault(
            @ForAll @Size(max = 80) byte[] noise, @ForAll @IntRange(max = 80) int cut, @ForAll boolean framed) {
        byte[] stream = noise.clone();
        if (framed && stream.length > 11) {
            stream[0] = 0;
            stream[1] = (byte) (stream.length - 2);
        }
        List<String> whole = new ArrayList<>();
        List<String> split = new ArrayList<>();
        String a = outcome(stream, whole);
        String b = outcome(stream, split, Math.min(cut, stream.length));
        assertEquals(a, b);
        assertEquals(whole, split);
    }

    private static String outcome(byte[] stream, List<String> read, int... cuts) {
        try {
            read.addAll(read(stream, cuts));
            return "read";
        } catch (MalformedFrameException fault) {
            return "fault";
        }
    }
}
