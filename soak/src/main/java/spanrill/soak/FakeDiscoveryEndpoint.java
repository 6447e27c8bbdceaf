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

/** Simulated discovery service of one node: server-sent events on a port that may change. */
final class FakeDiscoveryEndpoint {
    private static final Pattern LAST_ID = Pattern.compile("(?i)last-event-id:\\s*(\\d+)");
    private static final double COMMENT_PERIOD_MS = 1000;
    /** Time after a change of port until the streams on the old port are closed, ms. */
    private static final double OLD_STREAM_CLOSE_DELAY_MS = 1500;

    private static final int MAX_REQUEST_CHARS = 8192;
    /** Time until a slow discovery answers a request, ms. */
    private static final double SLOW_RESPONSE_MS = 2500;

    private final FakeDiscovery discovery;
    private final int nodeIndex;
    private final EventLoop loop;
    private final Timers timers;
    private final Set<EventStream> streams = new LinkedHashSet<>();
    private FaultyListener listener;
    private boolean mute;
    private boolean slow;

    FakeDiscoveryEndpoint(FakeDiscovery discovery, int nodeIndex, EventLoop loop, Timers timers) throws IOException {
        this.discovery = discovery;
        this.nodeIndex = nodeIndex;
        this.loop = loop;
        this.timers = timers;
        listener = FaultyListener.open(loop, timers, EventStream::new);
        timers.scheduleRepeating(COMMENT_PERIOD_MS, () -> List.copyOf(streams).forEach(EventStream::sendComment));
    }

    int port() {
        return listener.port();
    }

    /** Sends the events that are new to each open stream. */
    void sendNewEvents() {
        List.copyOf(streams).forEach(EventStream::sendNewEvents);
    }

    void injectFault(Fault fault) {
        switch (fault.kind()) {
            case DISCOVERY_CUT -> List.copyOf(streams).forEach(EventStream::truncateAndClose);
            case DISCOVERY_FROZEN -> streams.forEach(EventStream::stopSending);
            case DISCOVERY_DOWN -> takeDown(fault.lengthMs());
            case DISCOVERY_MUTE -> muteFor(fault.lengthMs());
            case DISCOVERY_SLOW -> slowDownFor(fault.lengthMs());
            case DISCOVERY_UNREACHABLE -> makeUnreachable(fault.lengthMs());
            default -> throw new IllegalArgumentException("not a fault of discovery: " + fault.kind());
        }
    }

    private void takeDown(double durationMs) {
        setModeFor(FaultyListener.Mode.REFUSES, durationMs);
        List.copyOf(streams).forEach(EventStream::close);
    }

    private void makeUnreachable(double durationMs) {
        setModeFor(FaultyListener.Mode.UNREACHABLE, durationMs);
        streams.forEach(EventStream::stopSending);
    }

    private void setModeFor(FaultyListener.Mode mode, double durationMs) {
        FaultyListener affected = listener;
        affected.setMode(mode);
        timers.schedule(durationMs, () -> affected.setMode(FaultyListener.Mode.ACCEPTS));
    }

    private void slowDownFor(double durationMs) {
        slow = true;
        List.copyOf(streams).forEach(EventStream::close);
        timers.schedule(durationMs, () -> slow = false);
    }

    private void muteFor(double durationMs) {
        mute = true;
        streams.forEach(EventStream::stopSending);
        timers.schedule(durationMs, () -> mute = false);
    }

    /** Moves to a new port; {@code onMoved} runs once the endpoint listens there. */
    void moveToNewPort(Runnable onMoved) {
        FaultyListener oldListener = listener;
        List<EventStream> oldStreams = List.copyOf(streams);
        FaultyListener.open(loop, timers, EventStream::new, newListener -> {
            listener = newListener;
            oldListener.setMode(FaultyListener.Mode.STOPPED);
            oldStreams.forEach(EventStream::stopSending);
            timers.schedule(OLD_STREAM_CLOSE_DELAY_MS, () -> oldStreams.forEach(EventStream::close));
            onMoved.run();
        });
    }

    void stop() {
        listener.setMode(FaultyListener.Mode.STOPPED);
        List.copyOf(streams).forEach(EventStream::close);
    }

    /** A connection of the node, with its request and the stream of events in response. */
    private final class EventStream extends ChannelInboundHandlerAdapter {
        private final StringBuilder request = new StringBuilder();
        private Channel channel;
        private boolean requestReceived;
        private boolean responded;
        private boolean stopped;
        private int lastSentEvent;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            streams.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object data) {
            ByteBuf in = (ByteBuf) data;
            if (request.length() < MAX_REQUEST_CHARS) {
                request.append(in.toString(StandardCharsets.US_ASCII));
            }
            in.release();
            if (!requestReceived && request.indexOf("\r\n\r\n") >= 0) {
                requestReceived = true;
                stopped |= mute;
                Matcher lastEventId = LAST_ID.matcher(request);
                lastSentEvent = lastEventId.find() ? Integer.parseInt(lastEventId.group(1)) : 0;
                timers.schedule(slow ? SLOW_RESPONSE_MS : 0, this::respond);
            }
        }

        private void respond() {
            if (channel.isActive()) {
                responded = true;
                write("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n: hello\n\n");
                sendNewEvents();
            }
        }

        void sendNewEvents() {
            while (responded && !stopped && lastSentEvent < discovery.lastEventNumber()) {
                lastSentEvent++;
                write("id: " + lastSentEvent + "\ndata: " + discovery.eventJson(lastSentEvent, nodeIndex) + "\n\n");
            }
        }

        void sendComment() {
            if (responded) {
                write(": \n\n");
            }
        }

        void stopSending() {
            stopped = true;
        }

        /** Writes the beginning of an event and closes the connection. */
        void truncateAndClose() {
            if (responded) {
                write("id: " + (lastSentEvent + 1) + "\ndata: {\"no\":" + (lastSentEvent + 1) + ",\"ros");
            }
            close();
        }

        void close() {
            channel.close();
        }

        private void write(String text) {
            if (!stopped) {
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
