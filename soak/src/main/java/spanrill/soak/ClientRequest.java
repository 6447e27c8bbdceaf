package spanrill.soak;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** A request of a client from its set-up to its final answer, and the session that results from it. */
final class ClientRequest {
    private final long id;
    private final Trial.ClassPlan serviceClass;
    private final long title;
    private final int home;
    /** Number of earlier requests of the client that were refused or moved. */
    private final int retries;
    /** Time that the client waits for an answer, ms. */
    private final double waitMs;

    private ClientConnection connection;
    private String server;
    private double sentAtMs = Double.NaN;
    private boolean resent;

    ClientRequest(long id, Trial.ClassPlan serviceClass, long title, int home, int retries, double waitMs) {
        this.id = id;
        this.serviceClass = serviceClass;
        this.title = title;
        this.home = home;
        this.retries = retries;
        this.waitMs = waitMs;
    }

    long id() {
        return id;
    }

    Trial.ClassPlan serviceClass() {
        return serviceClass;
    }

    double waitMs() {
        return waitMs;
    }

    int retries() {
        return retries;
    }

    ClientConnection connection() {
        return connection;
    }

    void setConnection(ClientConnection connection) {
        this.connection = connection;
    }

    /** Returns the server that holds the session, null before the session is established. */
    String server() {
        return server;
    }

    void setServer(String server) {
        this.server = server;
    }

    double sentAtMs() {
        return sentAtMs;
    }

    void setSentAtMs(double sentAtMs) {
        this.sentAtMs = sentAtMs;
    }

    boolean resent() {
        return resent;
    }

    void prepareResend() {
        resent = true;
        sentAtMs = Double.NaN;
    }

    Message setUpMessage() {
        return buildSetUp(retries > 0 ? ";again:1" : "", Long.toString(Math.round(waitMs)));
    }

    /** Returns a set-up that informs a restarted node of a session that is already established. */
    Message handOverMessage() {
        return buildSetUp(";at:" + server, "0");
    }

    private Message buildSetUp(String extraAttributes, String waitValue) {
        String viewer = String.format(Locale.ROOT, "%016x", id);
        return new Message(MessageType.SET_UP, id)
                .with(Parameter.CLASS, serviceClass.name())
                .with(Parameter.WAIT, waitValue)
                .with(Parameter.TITLE, String.format(Locale.ROOT, "%016x", title))
                .with(Parameter.ATTRIBUTES, "home:" + home + ";copies:2;top:2;viewer:" + viewer + extraAttributes)
                .with(Parameter.DESCRIPTION, "v=0".getBytes(StandardCharsets.UTF_8));
    }
}
