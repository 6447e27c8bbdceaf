package spanrill.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import spanrill.wire.platform.MalformedFrameException;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageDecoder;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** A client that sends invalid input. Its node must refuse the input or close the connection within 3 s. */
final class BadClient extends ChannelInboundHandlerAdapter {
    /** Kinds of invalid input. */
    enum Scenario {
        /** Bytes that are not a message. */
        NOISE,
        /** Set-ups of a service class that is not configured. */
        UNKNOWN_CLASSES,
        /** The beginning of a message, then nothing. */
        HALF_A_MESSAGE,
        /** Nothing at all. */
        SILENCE,
        /** Releases of sessions that do not exist. */
        WITHDRAWS_UNKNOWN,
        /** Messages with a parameter of 12 000 bytes. */
        LONG_MESSAGES,
        /** Set-ups with attributes that are not valid numbers. */
        BAD_FIGURES,
        /** A message that is never complete, one byte each 50 ms. */
        BYTE_BY_BYTE,
        /** The beginning of a message, then the end of the connection. */
        HALF_THEN_CLOSE,
        /** One invalid set-up that is sent again after each refusal. */
        SAME_AGAIN
    }

    private static final double RESPONSE_DEADLINE_MS = 3000;
    /** Number of messages in a batch; some scenarios send only a fraction of this number. */
    private static final int BATCH_MESSAGES = 300;

    private static final int LARGE_PARAMETER_BYTES = 12_000;

    private final Scenario scenario;
    private final NodeProcess node;
    private final EventLog log;
    private final MessageDecoder decoder = new MessageDecoder();
    private double connectedAtMs = Double.NaN;
    private boolean responded;

    private BadClient(Scenario scenario, NodeProcess node, EventLog log) {
        this.scenario = scenario;
        this.node = node;
        this.log = log;
    }

    /** Connects a bad client to a node. */
    static void connect(Scenario scenario, NodeProcess node, EventLoop loop, EventLog log) {
        Sockets.connect(loop, node.address(), new BadClient(scenario, node, log));
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        connectedAtMs = log.elapsedMs();
        Channel channel = ctx.channel();
        sendInput(channel);
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (!responded) {
                                // No response is due from a node that was killed or stopped in the meantime.
                                boolean responseDue =
                                        node.phase() == NodeProcess.Phase.READY && node.phaseSinceMs() < connectedAtMs;
                                log.add(EventKind.BAD_CLIENT_DONE, node.index(), scenario.name(), responseDue ? 0 : 1);
                            }
                            channel.close();
                        },
                        (long) RESPONSE_DEADLINE_MS + 100,
                        TimeUnit.MILLISECONDS);
    }

    private void sendInput(Channel channel) {
        switch (scenario) {
            case NOISE -> channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {0, 3, 1, 1, 1, 7, 7, 7}));
            case HALF_A_MESSAGE -> channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {0, 40, 1, 0}));
            case UNKNOWN_CLASSES -> sendBatch(channel, 1, i -> setUp(i, "no-such-class", "home:0;copies:1;top:2"));
            case BAD_FIGURES -> sendBatch(channel, 5, i -> setUp(i, "c0", "home:x;copies:-1;top:2"));
            case WITHDRAWS_UNKNOWN -> sendBatch(channel, 1, i -> new Message(MessageType.RELEASE, ~i).withCause(16));
            case LONG_MESSAGES ->
                sendBatch(
                        channel, 1, i -> new Message(MessageType.NOTE, ~i).with(200, new byte[LARGE_PARAMETER_BYTES]));
            case BYTE_BY_BYTE -> sendByteByByte(channel, 0);
            case HALF_THEN_CLOSE ->
                channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {0, 40, 1, 0, 0}))
                        .addListener(f -> channel.close());
            case SAME_AGAIN ->
                sendBatch(channel, BATCH_MESSAGES, i -> setUp(i, "no-such-class", "home:0;copies:1;top:2"));
            default -> {}
        }
    }

    private static Message setUp(long id, String className, String attributes) {
        return new Message(MessageType.SET_UP, ~id)
                .with(Parameter.CLASS, className)
                .with(Parameter.WAIT, "1000")
                .with(Parameter.TITLE, "00000000000000aa")
                .with(Parameter.ATTRIBUTES, attributes + ";viewer:00000000000000bb")
                .with(Parameter.DESCRIPTION, "v");
    }

    private static void sendBatch(
            Channel channel, int divisor, java.util.function.LongFunction<Message> messageFactory) {
        ByteBuf batch = Unpooled.buffer();
        for (int i = 1; i <= BATCH_MESSAGES / divisor; i++) {
            messageFactory.apply(i).write(batch);
        }
        channel.writeAndFlush(batch);
    }

    /** Sends one byte each 50 ms. The second byte announces a message longer than all bytes sent. */
    private static void sendByteByByte(Channel channel, int bytesSent) {
        if (channel.isActive()) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {(byte) (bytesSent == 1 ? 200 : 0)}));
            channel.eventLoop().schedule(() -> sendByteByByte(channel, bytesSent + 1), 50, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object data) {
        ByteBuf in = (ByteBuf) data;
        try {
            decoder.feed(in, message -> {
                recordResponse();
                if (scenario == Scenario.SAME_AGAIN && message.type() == MessageType.RELEASE) {
                    sendBatch(ctx.channel(), BATCH_MESSAGES, i -> setUp(i, "no-such-class", "home:0;copies:1;top:2"));
                }
                if (message.type() == MessageType.ANSWER) {
                    log.add(EventKind.BAD_CLIENT_SERVED, node.index(), scenario.name(), 0);
                }
                return true;
            });
        } catch (MalformedFrameException fault) {
            ctx.close();
        } finally {
            in.release();
        }
    }

    private void recordResponse() {
        if (!responded) {
            responded = true;
            log.add(
                    EventKind.BAD_CLIENT_DONE,
                    node.index(),
                    scenario.name(),
                    log.elapsedMs() - connectedAtMs <= RESPONSE_DEADLINE_MS ? 1 : 0);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        decoder.release();
        recordResponse();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
