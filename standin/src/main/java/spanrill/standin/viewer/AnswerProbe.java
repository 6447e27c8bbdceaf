package spanrill.standin.viewer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;

/** Asks for one session and tells what the answer was; the connection is closed then. For measuring. */
public final class AnswerProbe {
    /** What came of it. */
    public enum Came {
        /** It plays. */
        PLAYS,
        /** Told to come again: refused, or no room. */
        TOLD_TO_WAIT,
        /** Any other answer. */
        OTHER,
        /** No connection, or it was lost. */
        NO_CONNECTION,
        /** No answer within the patience. */
        NONE
    }

    /** Hears what came of it, once, on the loop. */
    public interface Listener {
        /** What came. */
        void came(Came what);
    }

    private final Listener listener;
    private HttpClientConnection connection;
    private ScheduledFuture<?> patience;
    private boolean over;

    private AnswerProbe(Listener listener) {
        this.listener = listener;
    }

    /** Asks, and waits so long. */
    public static void ask(EventLoop loop, InetSocketAddress front, String target, long patienceMs, Listener listener) {
        AnswerProbe probe = new AnswerProbe(listener);
        probe.patience = loop.schedule(() -> probe.end(Came.NONE), patienceMs, TimeUnit.MILLISECONDS);
        HttpClientConnection.open(
                loop,
                front,
                (int) patienceMs,
                HttpLimits.CLIENT,
                opened -> {
                    probe.connection = opened;
                    if (probe.over) {
                        opened.abort();
                        return;
                    }
                    ClientLink link = new ClientLink(false, () -> {}, (head, all) -> {
                        String answer = head == null ? null : head.headers().get("spanrill-answer");
                        probe.end(
                                head == null
                                        ? Came.NO_CONNECTION
                                        : "plays".equals(answer)
                                                ? Came.PLAYS
                                                : head.status() == 503 ? Came.TOLD_TO_WAIT : Came.OTHER);
                    });
                    if (!ClientLink.get(opened, target, link)) {
                        probe.end(Came.NO_CONNECTION);
                    }
                },
                cause -> probe.end(Came.NO_CONNECTION));
    }

    private void end(Came what) {
        if (!over) {
            over = true;
            patience.cancel(false);
            if (connection != null) {
                connection.abort();
            }
            listener.came(what);
        }
    }
}
