package spanrill.front.box;

import io.netty.buffer.ByteBuf;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.FailedSetUpAction;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.OutcomeTable.Event;
import spanrill.decisions.OutcomeTable.Stage;
import spanrill.session.BoxClient;
import spanrill.wire.box.BoxLink;
import spanrill.wire.http.Headers;
import spanrill.wire.http.HttpClientConnection;
import spanrill.wire.http.ResponseHead;

/** One set-up on the wire: follows how far it came, and reads its end by {@link OutcomeTable}. */
final class SetUpAttempt
        implements BoxClient.Attempt,
                spanrill.front.box.BoxConnectionPool.ConnectionRequest,
                HttpClientConnection.Listener {
    private static final byte[] NO_BODY = {};

    private final HttpBoxClient side;
    private final BoxClient.SetUpRequest order;
    private final BoxConnectionPool pool;
    private final BoxClient.AttemptListener listener;
    private HttpClientConnection connection;
    private Stage stage = Stage.CONNECTING;
    private Load load;
    private Event refusal;
    private double sentAt;
    private boolean settling;
    private boolean over;

    SetUpAttempt(
            HttpBoxClient side,
            BoxClient.SetUpRequest order,
            BoxConnectionPool pool,
            BoxClient.AttemptListener listener) {
        this.side = side;
        this.order = order;
        this.pool = pool;
        this.listener = listener;
    }

    @Override
    public boolean onConnection(HttpClientConnection given) {
        if (over) {
            return false;
        }
        connection = given;
        stage = Stage.CONNECTED;
        Headers headers = side.frontHeaders()
                .add(BoxLink.ATTEMPT_KEY, order.key())
                .add(BoxLink.TOKEN, order.request().tokenId())
                .add(BoxLink.CLASS, order.request().className())
                .add(BoxLink.TITLE, order.request().title())
                .add(BoxLink.RUNG, Integer.toString(order.rung()))
                .add(BoxLink.SPENDS, order.spends() ? "1" : "0");
        if (order.continues() != null) {
            headers.add(BoxLink.CONTINUES, order.continues());
        }
        if (connection.send("POST", BoxLink.SETUP_PATH, headers, NO_BODY, this)) {
            stage = Stage.WRITTEN;
            sentAt = side.nowMs();
        } else {
            finish(Event.CLOSED);
        }
        return true;
    }

    @Override
    public void onUnavailable(Event why) {
        finish(why);
    }

    @Override
    public void onHead(ResponseHead head) {
        load = BoxLink.parseLoad(head.headers().get(BoxLink.LOAD));
        refusal = OutcomeTable.classifyStatus(head.status(), head.headers().get(BoxLink.REASON));
        if (refusal == null) {
            stage = Stage.ANSWERING;
        }
    }

    @Override
    public void onData(ByteBuf part) {
        if (refusal == null && !over) {
            over = true;
            listener.onPlaying();
        }
    }

    @Override
    public void onEnd() {
        pool.release(connection);
        // A success without a media byte is no session.
        finish(refusal == null ? Event.ERROR_STATUS : refusal);
    }

    @Override
    public void onFailure(HttpClientConnection.Failure loss, String reason) {
        finish(
                switch (loss) {
                    case RESET -> Event.RESET;
                    case CLOSED -> Event.CLOSED;
                    case MALFORMED -> Event.MALFORMED;
                });
    }

    private void finish(Event event) {
        if (over || settling) {
            return;
        }
        Outcome outcome = OutcomeTable.outcomeOf(stage, event);
        switch (FailedSetUpAction.choose(stage, outcome, order.spends())) {
            case QUERY_BOX -> {
                settling = true;
                side.cancelAndQueryRan(
                        order.box(),
                        order.key(),
                        sentAt,
                        neverRan ->
                                reportEnd(neverRan ? OutcomeTable.outcomeOf(stage, Event.PROVEN_NEVER_RAN) : outcome));
            }
            case CANCEL -> {
                side.cancelAttempt(order.box(), order.key());
                reportEnd(outcome);
            }
            default -> reportEnd(outcome);
        }
    }

    private void reportEnd(Outcome outcome) {
        if (!over) {
            over = true;
            listener.onEnded(outcome, load);
        }
    }

    @Override
    public Outcome abandon(Event why) {
        Outcome outcome = OutcomeTable.outcomeOf(stage, why);
        if (!over) {
            over = true;
            if (connection != null) {
                connection.abort();
                if (!settling) {
                    side.cancelAttempt(order.box(), order.key());
                }
            }
        }
        return outcome;
    }
}
