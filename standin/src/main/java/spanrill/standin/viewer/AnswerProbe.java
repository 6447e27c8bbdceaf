package spanrill.standin.viewer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.HttpLimits;

/** Requests one session, reports the outcome and closes the connection. For load measurements. */
public final class AnswerProbe {
    /** The outcome of a request. */
    public enum Outcome {
        /** The session plays. */
        PLAYS,
        /** Answered 503: refused, or the front has no capacity. */
        RETRY_LATER,
        /** Any other answer. */
        OTHER,
        /** The connection could not be opened, or was lost. */
        NO_CONNECTION,
        /** No answer arrived within the patience. */
        TIMED_OUT
    }

    /** Receives the outcome, once, on the loop. */
    public interface Listener {
        /** Called with the outcome. */
        void onOutcome(Outcome outcome);
    }

    private final Listener listener;
    private HttpClientConnection connection;
    private ScheduledFuture<?> timeout;
    private boolean ended;

    private AnswerProbe(Listener listener) {
        this.listener = listener;
    }

    /** Sends a request and waits at most {@code patienceMs} for its answer. */
    public static void ask(EventLoop loop, InetSocketAddress front, String target, long patienceMs, Listener listener) {
        AnswerProbe probe = new AnswerProbe(listener);
        probe.timeout = loop.schedule(() -> probe.end(Outcome.TIMED_OUT), patienceMs, TimeUnit.MILLISECONDS);
        HttpClientConnection.open(
                loop,
                front,
                (int) patienceMs,
                HttpLimits.CLIENT,
                opened -> {
                    probe.connection = opened;
                    if (probe.ended) {
                        opened.abort();
                        return;
                    }
                    ResponseReader reader = new ResponseReader(false, () -> {}, (head, response) -> {
                        String answer = head == null ? null : head.headers().get("spanrill-answer");
                        probe.end(
                                head == null
                                        ? Outcome.NO_CONNECTION
                                        : "plays".equals(answer)
                                                ? Outcome.PLAYS
                                                : head.status() == 503 ? Outcome.RETRY_LATER : Outcome.OTHER);
                    });
                    if (!ResponseReader.get(opened, target, reader)) {
                        probe.end(Outcome.NO_CONNECTION);
                    }
                },
                cause -> probe.end(Outcome.NO_CONNECTION));
    }

    private void end(Outcome outcome) {
        if (!ended) {
            ended = true;
            timeout.cancel(false);
            if (connection != null) {
                connection.abort();
            }
            listener.onOutcome(outcome);
        }
    }
}
