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

/** A client that sends what can't be used; it is owed a refusal, an error or a close within 3 s. */
final class BadClient extends ChannelInboundHandlerAdapter {
    /** What it sends. */
    enum Habit {
        NOISE,
        UNKNOWN_CLASSES,
        HALF_A_MESSAGE,
        SILENCE,
        WITHDRAWS_UNKNOWN,
        LONG_MESSAGES,
        BAD_FIGURES,
        BYTE_BY_BYTE,
        HALF_THEN_CLOSE,
        SAME_AGAIN
    }

    private static final double OWED_MS = 3000;
    private static final int HUNDREDS = 300;
    private static final int LARGE_BYTES = 12_000;

    private final Habit habit;
    private final NodeProcess node;
    private final EventLog log;
    private final MessageDecoder decoder = new MessageDecoder();
    private double connectedAt = Double.NaN;
    private boolean satisfied;

    private BadClient(Habit habit, NodeProcess node, EventLog log) {
        this.habit = habit;
        this.node = node;
        this.log = log;
    }

    /** Connects one to a node. */
    static void send(Habit habit, NodeProcess node, EventLoop loop, EventLog log) {
        Sockets.connect(loop, node.address(), new BadClient(habit, node, log));
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        connectedAt = log.now();
        Channel channel = ctx.channel();
        misbehave(channel);
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (!satisfied) {
                                // A node that was killed or stopped meanwhile owes it nothing.
                                boolean owed =
                                        node.phase() == NodeProcess.Phase.READY && node.changedAt() < connectedAt;
                                log.add(EventKind.BAD_CLIENT_DONE, node.index(), habit.name(), owed ? 0 : 1);
                            }
                            channel.close();
                        },
                        (long) OWED_MS + 100,
                        TimeUnit.MILLISECONDS);
    }

    private void misbehave(Channel channel) {
        switch (habit) {
            case NOISE -> channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {0, 3, 1, 1, 1, 7, 7, 7}));
            case HALF_A_MESSAGE -> channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {0, 40, 1, 0}));
            case UNKNOWN_CLASSES -> many(channel, 1, i -> setUp(i, "no-such-class", "home:0;copies:1;top:2"));
            case BAD_FIGURES -> many(channel, 5, i -> setUp(i, "c0", "home:x;copies:-1;top:2"));
            case WITHDRAWS_UNKNOWN -> many(channel, 1, i -> new Message(MessageType.RELEASE, ~i).withCause(16));
            case LONG_MESSAGES ->
                many(channel, 1, i -> new Message(MessageType.NOTE, ~i).with(200, new byte[LARGE_BYTES]));
            case BYTE_BY_BYTE -> byteByByte(channel, 0);
            case HALF_THEN_CLOSE ->
                channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {0, 40, 1, 0, 0}))
                        .addListener(f -> channel.close());
            case SAME_AGAIN -> many(channel, HUNDREDS, i -> setUp(i, "no-such-class", "home:0;copies:1;top:2"));
            default -> {}
        }
    }

    private static Message setUp(long id, String className, String figures) {
        return new Message(MessageType.SET_UP, ~id)
                .with(Parameter.CLASS, className)
                .with(Parameter.WAIT, "1000")
                .with(Parameter.TITLE, "00000000000000aa")
                .with(Parameter.ATTRIBUTES, figures + ";viewer:00000000000000bb")
                .with(Parameter.DESCRIPTION, "v");
    }

    private static void many(Channel channel, int share, java.util.function.LongFunction<Message> each) {
        ByteBuf out = Unpooled.buffer();
        for (int i = 1; i <= HUNDREDS / share; i++) {
            each.apply(i).write(out);
        }
        channel.writeAndFlush(out);
    }

    /** A message that is never complete, a byte each 50 ms. */
    private static void byteByByte(Channel channel, int sent) {
        if (channel.isActive()) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {(byte) (sent == 1 ? 200 : 0)}));
            channel.eventLoop().schedule(() -> byteByByte(channel, sent + 1), 50, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
        ByteBuf in = (ByteBuf) part;
        try {
            decoder.feed(in, message -> {
                satisfied();
                if (habit == Habit.SAME_AGAIN && message.type() == MessageType.RELEASE) {
                    many(ctx.channel(), HUNDREDS, i -> setUp(i, "no-such-class", "home:0;copies:1;top:2"));
                }
                if (message.type() == MessageType.ANSWER) {
                    log.add(EventKind.BAD_CLIENT_SERVED, node.index(), habit.name(), 0);
                }
                return true;
            });
        } catch (MalformedFrameException fault) {
            ctx.close();
        } finally {
            in.release();
        }
    }

    private void satisfied() {
        if (!satisfied) {
            satisfied = true;
            log.add(EventKind.BAD_CLIENT_DONE, node.index(), habit.name(), log.now() - connectedAt <= OWED_MS ? 1 : 0);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        decoder.release();
        satisfied();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
