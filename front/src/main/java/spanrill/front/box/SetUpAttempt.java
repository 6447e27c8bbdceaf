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

/** One set-up request to a box. Tracks its stage, from which {@link OutcomeTable} derives the outcome. */
final class SetUpAttempt
        implements BoxClient.Attempt, BoxConnectionPool.ConnectionRequest, HttpClientConnection.Listener {
    private static final byte[] NO_BODY = {};

    private final HttpBoxClient boxClient;
    private final BoxClient.SetUpRequest setUp;
    private final BoxConnectionPool pool;
    private final BoxClient.AttemptListener listener;
    private HttpClientConnection connection;
    private Stage stage = Stage.CONNECTING;
    private Load load;
    private Event refusal;
    private double sentAt;
    private boolean queryingBox;
    private boolean ended;

    SetUpAttempt(
            HttpBoxClient boxClient,
            BoxClient.SetUpRequest setUp,
            BoxConnectionPool pool,
            BoxClient.AttemptListener listener) {
        this.boxClient = boxClient;
        this.setUp = setUp;
        this.pool = pool;
        this.listener = listener;
    }

    @Override
    public boolean onConnection(HttpClientConnection acquired) {
        if (ended) {
            return false;
        }
        connection = acquired;
        stage = Stage.CONNECTED;
        Headers headers = boxClient
                .frontHeaders()
                .add(BoxLink.ATTEMPT_KEY, setUp.key())
                .add(BoxLink.TOKEN, setUp.request().tokenId())
                .add(BoxLink.CLASS, setUp.request().className())
                .add(BoxLink.TITLE, setUp.request().title())
                .add(BoxLink.RUNG, Integer.toString(setUp.rung()))
                .add(BoxLink.SPENDS, setUp.spends() ? "1" : "0");
        if (setUp.continues() != null) {
            headers.add(BoxLink.CONTINUES, setUp.continues());
        }
        if (connection.send("POST", BoxLink.SETUP_PATH, headers, NO_BODY, this)) {
            stage = Stage.WRITTEN;
            sentAt = boxClient.nowMs();
        } else {
            finish(Event.CLOSED);
        }
        return true;
    }

    @Override
    public void onUnavailable(Event reason) {
        finish(reason);
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
        if (refusal == null && !ended) {
            ended = true;
            listener.onPlaying();
        }
    }

    /** Handles the end of the box's response; the attempt fails when the response held no media byte. */
    @Override
    public void onEnd() {
        pool.release(connection);
        // A success response without a media byte does not start a session.
        finish(refusal == null ? Event.ERROR_STATUS : refusal);
    }

    @Override
    public void onFailure(HttpClientConnection.Failure failure, String reason) {
        finish(
                switch (failure) {
                    case RESET -> Event.RESET;
                    case CLOSED -> Event.CLOSED;
                    case MALFORMED -> Event.MALFORMED;
                });
    }

    private void finish(Event event) {
        if (ended || queryingBox) {
            return;
        }
        Outcome outcome = OutcomeTable.outcomeOf(stage, event);
        switch (FailedSetUpAction.choose(stage, outcome, setUp.spends())) {
            case QUERY_BOX -> {
                queryingBox = true;
                boxClient.cancelAndQueryRan(
                        setUp.box(),
                        setUp.key(),
                        sentAt,
                        neverRan ->
                                reportEnd(neverRan ? OutcomeTable.outcomeOf(stage, Event.PROVEN_NEVER_RAN) : outcome));
            }
            case CANCEL -> {
                boxClient.cancelAttempt(setUp.box(), setUp.key());
                reportEnd(outcome);
            }
            default -> reportEnd(outcome);
        }
    }

    private void reportEnd(Outcome outcome) {
        if (!ended) {
            ended = true;
            listener.onEnded(outcome, load);
        }
    }

    @Override
    public Outcome abandon(Event reason) {
        Outcome outcome = OutcomeTable.outcomeOf(stage, reason);
        if (!ended) {
            ended = true;
            if (connection != null) {
                connection.abort();
                if (!queryingBox) {
                    boxClient.cancelAttempt(setUp.box(), setUp.key());
                }
            }
        }
        return outcome;
    }
}
