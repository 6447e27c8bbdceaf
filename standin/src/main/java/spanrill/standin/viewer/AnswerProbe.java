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
    public enum Outcome {
        /** It plays. */
        PLAYS,
        /** Told to come again: refused, or no room. */
        RETRY_LATER,
        /** Any other answer. */
        OTHER,
        /** No connection, or it was lost. */
        NO_CONNECTION,
        /** No answer within the patience. */
        TIMED_OUT
    }

    /** Hears what came of it, once, on the loop. */
    public interface Listener {
        /** What came. */
        void onOutcome(AnswerProbe.Outcome what);
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
        probe.patience =
                loop.schedule(() -> probe.end(AnswerProbe.Outcome.TIMED_OUT), patienceMs, TimeUnit.MILLISECONDS);
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
                    ResponseReader link = new ResponseReader(false, () -> {}, (head, all) -> {
                        String answer = head == null ? null : head.headers().get("spanrill-answer");
                        probe.end(
                                head == null
                                        ? AnswerProbe.Outcome.NO_CONNECTION
                                        : "plays".equals(answer)
                                                ? AnswerProbe.Outcome.PLAYS
                                                : head.status() == 503
                                                        ? AnswerProbe.Outcome.RETRY_LATER
                                                        : AnswerProbe.Outcome.OTHER);
                    });
                    if (!ResponseReader.get(opened, target, link)) {
                        probe.end(AnswerProbe.Outcome.NO_CONNECTION);
                    }
                },
                cause -> probe.end(AnswerProbe.Outcome.NO_CONNECTION));
    }

    private void end(AnswerProbe.Outcome what) {
        if (!over) {
            over = true;
            patience.cancel(false);
            if (connection != null) {
                connection.abort();
            }
            listener.onOutcome(what);
        }
    }
}
