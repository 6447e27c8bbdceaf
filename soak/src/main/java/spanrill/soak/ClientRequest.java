package spanrill.soak;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** A client's request, from its set-up to its final answer, and its session after that. */
final class ClientRequest {
    private final long id;
    private final Trial.ClassPlan plan;
    private final long title;
    private final int home;
    /** How often the client has come before, after refusals. */
    private final int tries;
    /** How long it waits for its answer, ms. */
    private final double waitMs;

    private ClientConnection on;
    private String server;
    private double sentAt = Double.NaN;
    private boolean sentAgain;

    ClientRequest(long id, Trial.ClassPlan plan, long title, int home, int tries, double waitMs) {
        this.id = id;
        this.plan = plan;
        this.title = title;
        this.home = home;
        this.tries = tries;
        this.waitMs = waitMs;
    }

    long id() {
        return id;
    }

    Trial.ClassPlan plan() {
        return plan;
    }

    double waitMs() {
        return waitMs;
    }

    int tries() {
        return tries;
    }

    ClientConnection on() {
        return on;
    }

    void on(ClientConnection connection) {
        on = connection;
    }

    /** The server at which its session stands. */
    String server() {
        return server;
    }

    void server(String at) {
        server = at;
    }

    double sentAt() {
        return sentAt;
    }

    void sentAt(double ms) {
        sentAt = ms;
    }

    boolean sentAgain() {
        return sentAgain;
    }

    void sendAgain() {
        sentAgain = true;
        sentAt = Double.NaN;
    }

    Message setUp() {
        return message(tries > 0 ? ";again:1" : "", Long.toString(Math.round(waitMs)));
    }

    /** Tells a new process of a session that stands. */
    Message handOver() {
        return message(";at:" + server, "0");
    }

    private Message message(String more, String wait) {
        String viewer = String.format(Locale.ROOT, "%016x", id);
        return new Message(MessageType.SET_UP, id)
                .with(Parameter.CLASS, plan.name())
                .with(Parameter.WAIT, wait)
                .with(Parameter.TITLE, String.format(Locale.ROOT, "%016x", title))
                .with(Parameter.ATTRIBUTES, "home:" + home + ";copies:2;top:2;viewer:" + viewer + more)
                .with(Parameter.DESCRIPTION, "v=0".getBytes(StandardCharsets.UTF_8));
    }
}
