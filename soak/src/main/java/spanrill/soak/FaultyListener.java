package spanrill.soak;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** A listener on a fixed port that can refuse connections, or leave them unestablished. */
final class FaultyListener {
    /** What becomes of new connections; open ones are not affected. */
    enum Mode {
        /** They are accepted. */
        ACCEPTS,
        /** They are refused. */
        REFUSES,
        /** They are never established, as if the machine had vanished. */
        UNREACHABLE,
        /** The listener is closed for good. */
        STOPPED
    }

    /** Time after which a port is bound again that its previous socket still occupies, ms. */
    private static final double REBIND_DELAY_MS = 5;

    private final EventLoop loop;
    private final Timers timers;
    private final Supplier<ChannelHandler> handlers;
    private final int port;
    private Channel listener;
    private Closeable fullBacklog;
    private Mode mode = Mode.ACCEPTS;

    private FaultyListener(EventLoop loop, Timers timers, Supplier<ChannelHandler> handlers, Channel listener) {
        this.loop = loop;
        this.timers = timers;
        this.handlers = handlers;
        this.listener = listener;
        port = Sockets.localPort(listener);
    }

    /** Listens on a port that the system chooses. Must not be called on the loop. */
    static FaultyListener open(EventLoop loop, Timers timers, Supplier<ChannelHandler> handlers) throws IOException {
        return new FaultyListener(loop, timers, handlers, Sockets.listen(loop, 0, handlers));
    }

    /** Listens on a port that the system chooses, and passes the listener on once it listens. */
    static void open(
            EventLoop loop, Timers timers, Supplier<ChannelHandler> handlers, Consumer<FaultyListener> onListening) {
        Sockets.bind(loop, 0, handlers).addListener(bound -> {
            if (bound.isSuccess()) {
                onListening.accept(new FaultyListener(loop, timers, handlers, ((ChannelFuture) bound).channel()));
            } else {
                timers.schedule(REBIND_DELAY_MS, () -> open(loop, timers, handlers, onListening));
            }
        });
    }

    int port() {
        return port;
    }

    /** Changes what becomes of new connections; a listener that is stopped stays so. */
    void setMode(Mode newMode) {
        if (mode == Mode.STOPPED) {
            return;
        }
        mode = newMode;
        close(fullBacklog);
        fullBacklog = null;
        if (mode != Mode.ACCEPTS && listener != null) {
            Channel closing = listener;
            listener = null;
            closing.close().addListener(closed -> openSocket());
        } else {
            openSocket();
        }
    }

    /** Opens the socket that the mode asks for; tries again while the port is in use. */
    private void openSocket() {
        if (listener != null || fullBacklog != null) {
            return;
        }
        if (mode == Mode.UNREACHABLE) {
            try {
                fullBacklog = Sockets.listenWithFullBacklog(port);
            } catch (IOException e) {
                timers.schedule(REBIND_DELAY_MS, this::openSocket);
            }
        } else if (mode == Mode.ACCEPTS) {
            Sockets.bind(loop, port, handlers).addListener(bound -> onBound((ChannelFuture) bound));
        }
    }

    private void onBound(ChannelFuture bound) {
        if (!bound.isSuccess()) {
            timers.schedule(REBIND_DELAY_MS, this::openSocket);
        } else if (mode != Mode.ACCEPTS || listener != null) {
            bound.channel().close().addListener(closed -> openSocket());
        } else {
            listener = bound.channel();
        }
    }

    private static void close(Closeable socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
