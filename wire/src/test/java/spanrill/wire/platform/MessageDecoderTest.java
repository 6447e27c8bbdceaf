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
    private static byte[] encode(Message... messages) {
        ByteBuf out = Unpooled.buffer();
        Arrays.stream(messages).forEach(message -> message.write(out));
        return ByteBufUtil.getBytes(out);
    }

    private static String encodeHex(Message message) {
        ByteBuf out = Unpooled.buffer();
        message.write(out);
        return ByteBufUtil.hexDump(out);
    }

    /** Returns the messages that the decoder reads when the stream is split at the given offsets. */
    private static List<String> decode(byte[] stream, int... offsets) {
        MessageDecoder decoder = new MessageDecoder();
        List<String> read = new ArrayList<>();
        int start = 0;
        for (int i = 0; i <= offsets.length; i++) {
            int end = i < offsets.length ? Math.max(start, offsets[i]) : stream.length;
            decoder.feed(Unpooled.wrappedBuffer(stream, start, end - start), message -> read.add(encodeHex(message)));
            start = end;
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

    /** The encoding must match the platform's specification byte by byte. */
    @Test
    void encodesMessagesAsSpecified() {
        assertEquals(
                "000d" + "0c" + "7f3a9c21e0b4d655" + "0f" + "0001" + "22",
                encodeHex(new Message(MessageType.RELEASE, 0x7f3a9c21e0b4d655L).withCause(Cause.NO_CIRCUIT)));
    }

    @Test
    void decodesTheSameMessagesWhateverTheFragments() {
        byte[] stream = encode(setUp(1), new Message(MessageType.TEST, 0).withCause(0), setUp(2));
        List<String> unsplit = decode(stream);
        assertEquals(3, unsplit.size());
        for (int firstSplit = 0; firstSplit <= stream.length; firstSplit++) {
            for (int secondSplit = firstSplit; secondSplit <= stream.length; secondSplit++) {
                assertEquals(unsplit, decode(stream, firstSplit, secondSplit));
            }
        }
    }

    @Test
    void truncatedStreamYieldsOnlyCompleteMessages() {
        byte[] firstMessage = encode(setUp(1));
        byte[] stream = encode(setUp(1), setUp(2));
        for (int length = 0; length < stream.length; length++) {
            MessageDecoder decoder = new MessageDecoder();
            List<Message> read = new ArrayList<>();
            decoder.feed(Unpooled.wrappedBuffer(stream, 0, length), read::add);
            assertEquals(length / firstMessage.length, read.size());
            assertEquals(length % firstMessage.length != 0, decoder.hasPartialMessage());
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
    void malformedFrameIsRejected(String hex) {
        byte[] stream = ByteBufUtil.decodeHexDump(hex);
        assertThrows(MalformedFrameException.class, () -> decode(stream));
    }

    @Test
    void unknownTypesAndParametersAreDelivered() {
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
    void messageOfMaximumSizeIsDecodedAndALongerOneIsRejected() {
        Message longest =
                new Message(MessageType.ANSWER, 1).with(Parameter.DESCRIPTION, new byte[Message.MAX_BYTES - 9 - 3]);
        assertEquals(1, decode(encode(longest), 5, 700, 9000).size());
        assertThrows(
                IllegalStateException.class,
                () -> longest.with(200, new byte[0]).write(Unpooled.buffer()));
    }

    /** Guards against a sender that declares 16 KiB and sends byte by byte to make the decoder allocate memory. */
    @Test
    void buffersOnlyReceivedBytesOfAnIncompleteMessage() {
        MessageDecoder decoder = new MessageDecoder();
        ByteBuf in = Unpooled.wrappedBuffer(new byte[] {0x40, 0, 1, 2, 3});
        decoder.feed(in, message -> true);
        assertFalse(in.isReadable());
        assertTrue(decoder.hasPartialMessage());
        decoder.release();
        assertFalse(decoder.hasPartialMessage());
    }

    @Property(tries = 300, seed = "20261201")
    void messagesSurviveARoundTripInFragments(
            @ForAll @Size(max = 5) List<@IntRange(max = 400) Integer> sizes, @ForAll long seed) {
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
            sent.add(encodeHex(message));
        }
        byte[] stream = ByteBufUtil.getBytes(out);
        int[] offsets = random.ints(4, 0, stream.length + 1).sorted().toArray();
        assertEquals(sent, decode(stream, offsets));
    }

    /** Fuzz test: arbitrary bytes are decoded or rejected, independently of the fragments. */
    @Property(tries = 2000, seed = "20261201")
    void arbitraryBytesAreDecodedOrRejected(
            @ForAll @Size(max = 80) byte[] randomBytes,
            @ForAll @IntRange(max = 80) int offset,
            @ForAll boolean framed) {
        byte[] stream = randomBytes.clone();
        if (framed && stream.length > 11) {
            stream[0] = 0;
            stream[1] = (byte) (stream.length - 2);
        }
        List<String> unsplit = new ArrayList<>();
        List<String> split = new ArrayList<>();
        String unsplitOutcome = outcome(stream, unsplit);
        String splitOutcome = outcome(stream, split, Math.min(offset, stream.length));
        assertEquals(unsplitOutcome, splitOutcome);
        assertEquals(unsplit, split);
    }

    private static String outcome(byte[] stream, List<String> read, int... offsets) {
        try {
            read.addAll(decode(stream, offsets));
            return "decoded";
        } catch (MalformedFrameException e) {
            return "rejected";
        }
    }
}
