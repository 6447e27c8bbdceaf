package spanrill.node.viewer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import spanrill.decisions.ViewerPatience;
import spanrill.decisions.ViewerRoom;
import spanrill.decisions.ViewerRoom.Brought;
import spanrill.loop.Clock;
import spanrill.node.session.End;
import spanrill.node.session.SessionHost;
import spanrill.node.session.ViewerLink;
import spanrill.wire.platform.Cause;
import spanrill.wire.platform.FieldFault;
import spanrill.wire.platform.FrameFault;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageDecoder;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;
import spanrill.wire.platform.SetUp;

/** One connection of viewers: many sessions, each message checked before the sessions see it. */
final class ViewerConnection extends ChannelInboundHandlerAdapter implements ViewerLink {
    // What was written before a close has this long to go out.
    private static final long LINGER_MS = 500;

    private final ViewerListener listener;
    private final SessionHost host;
    private final boolean retryAfter;
    private final MessageDecoder decoder = new MessageDecoder();
    private final Set<Long> waiting = new LinkedHashSet<>();
    private final double acceptedAt = Clock.ticks();
    private double usefulAt = acceptedAt;
    private int useless;
    private int standing;
    /** Something useful came on it: a set-up that was served, or a test. */
    private boolean proven;
    /** A viewer was served on it: not so where only the platform tests. */
    private boolean served;
    private boolean over;
    private Channel channel;

    ViewerConnection(ViewerListener listener, SessionHost host, boolean retryAfter) {
        this.listener = listener;
        this.host = host;
        this.retryAfter = retryAfter;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    // ---- what comes in

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
        ByteBuf in = (ByteBuf) part;
        listener.came();
        try {
            if (!over) {
                decoder.feed(in, this::message);
            }
        } catch (FrameFault fault) {
            close();
        } finally {
            in.release();
        }
    }

    private boolean message(Message message) {
        listener.came(this, message);
        boolean useful = switch (message.type()) {
            case SET_UP -> setUp(message);
            case RELEASE -> host.released(message.session());
            case RELEASE_HEARD -> host.heard(message.session());
            case TEST -> {
                proven = true;
                yield send(new Message(MessageType.TEST_RESULT, message.session()).withCause(1));
            }
            default -> false;
        };
        if (useful) {
            usefulAt = Clock.ticks();
        } else if (listener.patience().flooded(++useless)) {
            close();
        }
        return !over;
    }

    /** True when it could be used. */
    private boolean setUp(Message message) {
        SetUp setUp;
        try {
            setUp = SetUp.of(message);
        } catch (FieldFault fault) {
            return reject(message.session(), fault.releaseCause(), fault.getMessage());
        }
        boolean stands = setUp.figures().at() != null;
        if (host.knows(setUp.session())) {
            return stands || again(setUp);
        }
        if (!host.possible(setUp)) {
            return reject(setUp.session(), Cause.INVALID_CONTENTS, "not of these settings");
        }
        proven = true;
        if (stands) {
            served = true;
            host.standsAt(setUp, this);
            listener.good(this);
            return true;
        }
        if (host.withdrawnBefore(setUp.session())) {
            return reject(setUp.session(), Cause.TEMPORARY_FAILURE, "its viewer has withdrawn it");
        }
        double left = setUp.waitMs() - listener.unreadMs();
        if (left < 1) {
            // Its viewer has left: work on it would be for nobody.
            return reject(setUp.session(), Cause.TEMPORARY_FAILURE, "its time is up");
        }
        waiting.add(setUp.session());
        host.setUp(setUp, this, left);
        return true;
    }

    /** A set-up that can't be used: failed, and said why to whoever follows the trace. */
    private boolean reject(long session, int cause, String why) {
        listener.rejected(session, why);
        release(session, cause, 0);
        return false;
    }

    /** A set-up under a number that is in use. What the first one gets must not be spoilt by it. */
    private boolean again(SetUp setUp) {
        if (waiting.contains(setUp.session())) {
            close();
            return false;
        }
        return reject(setUp.session(), Cause.INVALID_REFERENCE, "the session is known");
    }

    @Override
    public String toString() {
        return channel == null ? "" : channel.id().asShortText();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        listener.over(this, "inactive");
        ended();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    private void ended() {
        if (!over) {
            over = true;
            decoder.drop();
            host.linkEnded(new ArrayList<>(waiting));
            waiting.clear();
        }
    }

    // ---- what goes out

    @Override
    public boolean open() {
        return !over && channel.isActive() && channel.isWritable();
    }

    @Override
    public void answer(long session, byte[] description) {
        waiting.remove(session);
        proven = true;
        served = true;
        send(new Message(MessageType.ANSWER, session).with(Parameter.DESCRIPTION, description));
        listener.good(this);
    }

    @Override
    public void withdrawn(long session) {
        waiting.remove(session);
    }

    @Override
    public void release(long session, End end, double stayAwayMs) {
        waiting.remove(session);
        release(session, switch (end) {
            case REFUSED -> Cause.CONGESTION;
            case FAILED, CUT -> Cause.TEMPORARY_FAILURE;
            case OVER -> Cause.NORMAL_CLEARING;
        }, end == End.REFUSED ? stayAwayMs : 0);
    }

    @Override
    public void standing(boolean more) {
        standing += more ? 1 : -1;
    }

    @Override
    public void move(long session) {
        send(new Message(MessageType.MOVE, session));
    }

    private void release(long session, int cause, double stayAwayMs) {
        listener.sent(this, session, cause);
        Message message = new Message(MessageType.RELEASE, session).withCause(cause);
        if (retryAfter && stayAwayMs >= 1) {
            message.with(Parameter.STAY_AWAY, Long.toString(Math.round(stayAwayMs)));
        }
        send(message);
    }

    private boolean send(Message message) {
        if (over || !channel.isActive()) {
            return false;
        }
        if (!channel.isWritable()) {
            // It reads nothing: what it is owed would pile up here.
            close();
            return false;
        }
        ByteBuf out = channel.alloc().heapBuffer(message.size());
        message.write(out);
        channel.writeAndFlush(out);
        return true;
    }

    // ---- its end

    /** How it stands where room is needed. */
    ViewerRoom.Held held(double now) {
        return new ViewerRoom.Held(waiting.size(), standing, served ? Brought.SERVICE
                : proven ? Brought.LITTLE : Brought.NOTHING, now - usefulAt);
    }

    boolean served() {
        return served;
    }

    double usefulAt() {
        return usefulAt;
    }

    /** True while something lies in buffers of this process. */
    boolean unsent() {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        return out != null && !out.isEmpty();
    }

    void look(double now) {
        if (!over && listener.patience().over(new ViewerPatience.View(now - acceptedAt, now - usefulAt,
                waiting.size(), standing, proven, decoder.within()))) {
            close();
        }
    }

    /** Closes it once what was written has gone out; set-ups open on it are given up. */
    void close() {
        listener.over(this, "closed here");
        ended();
        if (!channel.isWritable()) {
            // It reads nothing, so what was written would never go out, and an orderly close never come.
            channel.close();
            return;
        }
        channel.writeAndFlush(channel.alloc().heapBuffer(0)).addListener(ChannelFutureListener.CLOSE);
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }
}
