package spanrill.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import spanrill.soak.Trial.Fault;

/** Discovery as one node sees it: server-sent events at an address that may move. */
final class DiscoveryStandIn {
    private static final Pattern LAST_ID = Pattern.compile("(?i)last-event-id:\\s*(\\d+)");
    private static final double COMMENT_MS = 1000;
    /** The old address closes its connections so long after a move, ms. */
    private static final double OLD_CLOSES_MS = 1500;

    private static final int MOST_REQUEST = 8192;

    private final Discovery discovery;
    private final int node;
    private final EventLoop loop;
    private final Timers timers;
    private final Set<Stream> streams = new LinkedHashSet<>();
    private Channel listening;
    private boolean mute;
    private int port;

    DiscoveryStandIn(Discovery discovery, int node, EventLoop loop, Timers timers) throws IOException {
        this.discovery = discovery;
        this.node = node;
        this.loop = loop;
        this.timers = timers;
        listening = Sockets.listen(loop, 0, Stream::new);
        port = Sockets.port(listening);
        timers.every(COMMENT_MS, () -> List.copyOf(streams).forEach(Stream::comment));
    }

    int port() {
        return port;
    }

    /** Tells each open stream what is new. */
    void push() {
        List.copyOf(streams).forEach(Stream::push);
    }

    void fault(Fault fault) {
        switch (fault.kind()) {
            case DISCOVERY_CUT -> List.copyOf(streams).forEach(Stream::cut);
            case DISCOVERY_FROZEN -> streams.forEach(Stream::freeze);
            case DISCOVERY_DOWN -> down(fault.lengthMs());
            case DISCOVERY_MUTE -> mute(fault.lengthMs());
            default -> throw new IllegalArgumentException("no fault of discovery: " + fault.kind());
        }
    }

    private void down(double lengthMs) {
        listening.close();
        List.copyOf(streams).forEach(Stream::close);
        timers.after(lengthMs, this::listenAgain);
    }

    private void listenAgain() {
        Sockets.bind(loop, port, Stream::new).addListener(bound -> {
            if (bound.isSuccess()) {
                listening = ((io.netty.channel.ChannelFuture) bound).channel();
            } else {
                timers.after(10, this::listenAgain);
            }
        });
    }

    private void mute(double lengthMs) {
        mute = true;
        streams.forEach(Stream::freeze);
        timers.after(lengthMs, () -> mute = false);
    }

    /** Moves to a new address; {@code moved} runs when that listens. */
    void move(Runnable moved) {
        Channel old = listening;
        List<Stream> before = List.copyOf(streams);
        Sockets.bind(loop, 0, Stream::new).addListener(bound -> {
            listening = ((io.netty.channel.ChannelFuture) bound).channel();
            port = Sockets.port(listening);
            old.close();
            before.forEach(Stream::freeze);
            timers.after(OLD_CLOSES_MS, () -> before.forEach(Stream::close));
            moved.run();
        });
    }

    void stop() {
        listening.close();
        List.copyOf(streams).forEach(Stream::close);
    }

    /** One connection that asks. */
    private final class Stream extends ChannelInboundHandlerAdapter {
        private final StringBuilder request = new StringBuilder();
        private Channel channel;
        private boolean asked;
        private boolean frozen;
        private int told;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            streams.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object part) {
            ByteBuf in = (ByteBuf) part;
            if (request.length() < MOST_REQUEST) {
                request.append(in.toString(StandardCharsets.US_ASCII));
            }
            in.release();
            if (!asked && request.indexOf("\r\n\r\n") >= 0) {
                asked = true;
                frozen |= mute;
                Matcher id = LAST_ID.matcher(request);
                told = id.find() ? Integer.parseInt(id.group(1)) : 0;
                write("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n: hello\n\n");
                push();
            }
        }

        void push() {
            while (asked && !frozen && told < discovery.last()) {
                told++;
                write("id: " + told + "\ndata: " + discovery.event(told, node) + "\n\n");
            }
        }

        void comment() {
            if (asked) {
                write(": \n\n");
            }
        }

        void freeze() {
            frozen = true;
        }

        /** Ends in the middle of an event. */
        void cut() {
            if (asked) {
                write("id: " + (told + 1) + "\ndata: {\"no\":" + (told + 1) + ",\"ros");
            }
            close();
        }

        void close() {
            channel.close();
        }

        private void write(String text) {
            if (!frozen) {
                channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            streams.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
